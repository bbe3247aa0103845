import type { EventLog } from '@flamingocourse/kernel';
import { firstTimes, loggedText } from '@flamingocourse/kernel';

/**
 * Returns a listener that logs entries of the platform's list of instances that cannot be used. The list is
 * read again and again, so each line is written once.
 */
export function logInvalidInstances(log: EventLog): (entry: unknown) => void {
  const isFirst = firstTimes();
  return (entry) => {
    const listed = loggedText(JSON.stringify(entry));
    if (isFirst(listed)) log.write('instance-entry-invalid', { listed, length: listed.length });
  };
}
