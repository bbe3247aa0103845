/**
 * Tracks whether a server can be reached over the network. A partition or a power failure appears
 * as silence: connections do not open, and requests on open connections get no answer. This is kept
 * apart from failures of the server itself, because in a partition most servers may be unreachable
 * at once, and requests sent to them would only make callers wait.
 */

import type { EpochMs } from '../../types/ids.js';

/** What shows that a silent server can be reached again. */
export type RestoredBy =
  /** The next request that is sent to it. */
  | 'requests'
  /** An answer to a probe, so that no caller's request is spent on a server that stays silent. */
  | 'probes';

/** Reachability state of one server. */
export interface Reachability {
  /** Consecutive silences recorded. */
  silences: number;
  /** Time until which no request is sent to it. */
  avoidUntil: EpochMs;
  /** Whether no request is sent to it before a probe was answered. */
  awaitsProbe: boolean;
}

/**
 * Time to avoid a server after the first silence, in milliseconds; doubles with each further one.
 */
const MIN_AVOID_MS = 800;
/** Maximum of this time, in milliseconds; the end of a partition is detected within it. */
const MAX_AVOID_MS = 3_200;
/** Milliseconds for which a single request tests whether the server can be reached again. */
const PROBE_MS = 500;

/** Initial state: no silence recorded. */
export const REACHABLE: Reachability = {
  silences: 0,
  avoidUntil: -Infinity,
  awaitsProbe: false,
};

/** Whether requests can be sent to the server now. */
export function isReachable(state: Reachability, now: EpochMs): boolean {
  return now >= state.avoidUntil && !state.awaitsProbe;
}

/**
 * Records that a connection did not open, or that nothing was received on open connections.
 *
 * @example
 * reach = recordSilence(reach, now);
 */
export function recordSilence(
  state: Reachability,
  now: EpochMs,
  restoredBy: RestoredBy = 'requests',
): Reachability {
  // Concurrent requests observe the same silence, which counts only once.
  if (!isReachable(state, now) && state.silences > 0) return state;
  const silences = state.silences + 1;
  const pause = Math.min(MAX_AVOID_MS, MIN_AVOID_MS * 2 ** (silences - 1));
  return { silences, avoidUntil: now + pause, awaitsProbe: restoredBy === 'probes' };
}

/**
 * Records that a probe was answered. The pause after the silence still applies: a server may answer
 * probes and leave requests unanswered.
 */
export function recordProbeAnswer(state: Reachability): Reachability {
  return { ...state, awaitsProbe: false };
}

/** Records that a request was sent; after a silence, others wait for its answer or `PROBE_MS`. */
export function recordSent(state: Reachability, now: EpochMs): Reachability {
  if (state.silences === 0) return state;
  return { ...state, avoidUntil: Math.max(state.avoidUntil, now + PROBE_MS) };
}
