/**
 * Whether a server can be reached at all from here. A partition or a loss of power shows as silence:
 * connections never open, and requests on open ones are never answered. Told from failures of the
 * server itself, because then most servers may be out of reach at once, and sending to them all the
 * same would only make callers wait.
 */

import type { EpochMs } from '../../types/ids.js';

/** What is known of the way to one server. */
export interface Reachability {
  /** Silences in a row. */
  silences: number;
  /** Until when no request is sent there. */
  avoidUntil: EpochMs;
}

/** Pause after the first silence, in milliseconds; doubles with each further one. */
const FIRST_PAUSE_MS = 800;
/** Longest pause, in milliseconds; a partition that has healed is noticed within it. */
const MAX_PAUSE_MS = 3_200;
/** Milliseconds for which one request alone finds out whether the way is open again. */
const PROBE_MS = 500;

/** A server of which nothing bad is known. */
export const REACHABLE: Reachability = { silences: 0, avoidUntil: -Infinity };

/** Whether requests may be sent. */
export function isReachable(state: Reachability, now: EpochMs): boolean {
  return now >= state.avoidUntil;
}

/**
 * Takes in that a connection did not open, or that nothing came on open ones.
 *
 * @example
 * reach = recordSilence(reach, now);
 */
export function recordSilence(state: Reachability, now: EpochMs): Reachability {
  // requests that were under way together see the same silence; it must not count for each.
  if (!isReachable(state, now) && state.silences > 0) return state;
  const silences = state.silences + 1;
  const pause = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (silences - 1));
  return { silences, avoidUntil: now + pause };
}

/** Takes in that a request was sent; after a silence it goes alone until the server is heard. */
export function recordSent(state: Reachability, now: EpochMs): Reachability {
  if (state.silences === 0) return state;
  return { ...state, avoidUntil: Math.max(state.avoidUntil, now + PROBE_MS) };
}
