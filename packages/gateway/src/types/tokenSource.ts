/** Where an instance gets its rights to spend from: the store, or a lender of its data centre. */

import type { AccountId, EpochMs, PrepaidReservation, Tokens } from '@flamingocourse/core';

/** Whether it helps to ask a source for tokens now. */
export type FetchOutlook =
  | 'may-help'
  /** The source did not answer lately. */
  | 'away'
  /** It is asked too often by all instances together. */
  | 'throttled'
  /** It said just now that it has too few. */
  | 'short';

/** What a source knows of an account, for a refusal and its log line. */
export interface SourceView {
  /** Tokens that it could give beyond what is held here; undefined where nothing is known. */
  available: Tokens | undefined;
  /** The most that is left of the account anywhere; undefined where nothing is known. */
  left: Tokens | undefined;
  /** Milliseconds since that was known. */
  ageMs: number;
  inDoubt: Tokens | undefined;
}

/** One giver of rights, with what is held of them here. */
export abstract class TokenSource {
  /** The lender's name, or `store`. */
  abstract readonly name: string;
  /** Whether the last word was that it does not answer. */
  abstract get isLost(): boolean;
  /** Notes that a request of an account came. */
  abstract observe(account: AccountId, amount: Tokens, now: EpochMs): void;
  /** Sets tokens aside of those that are held here. */
  abstract reserve(account: AccountId, amount: Tokens): PrepaidReservation | undefined;
  /** Ends a reservation; false if another source made it. */
  abstract settle(reservation: PrepaidReservation, used: Tokens): boolean;
  abstract fetchOutlook(account: AccountId, amount: Tokens): FetchOutlook;
  /** Asks for what a request lacks; ends when that is had, when it is known not to come, or with the signal. */
  abstract fetch(account: AccountId, amount: Tokens, signal: AbortSignal): Promise<void>;
  /** Tokens free here. */
  abstract free(account: AccountId): Tokens;
  /** Tokens held here, those set aside included. */
  abstract held(account: AccountId): Tokens;
  /** @param limit the account's, by the configuration in force. */
  abstract view(account: AccountId, limit: Tokens, now: EpochMs): SourceView;
}
