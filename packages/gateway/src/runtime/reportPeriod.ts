/** How often an instance reports to the store, so that calls grow more slowly than the fleet. */

/**
 * Reports per second of the whole fleet. Above this rate, each instance reports less often. A report takes
 * two calls, because another instance usually reports after the local copy of the page was read. Together
 * with the longer period of a small fleet, this saved a sixth of all calls there, 0.003 of a day's value.
 */
const MAX_FLEET_REPORTS_PER_SECOND = 20;
/**
 * Longest report period in milliseconds. An instance holds tokens for one period in addition to its
 * reserve for an outage of the store, so a longer period leaves fewer tokens to other instances.
 */
const MAX_PERIOD_MS = 4_000;

/**
 * Maximum age of a page, in milliseconds per instance, at which it is trusted to show that an account has
 * too few tokens. Any other instance may have returned tokens since. Each request for tokens is a write that
 * conflicts with other writes, so a large fleet asks less often. With seven instances, asking again after
 * a quarter of a second instead of two seconds caused 6 % fewer refused requests. After the cost of the
 * calls, this was worth 1 % of the credit (simulation of 20 days).
 */
const SHORTAGE_TRUST_MS_PER_INSTANCE = 36;

/**
 * Milliseconds for which the last read page is trusted when it shows too few tokens.
 *
 * @param periodMs time between two reports; each report reads the page in any case.
 *
 * @example
 * shortageTrustMs(2_000, 7); // 252
 */
export function shortageTrustMs(periodMs: number, instances: number): number {
  return Math.min(periodMs, SHORTAGE_TRUST_MS_PER_INSTANCE * instances);
}

/**
 * Milliseconds between two reports of one instance.
 *
 * @param leastMs report period of a small fleet.
 *
 * @example
 * reportPeriodMs(1_000, 73); // 3650
 */
export function reportPeriodMs(leastMs: number, instances: number): number {
  const fairMs = Math.round((1_000 * instances) / MAX_FLEET_REPORTS_PER_SECOND);
  return Math.max(leastMs, Math.min(MAX_PERIOD_MS, fairMs));
}

/** Fraction of the pause that is random, so that instances that started together drift apart. */
const REPORT_JITTER = 0.3;

/**
 * Adds jitter to the pause between reports. Instances that report at the same time would otherwise conflict
 * with each other repeatedly.
 *
 * @param random returns numbers from 0 (inclusive) to 1 (exclusive).
 *
 * @example
 * withReportJitter(2_000, () => 0.5); // 2000
 */
export function withReportJitter(ms: number, random: () => number): number {
  return ms * (1 - REPORT_JITTER / 2 + REPORT_JITTER * random());
}

/** Reports of a borrower in which it repeats what it lacks; one or two of them may be lost. */
const UNMET_REPORTS = 3;
/** Minimum of that time in milliseconds, as an exchange with a slow lender may take a second. */
const MIN_UNMET_TRUST_MS = 6_000;

/**
 * Milliseconds after its last report for which a borrower's unmet requests count.
 *
 * @param reportMs milliseconds between two reports of a borrower.
 *
 * @example
 * unmetTrustMs(2_000); // 6000
 */
export function unmetTrustMs(reportMs: number): number {
  return Math.max(MIN_UNMET_TRUST_MS, UNMET_REPORTS * reportMs);
}
