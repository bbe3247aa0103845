/** When refused callers should come back, in the order in which they were refused. */

/** Minimum milliseconds after which a refused request is sent again. */
const MIN_RETRY_MS = 50;
/** Callers honour a wait of up to this part of their remaining time. */
const HONOURED_PART = 1 / 3;
/** Part of the longest wait within which those are spread that can't be served by then. */
const SPREAD_PART = 0.4;
/** Fraction of the golden ratio: its multiples are evenly spread however many there are. */
const GOLDEN = 0.618_033_988_75;

/**
 * Gives each refused request a time of its own, one after the other at the pace at which requests are
 * admitted, so that retries don't arrive together and the longest refused come first.
 *
 * @example
 * order.retryAfterMs(admittedPerMs, leftMs, now); // 240
 */
export class RetryOrder {
  #lastAt = -Infinity;
  #late = 0;

  /**
   * @param perMs requests of the same kind that this instance admits in a millisecond.
   * @param leftMs milliseconds that the caller still waits.
   */
  retryAfterMs(perMs: number, leftMs: number, now: number): number {
    const longest = Math.max(MIN_RETRY_MS, leftMs * HONOURED_PART);
    const spacing = perMs > 0 ? 1 / perMs : Infinity;
    const at = Math.max(now + MIN_RETRY_MS, this.#lastAt + spacing);
    if (at - now <= longest) {
      this.#lastAt = at;
      return Math.ceil(at - now);
    }
    // nobody can say that these will be served; they come late and not together.
    this.#late = (this.#late + GOLDEN) % 1;
    return Math.ceil(Math.max(MIN_RETRY_MS, longest * (1 - SPREAD_PART * this.#late)));
  }
}
