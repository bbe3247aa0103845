/** Bounded exponential back-off with jitter. */

/** Options of a back-off. */
export interface BackOffOptions {
  /** Maximum delay before the first retry, in milliseconds. */
  firstMs: number;
  /** Maximum delay before any retry, in milliseconds. */
  maxMs: number;
}

/**
 * Returns the delay before the next retry, in milliseconds. Half of it is random, so that routers
 * that lost the platform at the same time do not all retry at the same moment.
 *
 * @example
 * backOffMs(0, { firstMs: 100, maxMs: 2_000 }, () => 0.5); // 75
 */
export function backOffMs(failures: number, options: BackOffOptions, random: () => number): number {
  const limit = Math.min(options.maxMs, options.firstMs * 2 ** Math.min(failures, 16));
  return limit / 2 + (limit / 2) * random();
}
