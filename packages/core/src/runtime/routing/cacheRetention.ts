/** Learns for how long engines keep cached prompt parts. */

/** Evictions assumed before the first observation, and the time in which they happen: 20 s each. */
const PRIOR_LOST = 0.5;
const PRIOR_MS = 10_000;
/** Part of the earlier observations that each new one leaves, so that changes are noticed. */
const KEPT_FRACTION = 0.98;
/** Bounds of the mean time for which a part stays; a few odd responses must not go beyond them. */
const MIN_LIFETIME_MS = 2_000;
const MAX_LIFETIME_MS = 120_000;

/**
 * Probability that a part is still cached, by the time since it was last used.
 *
 * @example
 * retention.probability(5_000); // 0.78 before the first observation
 */
export class CacheRetention {
  #lost = 0;
  #exposureMs = 0;

  /** Mean time for which an unused part stays, in milliseconds. */
  get lifetimeMs(): number {
    const mean = (PRIOR_MS + this.#exposureMs) / (PRIOR_LOST + this.#lost);
    return Math.min(MAX_LIFETIME_MS, Math.max(MIN_LIFETIME_MS, mean));
  }

  probability(ageMs: number): number {
    return Math.exp(-Math.max(0, ageMs) / this.lifetimeMs);
  }

  /** Records whether a part was still cached at some age. */
  observe(ageMs: number, wasKept: boolean): void {
    this.#lost = this.#lost * KEPT_FRACTION + (wasKept ? 0 : 1);
    this.#exposureMs = this.#exposureMs * KEPT_FRACTION + Math.max(0, ageMs);
  }
}
