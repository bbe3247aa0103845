/** Rate of something that is counted now and then. */

/**
 * Amount per millisecond, averaged over the last seconds with exponentially falling weights.
 *
 * @example
 * const asked = new DecayedRate(1_500);
 * asked.record(80, now); // a request that takes 80 ms of a slot
 * asked.at(now); // slots
 */
export class DecayedRate {
  readonly #windowMs: number;
  #rate = 0;
  #at = -Infinity;

  /** @param windowMs time in which the weight falls to 1/e. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  record(amount: number, now: number): void {
    this.#rate = this.at(now) + amount / this.#windowMs;
    this.#at = now;
  }

  at(now: number): number {
    if (this.#rate === 0) return 0;
    return this.#rate * Math.exp(-Math.max(0, now - this.#at) / this.#windowMs);
  }
}
