/** Whether a server had no free slot when it answered. */

import type { ReportedLoad } from '../types/call.js';

/**
 * Returns whether a server was full by its own report; undefined if that cannot be told.
 *
 * @param slots requests that the server runs at once, if its report does not tell.
 *
 * @example
 * isServerFull({ running: 3, waiting: 0, slots: 6 }, undefined); // false
 */
export function isServerFull(
  load: ReportedLoad | undefined,
  slots: number | undefined,
): boolean | undefined {
  if (!load) return undefined;
  if (load.waiting > 0) return true;
  const all = load.slots ?? slots;
  return all === undefined ? undefined : load.running >= all;
}
