/** When callers that were refused for missing tokens should come back. */

/** Milliseconds after which another instance may have the tokens that this one cannot get. */
const ELSEWHERE_MS = 400;
/**
 * Milliseconds without a source of tokens after which the load balancer has stopped sending callers
 * here, unless no other instance can serve them better: then the others are cut off as well.
 */
const ALL_CUT_OFF_MS = 3_000;
/** Milliseconds between two refusals from which they belong to different outages. */
const OUTAGE_GAP_MS = 3_000;
/** Maximum milliseconds after which a caller is asked to come back. */
const MAX_RETRY_MS = 5_000;
/** Fraction of its remaining time that a caller waits at most. */
const WAITED_FRACTION = 1 / 3;
/** Callers return within this fraction of the time before its end, so that they don't return together. */
const SPREAD = 0.25;

/** What decides when a refused caller can be served. */
export interface RefusedForTokens {
  /** Whether no source of tokens can be reached. */
  isAway: boolean;
  /** Milliseconds that the caller still waits for its answer. */
  leftMs: number;
  /** From 0 (inclusive) to 1 (exclusive). */
  random: number;
}

/**
 * Remembers since when requests are refused because no source of tokens can be reached. Early in an outage
 * only this instance may be cut off, so that callers are served sooner elsewhere. If callers still arrive
 * after the load balancer has noticed, all instances are cut off, and a caller that returns at once is
 * refused again.
 *
 * @example
 * const shortage = new TokenShortage();
 * shortage.retryAfterMs({ isAway: true, leftMs: 12_000, random: 0.5 }, now); // 400
 */
export class TokenShortage {
  #since = -Infinity;
  #lastAt = -Infinity;

  /** Records a refusal, and returns the milliseconds after which its caller should come back. */
  retryAfterMs({ isAway, leftMs, random }: RefusedForTokens, now: number): number {
    if (!isAway) return ELSEWHERE_MS;
    if (now - this.#lastAt > OUTAGE_GAP_MS) this.#since = now;
    this.#lastAt = now;
    if (now - this.#since < ALL_CUT_OFF_MS) return ELSEWHERE_MS;
    const longestMs = Math.min(MAX_RETRY_MS, leftMs * WAITED_FRACTION);
    return Math.max(ELSEWHERE_MS, Math.floor(longestMs * (1 - SPREAD * random)));
  }
}
