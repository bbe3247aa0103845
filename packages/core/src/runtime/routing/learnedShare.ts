/** Learns how often something is the case. */

/** Weight of the first assumption, in observations. */
const PRIOR_WEIGHT = 4;
/** Observations after which the share is known well enough to learn other things from it. */
const LEARNED_AFTER = 6;
/** Part of the earlier observations that each new one leaves; 50 observations count in the end. */
const KEPT_FRACTION = 0.98;

/**
 * Share of observations in which something was the case. Old observations count less.
 *
 * @example
 * const share = new LearnedShare(0.5);
 * share.observe(true);
 * share.value; // 0.6
 */
export class LearnedShare {
  readonly #prior: number;
  #count = 0;
  #positive = 0;

  /** @param prior the share that is assumed before the first observation. */
  constructor(prior: number) {
    this.#prior = prior;
  }

  get value(): number {
    return (this.#positive + PRIOR_WEIGHT * this.#prior) / (this.#count + PRIOR_WEIGHT);
  }

  /** Whether enough was observed to rely on the value. */
  get isLearned(): boolean {
    return this.#count >= LEARNED_AFTER;
  }

  observe(isTrue: boolean): void {
    this.#count = this.#count * KEPT_FRACTION + 1;
    this.#positive = this.#positive * KEPT_FRACTION + (isTrue ? 1 : 0);
  }
}
