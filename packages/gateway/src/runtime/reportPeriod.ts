/** How often an instance speaks to the store, so that calls grow more slowly than the fleet. */

/**
 * Reports a second of the whole fleet above which each instance reports less often. A report costs two
 * calls, as the copy of the page is older than another's report; together with the longer period of a
 * small fleet this saved a sixth of all calls there, 0.003 of what a day is worth.
 */
const FLEET_REPORTS_PER_SECOND = 20;
/**
 * Longest period in milliseconds. What is spent in a period has to be held on top of what is held for
 * being alone, so a longer one takes from other instances.
 */
const MAX_PERIOD_MS = 4_000;

/**
 * Milliseconds of age, for each instance, up to which a page proves that an account is short. All others
 * may have given something back since; each question is a write that they conflict with, so a large fleet
 * asks less often. Asked again after a quarter of a second instead of two seconds, seven instances were
 * refused 6 % fewer requests, 1 % of the credit after the price of the calls (20 days played).
 */
const SHORT_MS_PER_INSTANCE = 36;

/**
 * Milliseconds for which the page last seen is believed when it shows too few tokens.
 *
 * @param periodMs time between two reports; each of them sees the page anyhow.
 *
 * @example
 * believedShortMs(2_000, 7); // 252
 */
export function believedShortMs(periodMs: number, instances: number): number {
  return Math.min(periodMs, SHORT_MS_PER_INSTANCE * instances);
}

/**
 * Milliseconds between two reports of one instance.
 *
 * @param leastMs the period of a small fleet.
 *
 * @example
 * reportPeriodMs(1_000, 73); // 3650
 */
export function reportPeriodMs(leastMs: number, instances: number): number {
  const fairMs = Math.round((1_000 * instances) / FLEET_REPORTS_PER_SECOND);
  return Math.max(leastMs, Math.min(MAX_PERIOD_MS, fairMs));
}

/** Part of a pause between reports by which instances that started together drift apart. */
const REPORT_JITTER = 0.3;

/**
 * A pause between reports, a little longer or shorter each time: instances that report in the same moment
 * conflict with each other again and again.
 *
 * @param random gives numbers from 0 (included) to 1 (excluded).
 *
 * @example
 * withReportJitter(2_000, () => 0.5); // 2000
 */
export function withReportJitter(ms: number, random: () => number): number {
  return ms * (1 - REPORT_JITTER / 2 + REPORT_JITTER * random());
}
