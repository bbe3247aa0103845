/** Expected time of a class's requests at their backend servers. */

import type { EpochMs } from '../../types/ids.js';

/** Moving mean and mean deviation, in milliseconds. */
export interface ServiceTime {
  meanMs: number;
  deviationMs: number;
  /** Time of the last answer. */
  at: EpochMs;
}

const MEAN_WEIGHT = 0.1;
const DEVIATION_WEIGHT = 0.2;
/** Deviations above the mean within which nearly all requests end. */
const CAUTION = 2;
/** Time without an answer in which the expectation halves, in milliseconds. */
const HALF_LIFE_MS = 20_000;

/**
 * Takes in the time of one answer, from dispatch to its end.
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
 * Time within which nearly all requests of the class end; 0 while nothing is known. Judged by the
 * mean, half of the requests that are sent just before their deadline would be cut off there, and
 * the work already done for them lost.
 *
 * The expectation fades while no answer comes: after an incident it can exceed the class's deadline,
 * so that every request is refused, none ends, and nothing would ever correct it.
 */
export function cautiousServiceMs(known: ServiceTime | undefined, now: EpochMs): number {
  if (!known) return 0;
  const faded = 0.5 ** (Math.max(0, now - known.at) / HALF_LIFE_MS);
  return (known.meanMs + CAUTION * known.deviationMs) * faded;
}
