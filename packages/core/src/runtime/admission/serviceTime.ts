/** Expected service time of the requests of a class at their backend servers. */

import type { EpochMs } from '../../types/ids.js';

/** Moving mean and moving mean deviation, in milliseconds. */
export interface ServiceTime {
  meanMs: number;
  deviationMs: number;
  /** Time of the last answer. */
  at: EpochMs;
}

const MEAN_WEIGHT = 0.1;
const DEVIATION_WEIGHT = 0.2;
/** Number of deviations above the mean within which nearly all requests end. */
const DEVIATION_FACTOR = 2;
/** Time without an answer after which the expected time halves, in milliseconds. */
const HALF_LIFE_MS = 20_000;

/**
 * Records the service time of one answer, from dispatch to end.
 *
 * @example
 * times.set(name, recordServiceTime(times.get(name), 840, now));
 */
export function recordServiceTime(
  known: ServiceTime | undefined,
  ms: number,
  now: EpochMs,
): ServiceTime {
  if (!known) return { meanMs: ms, deviationMs: ms / 2, at: now };
  const error = ms - known.meanMs;
  return {
    meanMs: known.meanMs + MEAN_WEIGHT * error,
    deviationMs: known.deviationMs + DEVIATION_WEIGHT * (Math.abs(error) - known.deviationMs),
    at: now,
  };
}

/**
 * Time within which nearly all requests of the class end, in milliseconds; 0 while unknown. With
 * the mean alone, half of the requests sent just before their deadline would be cut off, and the
 * work already done for them would be lost.
 *
 * The expected time decays while no answer arrives. After an incident it can exceed the deadline of
 * the class; every request is then refused, none ends, and without decay it would never be
 * corrected.
 */
export function cautiousServiceMs(known: ServiceTime | undefined, now: EpochMs): number {
  if (!known) return 0;
  return (known.meanMs + DEVIATION_FACTOR * known.deviationMs) * decay(known, now);
}

/**
 * Mean time of the class, in milliseconds; 0 while unknown. It decays like the cautious time. A few
 * late answers raise it much less, so a request that is judged by it can show that the class has
 * recovered.
 */
export function meanServiceMs(known: ServiceTime | undefined, now: EpochMs): number {
  return known ? known.meanMs * decay(known, now) : 0;
}

function decay({ at }: ServiceTime, now: EpochMs): number {
  return 0.5 ** (Math.max(0, now - at) / HALF_LIFE_MS);
}
