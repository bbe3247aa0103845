/** Demand per account as an exponentially weighted moving average of tokens a second. */

import type { EpochMs, Tokens } from '../types/ids.js';

/** Estimate of one account's demand. */
export interface DemandEstimate {
  tokensPerSecond: number;
  at: EpochMs;
}

/** Time after which an old observation counts a third. */
export const DEMAND_SPAN_SECONDS = 10;

const MS_PER_SECOND = 1_000;
/** Shortest past that is extrapolated from; one request says little about a rate. */
const MIN_SEEN_SECONDS = 2;

/** Estimate before anything was observed. */
export const NO_DEMAND: DemandEstimate = { tokensPerSecond: 0, at: 0 };

/**
 * Adds an observation.
 *
 * @example
 * demand = observeDemand(demand, cost, now);
 */
export function observeDemand(
  estimate: DemandEstimate,
  amount: Tokens,
  now: EpochMs,
): DemandEstimate {
  const rate = currentDemand(estimate, now) + amount / DEMAND_SPAN_SECONDS;
  return { tokensPerSecond: rate, at: now };
}

/** The estimate as of now, in tokens a second. */
export function currentDemand(estimate: DemandEstimate, now: EpochMs): number {
  const idleSeconds = Math.max(0, now - estimate.at) / MS_PER_SECOND;
  return estimate.tokensPerSecond * Math.exp(-idleSeconds / DEMAND_SPAN_SECONDS);
}

/**
 * The estimate as of now, corrected for a short past: an average that began at zero shows too little
 * until it has seen several times its decay.
 *
 * @param since when observing began.
 */
export function settledDemand(estimate: DemandEstimate, since: EpochMs, now: EpochMs): number {
  const seenSeconds = Math.max(MIN_SEEN_SECONDS, (now - since) / MS_PER_SECOND);
  return currentDemand(estimate, now) / (1 - Math.exp(-seenSeconds / DEMAND_SPAN_SECONDS));
}
