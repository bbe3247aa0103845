/** How many instances the callers of an account come in at. */

import { sum } from '../../utils/sum.js';

/** Demand of an account at the instances that somebody knows of. */
export interface KnownDemand {
  /** Tokens a second of all of them. */
  rate: number;
  /** Sum of the squares of their rates. */
  squares: number;
}

/** Adds up the rates at which single instances are asked. */
export function knownDemand(rates: readonly number[]): KnownDemand {
  return { rate: sum(rates), squares: sum(rates.map((rate) => rate ** 2)) };
}

/**
 * Instances that would be asked if all were asked equally often. A balancer keeps a caller at one instance, so
 * an account with few callers comes in at few of many; the rest of the fleet needs none of its tokens.
 *
 * @param known the demand at some of them, which stands for all.
 * @param rate tokens a second at all of them.
 * @param instances all of them.
 *
 * @example
 * demandSpread(knownDemand([400, 400, 0, 0]), 1_600, 64); // 4
 */
export function demandSpread(known: KnownDemand, rate: number, instances: number): number {
  if (known.rate <= 0 || known.squares <= 0) return instances;
  const asked = known.rate ** 2 / known.squares;
  const spread = asked * Math.max(1, rate / known.rate);
  return Math.min(instances, spread);
}
