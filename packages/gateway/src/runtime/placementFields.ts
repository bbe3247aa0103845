/** Fields of log lines that say what a server was chosen by. */

import type { PlacementCost, PlacementPlan } from '@flamingocourse/core';
import type { EventFields } from '@flamingocourse/kernel';

/** Terms of the sum in the order in which they are written. */
const terms = {
  readMs: 'read',
  waitMs: 'wait',
  copyMs: 'copy',
  displacedMs: 'displaced',
  chargedMs: 'charged',
  totalMs: 'total',
} as const;

/**
 * Returns the terms of the chosen server and of the prompt's owner, if that is another one.
 *
 * @example
 * placementFields(plan).cost; // 'e3 kept 5382 read 108 wait 12 copy 0 displaced 0 charged 0 total 120'
 */
export function placementFields(plan: PlacementPlan | undefined): EventFields {
  if (!plan) return {};
  const { cost, ownerCost, copyFrom } = plan;
  const isOwner = ownerCost?.server === cost.server;
  return {
    cost: toText(cost),
    ownerCost: ownerCost && !isOwner ? toText(ownerCost) : undefined,
    copyFrom,
  };
}

/** One text for all terms, so that a line has few fields. */
export function toText(cost: PlacementCost): string {
  const values = Object.entries(terms).map(([key, word]) => {
    return `${word} ${String(Math.round(cost[key as keyof typeof terms]))}`;
  });
  return [cost.server, `kept ${String(Math.round(cost.keptTokens))}`, ...values].join(' ');
}
