/** Estimates the token demand per account, in tokens per second. */

import type {
  AccountId,
  DemandEstimate,
  EpochMs,
  JournalState,
  Tokens,
} from '@flamingocourse/core';
import { NO_DEMAND, currentDemand, observeDemand } from '@flamingocourse/core';

/**
 * Demand estimates by account, from the spend in a journal ({@link DemandTracker.observe}) or from
 * requested amounts ({@link DemandTracker.add}).
 */
export class DemandTracker {
  readonly #estimates = new Map<AccountId, DemandEstimate>();
  readonly #spent = new Map<AccountId, Tokens>();

  /** Adds the tokens that were spent since the last observed journal. */
  observe(journal: JournalState, now: EpochMs): void {
    for (const [account, { spent }] of Object.entries(journal.accounts)) {
      this.add(account, spent - (this.#spent.get(account) ?? spent), now);
      this.#spent.set(account, spent);
    }
  }

  /** Adds an amount to the demand of an account. */
  add(account: AccountId, amount: Tokens, now: EpochMs): void {
    const estimate = this.#estimates.get(account) ?? NO_DEMAND;
    this.#estimates.set(account, observeDemand(estimate, amount, now));
  }

  /** Returns the current demand in tokens per second. */
  rate(account: AccountId, now: EpochMs): number {
    return currentDemand(this.#estimates.get(account) ?? NO_DEMAND, now);
  }
}
