/** How often an instance reads the list of the fleet's instances, and how old a list it may rely on. */

/** Minimum milliseconds between two reads of the list. */
const MIN_READ_INTERVAL_MS = 4_000;
/**
 * Milliseconds between reads, per instance; so the read rate of a large fleet does not depend on
 * its size.
 */
const READ_INTERVAL_MS_PER_INSTANCE = 45;
/** Intervals after which a list is too old; the longest interval and a failed read fit in. */
const MAX_AGE_INTERVALS = 2;
/** Maximum milliseconds by which a read of the store may be stale. */
export const STALE_READ_MS = 3_000;

/** Average milliseconds between two reads in a fleet with this number of instances. */
export function readIntervalMs(instances: number): number {
  return Math.max(MIN_READ_INTERVAL_MS, READ_INTERVAL_MS_PER_INSTANCE * instances);
}

/** Milliseconds after which a list with this number of instances no longer counts. */
export function maxListAgeMs(instances: number): number {
  return MAX_AGE_INTERVALS * readIntervalMs(instances);
}
