/** Tokens that requests of this router wait for, per account. */

import type { AccountId, Tokens } from '@flamingocourse/core';

/**
 * Sums the amounts of the waiting requests, so that the tokens for all of them are fetched
 * together. Fetching for one request at a time would cost one round trip to the ledger per request.
 */
export class WaitingTokens {
  readonly #sums = new Map<AccountId, Tokens>();

  /** Returns the total amount of the waiting requests. */
  sum(account: AccountId): Tokens {
    return this.#sums.get(account) ?? 0;
  }

  /** Adds a request and returns a function that removes it. Removing it twice has no effect. */
  add(account: AccountId, amount: Tokens): () => void {
    this.#sums.set(account, this.sum(account) + amount);
    let isCounted = true;
    return () => {
      if (!isCounted) return;
      isCounted = false;
      this.#sums.set(account, this.sum(account) - amount);
    };
  }
}
