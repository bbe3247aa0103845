/** The ledger: pages of prepaid budgets, shared by all data centres. */

import type { AccountId, DataCentreId, EpochMs, Tokens, WorkClassName } from './ids.js';

/** What one data centre took from an account's budget. All three only ever rise. */
export interface LedgerShare {
  grantedIn: Tokens;
  returnedOut: Tokens;
  spent: Tokens;
  /** `spent` by class of work. */
  spentByClass?: Record<WorkClassName, Tokens>;
}

/** A top-up (positive) or reduction (negative) that was applied, kept to make it idempotent. */
export interface BudgetChange {
  id: string;
  amount: Tokens;
  by: string;
  at: EpochMs;
}

/** Budget of one client account. Invariant: sum of (grantedIn - returnedOut) <= limit. */
export interface LedgerAccount {
  limit: Tokens;
  /** Reduction asked for and not yet possible, because data centres still hold the tokens. */
  pendingReduction: Tokens;
  shares: Record<DataCentreId, LedgerShare>;
  changes: BudgetChange[];
}

/** Value of the platform object `ledgers/{page}`. */
export interface LedgerPage {
  page: number;
  accounts: Record<AccountId, LedgerAccount>;
}
