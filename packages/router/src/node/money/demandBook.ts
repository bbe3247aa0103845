/** Demand of a data centre per account, seen from the spend that its journal shows. */

import type {
  AccountId,
  DemandEstimate,
  EpochMs,
  JournalState,
  Tokens,
} from '@flamingocourse/core';
import { NO_DEMAND, currentDemand, observeDemand } from '@flamingocourse/core';

/** Estimates by account. */
export class DemandBook {
  readonly #estimates = new Map<AccountId, DemandEstimate>();
  readonly #spent = new Map<AccountId, Tokens>();

  /** Counts what was spent since the last look. */
  observe(journal: JournalState, now: EpochMs): void {
    for (const [account, { spent }] of Object.entries(journal.accounts)) {
      this.add(account, spent - (this.#spent.get(account) ?? spent), now);
      this.#spent.set(account, spent);
    }
  }

  /** Counts tokens that were asked for. */
  add(account: AccountId, amount: Tokens, now: EpochMs): void {
    const estimate = this.#estimates.get(account) ?? NO_DEMAND;
    this.#estimates.set(account, observeDemand(estimate, amount, now));
  }

  /** Tokens a second, as of now. */
  rate(account: AccountId, now: EpochMs): number {
    return currentDemand(this.#estimates.get(account) ?? NO_DEMAND, now);
  }
}
