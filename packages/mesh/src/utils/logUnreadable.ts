import type { EventLog } from '@flamingocourse/kernel';
import type { UnreadableListener } from '../types/unreadable.js';
import { firstTimes } from '@flamingocourse/kernel';

/**
 * Returns a listener that logs what cannot be read of the messages of peers. Messages are repeated, so each
 * line is written once.
 *
 * @example
 * const mesh = new MeshClient({ onUnreadable: logUnreadable(log) });
 */
export function logUnreadable(log: EventLog): UnreadableListener {
  const isFirst = firstTimes();
  return ({ procedure, peer, field, count, first }) => {
    if (!isFirst(`${procedure} ${field} ${first}`)) return;
    log.write('peer-entry-invalid', { procedure, peer, list: field, count, entry: first });
  };
}
