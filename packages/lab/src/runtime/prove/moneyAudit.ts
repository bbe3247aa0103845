/** Checks budgets and bills in the objects that the platform holds. */

import type { AccountId, Bill, JournalState, LedgerPage, Tokens } from '@flamingocourse/core';
import { checkInvariant, checkLedgerInvariant, pool, ungranted } from '@flamingocourse/core';

/** The money objects, all read at one moment. */
export interface MoneyView {
  ledgers: LedgerPage[];
  journals: JournalState[];
}

/** Names what must never be seen, at any moment and under any fault. */
export function findMoneyFaults({ ledgers, journals }: MoneyView): string[] {
  const faults: string[] = [];
  for (const page of ledgers) {
    const over = checkLedgerInvariant(page);
    if (over !== undefined) faults.push(`ledger page ${page.page}: ${over} granted over its limit`);
    for (const [account, { limit }] of Object.entries(page.accounts)) {
      const used = sumOver(journals, (journal) => spentIn(journal, account));
      if (used > limit) faults.push(`${account}: ${used} billed of a limit of ${limit}`);
    }
  }
  for (const journal of journals) {
    const over = checkInvariant(journal);
    if (over !== undefined)
      faults.push(`journal ${journal.dataCentre}: slices of ${over} too large`);
  }
  return faults;
}

/**
 * Names what does not add up once everything is quiet: ledger and journals agree, the lines of the
 * bills add up to what is billed, and limit = billed + held + free to the token.
 */
export function findQuietFaults(view: MoneyView, bills: readonly Bill[]): string[] {
  const faults = findMoneyFaults(view);
  for (const account of view.ledgers.flatMap((page) => Object.keys(page.accounts))) {
    faults.push(...findAccountFaults(view, bills, account));
  }
  return faults;
}

function findAccountFaults(
  { ledgers, journals }: MoneyView,
  bills: readonly Bill[],
  account: AccountId,
): string[] {
  const entry = ledgers.find((page) => page.accounts[account])?.accounts[account];
  if (!entry) return [];
  const faults: string[] = [];
  for (const journal of journals) {
    const own = journal.accounts[account];
    const share = entry.shares[journal.dataCentre];
    for (const counter of ['grantedIn', 'returnedOut', 'spent'] as const) {
      const [there, here] = [share?.[counter] ?? 0, own?.[counter] ?? 0];
      if (there === here) continue;
      faults.push(
        `${account} in ${journal.dataCentre}: ${counter} ${there} in ledger, ${here} here`,
      );
    }
  }
  const billed = sumOver(journals, (journal) => spentIn(journal, account));
  const lines = sumOver(bills, (bill) => (bill.account === account ? bill.cost : 0));
  if (lines !== billed) faults.push(`${account}: bills add up to ${lines}, ${billed} was billed`);
  const held = sumOver(journals, (journal) => pool(journal, account) + sliceSum(journal, account));
  const free = ungranted(entry) + entry.pendingReduction;
  if (billed + held + free !== entry.limit) {
    faults.push(`${account}: limit ${entry.limit} is not ${billed} + ${held} + ${free}`);
  }
  return faults;
}

function spentIn(journal: JournalState, account: AccountId): Tokens {
  return journal.accounts[account]?.spent ?? 0;
}

function sliceSum(journal: JournalState, account: AccountId): Tokens {
  return sumOver(Object.values(journal.holders), (holder) => holder.slices[account] ?? 0);
}

function sumOver<T>(items: readonly T[], amount: (item: T) => Tokens): Tokens {
  return items.reduce((sum, item) => sum + amount(item), 0);
}
