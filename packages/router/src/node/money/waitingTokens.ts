/** Tokens that the requests waiting in this router lack together, per account. */

import type { AccountId, Tokens } from '@flamingocourse/core';

/**
 * Sum of the waiting requests' amounts. Fetching for one request at a time would leave the others
 * waiting for as many round trips to the ledger.
 */
export class WaitingTokens {
  readonly #sums = new Map<AccountId, Tokens>();

  /** Tokens of all requests that wait. */
  sum(account: AccountId): Tokens {
    return this.#sums.get(account) ?? 0;
  }

  /** Counts a request until the returned function is called; a second call changes nothing. */
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
