/** The ledger: pages of prepaid budgets that all data centres share. */

import type { AccountId, DataCentreId, EpochMs, Tokens, WorkClassName } from './ids.js';

/** Tokens that one data centre took from an account's budget. All totals only increase. */
export interface LedgerShare {
  grantedIn: Tokens;
  returnedOut: Tokens;
  spent: Tokens;
  /** `spent` by class of work. */
  spentByClass?: Record<WorkClassName, Tokens>;
}

/** An applied top-up (positive) or reduction (negative), stored so that a repeat has no effect. */
export interface BudgetChange {
  id: string;
  amount: Tokens;
  by: string;
  at: EpochMs;
}

/** Budget of one client account. Invariant: sum of (grantedIn - returnedOut) <= limit. */
export interface LedgerAccount {
  limit: Tokens;
  /** Requested reduction that is not possible yet, because data centres still hold the tokens. */
  pendingReduction: Tokens;
  shares: Record<DataCentreId, LedgerShare>;
  changes: BudgetChange[];
}

/** Value of the platform object `ledgers/{page}`. */
export interface LedgerPage {
  page: number;
  accounts: Record<AccountId, LedgerAccount>;
}
