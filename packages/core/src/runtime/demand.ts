/** Demand per account: an exponentially weighted moving average in tokens per second. */

import type { EpochMs, Tokens } from '../types/ids.js';

/** Estimate of one account's demand. */
export interface DemandEstimate {
  tokensPerSecond: number;
  at: EpochMs;
}

/** Time constant of the average: an observation of this age has a weight of 1/e, about a third. */
export const DEMAND_DECAY_SECONDS = 10;

const MS_PER_SECOND = 1_000;
/**
 * Minimum observation time that is extrapolated from; a single request says little about a rate.
 */
const MIN_OBSERVED_SECONDS = 2;

/** Estimate before the first observation. */
export const NO_DEMAND: DemandEstimate = { tokensPerSecond: 0, at: 0 };

/**
 * Adds an observation of `amount` tokens.
 *
 * @example
 * demand = observeDemand(demand, cost, now);
 */
export function observeDemand(
  estimate: DemandEstimate,
  amount: Tokens,
  now: EpochMs,
): DemandEstimate {
  const rate = currentDemand(estimate, now) + amount / DEMAND_DECAY_SECONDS;
  return { tokensPerSecond: rate, at: now };
}

/** Returns the estimate decayed to `now`, in tokens per second. */
export function currentDemand(estimate: DemandEstimate, now: EpochMs): number {
  const idleSeconds = Math.max(0, now - estimate.at) / MS_PER_SECOND;
  return estimate.tokensPerSecond * Math.exp(-idleSeconds / DEMAND_DECAY_SECONDS);
}

/**
 * Returns the estimate at `now`, corrected for a short observation time. Without the correction, an
 * average that started at zero is too low until several time constants have passed.
 *
 * @param since time at which observation started.
 */
export function biasCorrectedDemand(
  estimate: DemandEstimate,
  since: EpochMs,
  now: EpochMs,
): number {
  const observedSeconds = Math.max(MIN_OBSERVED_SECONDS, (now - since) / MS_PER_SECOND);
  return currentDemand(estimate, now) / (1 - Math.exp(-observedSeconds / DEMAND_DECAY_SECONDS));
}
