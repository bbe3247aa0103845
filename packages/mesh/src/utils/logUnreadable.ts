import type { EventLog } from '@flamingocourse/kernel';
import type { UnreadableListener } from '../types/unreadable.js';

/** Maximum number of different lines. */
const MAX_LINES = 100;

/**
 * Returns a listener that logs what cannot be read of the messages of peers. Messages are repeated, so each
 * line is written once.
 *
 * @example
 * const mesh = new MeshClient({ onUnreadable: logUnreadable(log) });
 */
export function logUnreadable(log: EventLog): UnreadableListener {
  const logged = new Set<string>();
  return ({ procedure, peer, field, count, first }) => {
    const line = `${procedure} ${field} ${first}`;
    if (logged.has(line) || logged.size >= MAX_LINES) return;
    logged.add(line);
    log.write('peer-entry-invalid', { procedure, peer, list: field, count, entry: first });
  };
}
