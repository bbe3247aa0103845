/** Expected time of a class's requests at their backend servers. */

/** Moving mean and mean deviation, in milliseconds. */
export interface ServiceTime {
  meanMs: number;
  deviationMs: number;
}

const MEAN_WEIGHT = 0.1;
const DEVIATION_WEIGHT = 0.2;
/** Deviations above the mean within which nearly all requests end. */
const CAUTION = 2;

/**
 * Takes in the time of one answer, from dispatch to its end.
 *
 * @example
 * times.set(name, recordServiceTime(times.get(name), 840));
 */
export function recordServiceTime(known: ServiceTime | undefined, ms: number): ServiceTime {
  if (!known) return { meanMs: ms, deviationMs: ms / 2 };
  const error = ms - known.meanMs;
  return {
    meanMs: known.meanMs + MEAN_WEIGHT * error,
    deviationMs: known.deviationMs + DEVIATION_WEIGHT * (Math.abs(error) - known.deviationMs),
  };
}

/**
 * Time within which nearly all requests of the class end; 0 while nothing is known. Judged by the
 * mean, half of the requests that are sent just before their deadline would be cut off there, and
 * the work already done for them lost.
 */
export function cautiousServiceMs(known: ServiceTime | undefined): number {
  return known ? known.meanMs + CAUTION * known.deviationMs : 0;
}
