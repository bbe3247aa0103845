/**
 * Central ledgers that are never cut off, fed with the same arrivals as the fleet. A request that
 * the fleet refuses for budget while such a ledger could carry it is a false refusal.
 */

import type { AccountId, EpochMs, Tokens } from '@flamingocourse/core';
import type { RequestRecord } from './requestPlan.js';

/** `naive` sets the worst case aside and settles later; `perfect` knows the cost beforehand. */
export type OracleType = 'naive' | 'perfect';

/** A top-up at its time. */
export interface OracleTopUp {
  account: AccountId;
  amount: Tokens;
  at: EpochMs;
  /** The data centres' routers (by index) that a cut keeps from learning of it, and until when. */
  hiddenFrom?: { routers: readonly number[]; until: EpochMs };
}

/** Refusals of the fleet against one oracle. */
export interface FalseRefusals {
  /** The oracle could carry the request. */
  count: number;
  /** Could carry it only with a top-up that a cut hid from the router; not in `count`. */
  hiddenTopUp: number;
}

/** Reasons that mean that the budget, or the way to it, was lacking. */
const BUDGET_REASONS = new Set([
  'budget-exhausted',
  'budget-unreachable',
  'class-share-exhausted',
  'not-ready',
]);

interface Settlement {
  at: EpochMs;
  amount: Tokens;
}

/**
 * Counts the false refusals of a trace.
 *
 * @example
 * countFalseRefusals('naive', new Map([['kirk', 1_000]]), records, []);
 */
export function countFalseRefusals(
  type: OracleType,
  budgets: ReadonlyMap<AccountId, Tokens>,
  records: readonly RequestRecord[],
  topUps: readonly OracleTopUp[],
): FalseRefusals {
  const found: FalseRefusals = { count: 0, hiddenTopUp: 0 };
  for (const [account, budget] of budgets) {
    const own = records.filter((record) => record.account === account);
    const raised = topUps.filter((topUp) => topUp.account === account);
    judgeAccount(type, budget, own, raised, found);
  }
  return found;
}

function judgeAccount(
  type: OracleType,
  budget: Tokens,
  records: RequestRecord[],
  topUps: OracleTopUp[],
  found: FalseRefusals,
): void {
  const sorted = records.sort((left, right) => left.arrivedAt - right.arrivedAt);
  let settlements: Settlement[] = [];
  let free = budget;
  for (const record of sorted) {
    const now = record.arrivedAt;
    free += total(settlements.filter((one) => one.at <= now));
    settlements = settlements.filter((one) => one.at > now);
    const raised = total(topUps.filter((topUp) => topUp.at <= now));
    const asked = type === 'naive' ? record.worst : record.cost;
    if (free + raised < asked) continue;
    free -= asked;
    const unused = asked - record.cost;
    if (unused > 0) settlements.push({ at: now + record.durationMs, amount: unused });
    if (!BUDGET_REASONS.has(record.outcome)) continue;
    const hidden = total(topUps.filter((topUp) => isHidden(topUp, record)));
    if (free + asked + raised - hidden < asked) found.hiddenTopUp += 1;
    else found.count += 1;
  }
}

function isHidden(topUp: OracleTopUp, { arrivedAt, router }: RequestRecord): boolean {
  const { hiddenFrom } = topUp;
  if (!hiddenFrom || topUp.at > arrivedAt || arrivedAt >= hiddenFrom.until) return false;
  return hiddenFrom.routers.includes(router);
}

function total(entries: { amount: Tokens }[]): Tokens {
  return entries.reduce((sum, entry) => sum + entry.amount, 0);
}
