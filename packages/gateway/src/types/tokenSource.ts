/** Source of an instance's prepaid tokens: the store, or a lender in its data centre. */

import type { AccountId, EpochMs, PrepaidReservation, Tokens } from '@flamingocourse/core';

/** Whether asking a source for tokens can help now. */
export type FetchOutlook =
  | 'may-help'
  /** The source did not answer the last call. */
  | 'away'
  /** All instances together exceed the rate limit of the source. */
  | 'throttled'
  /** A recent answer of the source shows too few tokens. */
  | 'short';

/** What a source knows about an account; used for a refusal and its log line. */
export interface SourceView {
  /** Tokens that the source could add to those held by this instance; undefined if unknown. */
  available: Tokens | undefined;
  /** Upper bound of the tokens left of the account in the whole fleet; undefined if unknown. */
  left: Tokens | undefined;
  /** Age of this information in milliseconds. */
  ageMs: number;
  inDoubt: Tokens | undefined;
}

/** One source of tokens, with the tokens from it that this instance holds. */
export abstract class TokenSource {
  /** The lender's name, or `store`. */
  abstract readonly name: string;
  /** Whether the last call got no answer. */
  abstract get isUnreachable(): boolean;
  /** Records a request of an account, for the estimate of its demand. */
  abstract observe(account: AccountId, amount: Tokens, now: EpochMs): void;
  /** Reserves tokens from those held by this instance; undefined if there are too few. */
  abstract reserve(account: AccountId, amount: Tokens): PrepaidReservation | undefined;
  /** Ends a reservation; false if another source made it. */
  abstract settle(reservation: PrepaidReservation, used: Tokens): boolean;
  abstract fetchOutlook(account: AccountId, amount: Tokens): FetchOutlook;
  /**
   * Asks the source for missing tokens. Resolves when the exchange with the source is over, with or without
   * tokens, or when the signal aborts.
   */
  abstract fetch(account: AccountId, amount: Tokens, signal: AbortSignal): Promise<void>;
  /** Tokens held by this instance and not reserved. */
  abstract free(account: AccountId): Tokens;
  /** Tokens held by this instance, including reserved ones. */
  abstract held(account: AccountId): Tokens;
  /** @param limit limit of the account in the active configuration. */
  abstract view(account: AccountId, limit: Tokens, now: EpochMs): SourceView;
}
