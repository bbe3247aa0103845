/** Bounded exponential back-off with full jitter. */

/** Bounds of a back-off. */
export interface BackOffOptions {
  /** Milliseconds before the first retry, at most. */
  firstMs: number;
  /** Milliseconds before any retry, at most. */
  maxMs: number;
}

/**
 * Milliseconds to wait before the next try. Half of the wait is random, so that routers which lost
 * the platform together do not all come back in the same moment.
 *
 * @example
 * backOffMs(0, { firstMs: 100, maxMs: 2_000 }, () => 0.5); // 75
 */
export function backOffMs(failures: number, options: BackOffOptions, random: () => number): number {
  const limit = Math.min(options.maxMs, options.firstMs * 2 ** Math.min(failures, 16));
  return limit / 2 + (limit / 2) * random();
}
