/** Checks budgets and bills in the objects that the platform stores. */

import type { AccountId, Bill, JournalState, LedgerPage, Tokens } from '@flamingocourse/core';
import {
  checkInvariant,
  checkLedgerInvariant,
  pool,
  ungranted,
  entryOf,
} from '@flamingocourse/core';

/** Ledgers and journals, all read at the same moment. */
export interface MoneyView {
  ledgers: LedgerPage[];
  journals: JournalState[];
}

/** Lists violations of the invariants that hold at any moment and under any fault. */
export function findMoneyFaults({ ledgers, journals }: MoneyView): string[] {
  const faults: string[] = [];
  for (const page of ledgers) {
    const overGranted = checkLedgerInvariant(page);
    if (overGranted !== undefined)
      faults.push(`ledger page ${page.page}: ${overGranted} granted above its limit`);
    for (const [account, { limit }] of Object.entries(page.accounts)) {
      const used = sumOver(journals, (journal) => spentIn(journal, account));
      if (used > limit) faults.push(`${account}: ${used} billed, above the limit of ${limit}`);
    }
  }
  for (const journal of journals) {
    const overdrawn = checkInvariant(journal);
    if (overdrawn !== undefined)
      faults.push(
        `journal ${journal.dataCentre}: slices of ${overdrawn} exceed the tokens of the data centre`,
      );
  }
  return faults;
}

/**
 * Lists violations of the invariants that hold once all requests and transfers have ended: ledger and
 * journals agree, the bills add up to the spent tokens, and limit = billed + held + free exactly.
 */
export function findQuiescentFaults(view: MoneyView, bills: readonly Bill[]): string[] {
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
  const entry = entryOf(ledgers.find((page) => entryOf(page.accounts, account))?.accounts, account);
  if (!entry) return [];
  const faults: string[] = [];
  for (const journal of journals) {
    const own = entryOf(journal.accounts, account);
    const share = entryOf(entry.shares, journal.dataCentre);
    for (const counter of ['grantedIn', 'returnedOut', 'spent'] as const) {
      const [inLedger, inJournal] = [share?.[counter] ?? 0, own?.[counter] ?? 0];
      if (inLedger === inJournal) continue;
      faults.push(
        `${account} in ${journal.dataCentre}: ${counter} is ${inLedger} in the ledger and ${inJournal} in the journal`,
      );
    }
  }
  const billed = sumOver(journals, (journal) => spentIn(journal, account));
  const billSum = sumOver(bills, (bill) => (bill.account === account ? bill.cost : 0));
  if (billSum !== billed)
    faults.push(`${account}: bills add up to ${billSum}, the journals have ${billed}`);
  const held = sumOver(
    journals,
    (journal) => pool(journal, account) + heldInSlices(journal, account),
  );
  const free = ungranted(entry) + entry.pendingReduction;
  if (billed + held + free !== entry.limit) {
    faults.push(`${account}: limit ${entry.limit} is not ${billed} + ${held} + ${free}`);
  }
  return faults;
}

function spentIn(journal: JournalState, account: AccountId): Tokens {
  return entryOf(journal.accounts, account)?.spent ?? 0;
}

function heldInSlices(journal: JournalState, account: AccountId): Tokens {
  return sumOver(Object.values(journal.holders), (holder) => entryOf(holder.slices, account) ?? 0);
}

function sumOver<T>(items: readonly T[], amount: (item: T) => Tokens): Tokens {
  return items.reduce((sum, item) => sum + amount(item), 0);
}
