/**
 * Central ledgers that are always reachable and get the same arrivals as the fleet. A request that
 * the fleet refuses because of its budget, although such a ledger could pay for it, is a false refusal.
 */

import type { AccountId, EpochMs, Tokens } from '@flamingocourse/core';
import type { RequestRecord } from './requestPlan.js';

/** `naive` reserves the worst case and settles later; `perfect` knows the cost in advance. */
export type OracleType = 'naive' | 'perfect';

/** A top-up and when it takes effect. */
export interface OracleTopUp {
  account: AccountId;
  amount: Tokens;
  at: EpochMs;
  /** Indices of the routers that do not get it because of a partition, and until when. */
  hiddenFrom?: { routers: readonly number[]; until: EpochMs };
}

/** False refusals of the fleet, compared with one oracle. */
export interface FalseRefusals {
  /** Refused requests that the oracle could pay for. */
  count: number;
  /** Payable only with a top-up that a partition hid from the router; not included in `count`. */
  hiddenTopUp: number;
}

/** Refusal reasons that mean that the budget was exhausted or could not be reached. */
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
    const toppedUp = topUps.filter((topUp) => topUp.account === account);
    checkAccount(type, budget, own, toppedUp, found);
  }
  return found;
}

function checkAccount(
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
    const toppedUp = total(topUps.filter((topUp) => topUp.at <= now));
    const required = type === 'naive' ? record.worst : record.cost;
    if (free + toppedUp < required) continue;
    free -= required;
    const unused = required - record.cost;
    if (unused > 0) settlements.push({ at: now + record.durationMs, amount: unused });
    if (!BUDGET_REASONS.has(record.outcome)) continue;
    const hidden = total(topUps.filter((topUp) => isHidden(topUp, record)));
    if (free + required + toppedUp - hidden < required) found.hiddenTopUp += 1;
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
