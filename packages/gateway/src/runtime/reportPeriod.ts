/** How often an instance speaks to the store, so that calls grow more slowly than the fleet. */

/**
 * Reports a second of the whole fleet above which each instance reports less often. A report costs a
 * call or two; 30 a second cost a hundredth of what 73 instances are worth on a calm day.
 */
const FLEET_REPORTS_PER_SECOND = 30;
/**
 * Longest period in milliseconds. What is spent in a period has to be held on top of what is held for
 * being alone, so a longer one takes from other instances.
 */
const MAX_PERIOD_MS = 4_000;
/**
 * Milliseconds between two reports of one instance.
 *
 * @param leastMs the period of a small fleet.
 *
 * @example
 * reportPeriodMs(1_000, 73); // 2433
 */
export function reportPeriodMs(leastMs: number, instances: number): number {
  const fairMs = Math.round((1_000 * instances) / FLEET_REPORTS_PER_SECOND);
  return Math.max(leastMs, Math.min(MAX_PERIOD_MS, fairMs));
}
