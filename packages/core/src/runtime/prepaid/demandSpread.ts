/** Estimates how many instances the callers of an account use. */

import { sum } from '../../utils/sum.js';

/** Demand for an account at the instances whose rates are known. */
export interface KnownDemand {
  /** Sum of their rates, in tokens per second. */
  rate: number;
  /** Sum of the squares of their rates. */
  squares: number;
}

/** Sums the rates of single instances, in tokens per second. */
export function knownDemand(rates: readonly number[]): KnownDemand {
  return { rate: sum(rates), squares: sum(rates.map((rate) => rate ** 2)) };
}

/**
 * Returns the effective number of instances that receive the account's requests: the number that
 * would receive the same demand if all had equal rates. A load balancer keeps a caller at one
 * instance, so an account with few callers uses few instances, and the others need none of its
 * tokens.
 *
 * @param known demand at some of the instances, taken as a sample.
 * @param rate demand at all instances, in tokens per second.
 * @param instances number of all instances.
 *
 * @example
 * demandSpread(knownDemand([400, 400, 0, 0]), 1_600, 64); // 4
 */
export function demandSpread(known: KnownDemand, rate: number, instances: number): number {
  if (known.rate <= 0 || known.squares <= 0) return instances;
  const sampled = known.rate ** 2 / known.squares;
  const spread = sampled * Math.max(1, rate / known.rate);
  return Math.min(instances, spread);
}
