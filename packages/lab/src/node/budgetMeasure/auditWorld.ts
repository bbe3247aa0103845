/** Checks after a run: no overspend, and each kept bill in the record exactly once. */

import type { BillSegment, Bill, JournalState, LedgerPage } from '@flamingocourse/core';
import type { BudgetWorld } from './budgetWorld.js';
import type { RequestRecord } from '../../runtime/budgetMeasure/requestPlan.js';
import { checkInvariant, checkLedgerInvariant } from '@flamingocourse/core';

/** What the record says of a run. */
export interface MoneyAudit {
  /** Tokens spent beyond the limits, over all accounts. */
  overspend: number;
  /** Bills said to be kept and not in the record. */
  lostBills: number;
  /** Bills that are in the record more than once. */
  doubledBills: number;
  /** Other faults, as sentences. */
  faults: string[];
}

/** Audits the store of a run whose routers have stopped. */
export function auditWorld(world: BudgetWorld, records: readonly RequestRecord[]): MoneyAudit {
  const journals = journalsOf(world);
  const bills = journals.flatMap((journal) => billsOf(world, journal));
  const ids = bills.map((bill) => `${bill.holder}#${bill.ticket}`);
  const known = new Set(ids);
  const kept = records.filter(
    ({ billId, outcome }) => billId !== undefined && outcome === 'served',
  );
  return {
    overspend: overspendOf(ledgerOf(world), bills),
    lostBills: kept.filter(({ billId }) => billId !== undefined && !known.has(billId)).length,
    doubledBills: ids.length - known.size,
    faults: [...invariantFaults(world, journals), ...sumFaults(journals, bills)],
  };
}

/** Journals of all data centres of the run. */
export function journalsOf(world: BudgetWorld): JournalState[] {
  const names = new Set(world.all().map((info) => info.dataCentre));
  return [...names].map((name) => world.store.peek('journals', name) as JournalState);
}

/** The ledger page of the run. */
export function ledgerOf(world: BudgetWorld): LedgerPage {
  return world.store.peek('ledgers', '0') as LedgerPage;
}

function billsOf(world: BudgetWorld, journal: JournalState): Bill[] {
  const bills = [...journal.bills];
  for (let number = 0; number < journal.segment; number += 1) {
    const segment = world.store.peek('segments', `${journal.dataCentre}-${number}`);
    bills.push(...(segment as BillSegment).bills);
  }
  return bills;
}

function overspendOf(ledger: LedgerPage, bills: Bill[]): number {
  const spent = new Map<string, number>();
  for (const { account, cost } of bills) spent.set(account, (spent.get(account) ?? 0) + cost);
  let overspend = 0;
  for (const [account, { limit }] of Object.entries(ledger.accounts)) {
    overspend += Math.max(0, (spent.get(account) ?? 0) - limit);
  }
  return overspend;
}

function invariantFaults(world: BudgetWorld, journals: JournalState[]): string[] {
  const faults = journals
    .filter((journal) => checkInvariant(journal) !== undefined)
    .map((journal) => `the journal of ${journal.dataCentre} breaks its invariant.`);
  const account = checkLedgerInvariant(ledgerOf(world));
  if (account !== undefined) faults.push(`the ledger grants more than the limit of ${account}.`);
  for (const { failures, fleet } of world.routers) {
    for (const err of failures) faults.push(`${fleet.self.instance} reports: ${String(err)}`);
  }
  return faults;
}

function sumFaults(journals: JournalState[], bills: Bill[]): string[] {
  const billed = bills.reduce((sum, bill) => sum + bill.cost, 0);
  let spent = 0;
  for (const { accounts } of journals) {
    for (const account of Object.values(accounts)) spent += account.spent;
  }
  return billed === spent ? [] : [`the bills sum to ${billed}, the journals' spend to ${spent}.`];
}
