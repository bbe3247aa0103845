import type { EventLog } from '@flamingocourse/kernel';

/** Maximum number of different lines, and of characters of an entry in one. */
const MAX_LINES = 100;
const MAX_SHOWN_LENGTH = 200;

/**
 * Returns a listener that logs entries of the platform's list of instances that cannot be used. The list is
 * read again and again, so each line is written once.
 */
export function logInvalidInstances(log: EventLog): (entry: unknown) => void {
  const logged = new Set<string>();
  return (entry) => {
    const listed = JSON.stringify(entry).slice(0, MAX_SHOWN_LENGTH);
    if (logged.has(listed) || logged.size >= MAX_LINES) return;
    logged.add(listed);
    log.write('instance-entry-invalid', { listed, length: listed.length });
  };
}
