/** Estimates how many requests of other instances a server holds, which can't be observed between reports. */

import type { EpochMs } from '../../types/ids.js';

/** Time over which the mean is taken, in milliseconds. */
const MEAN_TIME_MS = 5_000;
/** Weight of the first report in the mean, and the maximum of any later one. */
const MAX_MEAN_WEIGHT = 0.2;

/** A number that is known with some uncertainty. */
export interface UncertainCount {
  mean: number;
  variance: number;
}

/**
 * Requests of other instances at one server. Each of those in the last report has ended with a
 * probability that grows with its age, and others arrive as usual, so the number returns to its mean.
 * Without this, all instances would send to the server that was idle in their last reports.
 *
 * @example
 * const others = new OtherLoad();
 * others.report(4, now);
 * others.estimate(50, now + 500); // near the mean of the reports
 */
export class OtherLoad {
  #last = 0;
  #at: EpochMs | undefined;
  #mean = 0;

  /** Records how many requests of other instances a report shows. */
  report(count: number, at: EpochMs): void {
    const sinceMs = this.#at === undefined ? Infinity : Math.max(0, at - this.#at);
    const weight = Math.min(MAX_MEAN_WEIGHT, 1 - Math.exp(-sinceMs / MEAN_TIME_MS));
    this.#mean = this.#at === undefined ? count : this.#mean + weight * (count - this.#mean);
    this.#last = count;
    this.#at = at;
  }

  /** @param requestMs how long a request takes at the server now. */
  estimate(requestMs: number, now: EpochMs): UncertainCount {
    if (this.#at === undefined) return { mean: 0, variance: 0 };
    const remaining = Math.exp(-Math.max(0, now - this.#at) / Math.max(1, requestMs));
    const arrived = this.#mean * (1 - remaining);
    return {
      mean: this.#last * remaining + arrived,
      // those in the report remain or end one by one; arrivals are a Poisson process.
      variance: this.#last * remaining * (1 - remaining) + arrived,
    };
  }
}
