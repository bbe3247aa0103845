/** Computes the spend of accounts from the platform's ledgers and journals. */

import type { JournalState, LedgerPage } from '@flamingocourse/core';
import { entryOf } from '@flamingocourse/core';

/** Spend of one account against its budget, in tokens. */
export interface SpendRow {
  account: string;
  limit: number;
  /** Sum of all bills, from the journals. */
  spent: number;
  /** Granted to data centres and not returned, spent or not, from the ledger. */
  committed: number;
  /** Whether `spent` or `committed` exceeds the budget. */
  over: boolean;
}

/**
 * Computes the spend of every account, largest budget first.
 *
 * @example
 * const over = computeSpend(ledgers, journals).filter((row) => row.over);
 */
export function computeSpend(
  ledgers: readonly LedgerPage[],
  journals: readonly JournalState[],
): SpendRow[] {
  const accounts = ledgers.flatMap((page) => Object.entries(page.accounts));
  return accounts
    .map(([account, { limit, shares }]) => {
      const spent = journals.reduce(
        (sum, journal) => sum + (entryOf(journal.accounts, account)?.spent ?? 0),
        0,
      );
      const committed = Object.values(shares).reduce(
        (sum, share) => sum + share.grantedIn - share.returnedOut,
        0,
      );
      return { account, limit, spent, committed, over: spent > limit || committed > limit };
    })
    .sort((one, other) => other.limit - one.limit);
}
