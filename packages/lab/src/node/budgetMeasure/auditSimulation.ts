/** Audits the store after a run: no overspend, and each acknowledged bill stored exactly once. */

import type { BillSegment, Bill, JournalState, LedgerPage } from '@flamingocourse/core';
import type { BudgetSimulation } from './budgetSimulation.js';
import type { RequestRecord } from '../../runtime/budgetMeasure/requestPlan.js';
import { checkInvariant, checkLedgerInvariant } from '@flamingocourse/core';

/** Result of the audit of a run. */
export interface MoneyAudit {
  /** Tokens spent above the limits, summed over all accounts. */
  overspend: number;
  /** Bills that were acknowledged as stored but are missing in the journals. */
  lostBills: number;
  /** Duplicates among the stored bills. */
  doubledBills: number;
  /** Descriptions of other faults. */
  faults: string[];
}

/** Audits the store of a run whose routers have stopped. */
export function auditSimulation(
  simulation: BudgetSimulation,
  records: readonly RequestRecord[],
): MoneyAudit {
  const journals = journalsOf(simulation);
  const bills = journals.flatMap((journal) => billsOf(simulation, journal));
  const ids = bills.map((bill) => `${bill.holder}#${bill.ticket}`);
  const known = new Set(ids);
  const acknowledged = records.filter(
    ({ billId, outcome }) => billId !== undefined && outcome === 'served',
  );
  return {
    overspend: overspendOf(ledgerOf(simulation), bills),
    lostBills: acknowledged.filter(({ billId }) => billId !== undefined && !known.has(billId))
      .length,
    doubledBills: ids.length - known.size,
    faults: [...findInvariantFaults(simulation, journals), ...findSumFaults(journals, bills)],
  };
}

/** Returns the journals of all data centres. */
export function journalsOf(simulation: BudgetSimulation): JournalState[] {
  const names = new Set(simulation.all().map((info) => info.dataCentre));
  return [...names].map((name) => simulation.store.peek('journals', name) as JournalState);
}

/** Returns the ledger page. */
export function ledgerOf(simulation: BudgetSimulation): LedgerPage {
  return simulation.store.peek('ledgers', '0') as LedgerPage;
}

function billsOf(simulation: BudgetSimulation, journal: JournalState): Bill[] {
  const bills = [...journal.bills];
  for (let number = 0; number < journal.segment; number += 1) {
    const segment = simulation.store.peek('segments', `${journal.dataCentre}-${number}`);
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

function findInvariantFaults(simulation: BudgetSimulation, journals: JournalState[]): string[] {
  const faults = journals
    .filter((journal) => checkInvariant(journal) !== undefined)
    .map((journal) => `the journal of ${journal.dataCentre} breaks its invariant.`);
  const account = checkLedgerInvariant(ledgerOf(simulation));
  if (account !== undefined) faults.push(`the ledger grants more than the limit of ${account}.`);
  for (const { failures, fleet } of simulation.routers) {
    for (const err of failures) faults.push(`${fleet.self.instance} reports: ${String(err)}`);
  }
  return faults;
}

function findSumFaults(journals: JournalState[], bills: Bill[]): string[] {
  const billed = bills.reduce((sum, bill) => sum + bill.cost, 0);
  let spent = 0;
  for (const { accounts } of journals) {
    for (const account of Object.values(accounts)) spent += account.spent;
  }
  return billed === spent ? [] : [`the bills sum to ${billed}, the journals' spend to ${spent}.`];
}
