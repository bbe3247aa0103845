/** The budget service as the request path uses it: reservations, bills, tickets and claims. */

import type {
  AccountId,
  Bill,
  EpochMs,
  Importance,
  Outcome,
  Refusal,
  TicketId,
  Tokens,
  WorkClassName,
} from '@flamingocourse/core';
import type { Result } from 'true-myth';
import { Service } from '@flamingocourse/kernel';

/** Arguments of {@link Money.reserve}. */
export interface ReservationRequest {
  account: AccountId;
  workClass: WorkClassName;
  importance: Importance;
  /** Fraction of the account's budget that the work class may spend, from 0 to 1. */
  budgetShare: number;
  /** Most tokens that the request can cost, retries included. */
  amount: Tokens;
  /** Time after which the caller no longer needs the answer. */
  deadline: EpochMs;
}

/** Tokens reserved for one request. A reservation is billed or released exactly once. */
export interface Reservation {
  readonly id: number;
  readonly account: AccountId;
  readonly workClass: WorkClassName;
  readonly amount: Tokens;
}

/** Fields of a bill that the reservation does not already contain. */
export type BillDetails = Omit<Bill, 'holder' | 'ticket' | 'account' | 'workClass' | 'at'>;

/** Result of looking up a ticket that another incarnation issued. */
export type TicketResolution =
  /** The issuer is alive and can be asked at this URL. */
  | { type: 'elsewhere'; entryUrl: string }
  /** The answer is stored. */
  | { type: 'answered'; outcome: Outcome }
  /** The request was billed, but its answer is not stored. */
  | { type: 'billed' }
  /** An intent is recorded, so the request may have run. */
  | { type: 'started' }
  /** The request was certainly not billed and cannot be any more. */
  | { type: 'not-run' }
  /** The outcome cannot be known now. */
  | { type: 'unknown' };

/**
 * Result of a claim on an idempotency key: the key belongs to the claiming ticket (`own`), to
 * another ticket (`other`), or to a request with another body (`other-body`). With `unreachable`
 * the owner is not known.
 */
export type ClaimAnswer =
  | { type: 'own' }
  | { type: 'other'; ticket: TicketId }
  | { type: 'other-body' }
  | { type: 'unreachable' };

/**
 * Budget, bills, tickets and claims of this router. Registered with the kernel as `money`.
 *
 * A bill, an intent or another journal line is `kept` once it is in the journal of the data centre
 * or in the memory of a witness, a peer that stores lines while the journal is slow or unreachable.
 */
export abstract class Money extends Service {
  override readonly name = 'money';

  /**
   * Whether the router may spend tokens and can store journal lines. False before this incarnation
   * is registered in the journal and after it is sealed.
   */
  abstract get ready(): boolean;

  /** Issues the next ticket of this incarnation. */
  abstract nextTicket(): TicketId;

  /**
   * Reserves the most that a request can cost, before anything is sent to a backend server. Waits
   * for tokens when too few are free, for at most the setting `reserveWaitMs` and not after the
   * deadline of the request.
   */
  abstract reserve(request: ReservationRequest): Promise<Result<Reservation, Refusal>>;

  /**
   * Bills the actual use, at most the reserved amount, under a ticket and releases the rest of the
   * reservation. Resolves once the bill is kept. The final event may be sent to the caller only
   * after that. The refusal `outcome-unknown` means that the bill may or may not be kept.
   */
  abstract bill(
    reservation: Reservation,
    ticket: TicketId,
    details: BillDetails,
    outcome?: Outcome,
  ): Promise<Result<'kept', Refusal>>;

  /** Releases a reservation without a bill. */
  abstract release(reservation: Reservation): void;

  /**
   * Records that a request that is not idempotent is about to be sent to a backend server. The
   * request may be sent only after this has resolved.
   */
  abstract recordIntent(ticket: TicketId): Promise<Result<'kept', Refusal>>;

  /** Records that a request with a recorded intent certainly did not run. */
  abstract recordNotRun(ticket: TicketId): void;

  /**
   * Claims an idempotency key for a ticket.
   *
   * @param keyDigest Digest of the account and the caller's key.
   */
  abstract claim(keyDigest: string, bodyDigest: string, ticket: TicketId): Promise<ClaimAnswer>;

  /**
   * Releases a claim that a ticket may have on a key. The ticket has ended and will not be billed,
   * so another request with the same key may be. Repeats the write until the platform accepts it.
   */
  abstract releaseClaim(keyDigest: string, bodyDigest: string, ticket: TicketId): void;

  /** Looks up the outcome of a ticket that another incarnation issued. */
  abstract resolveTicket(ticket: TicketId): Promise<TicketResolution>;

  /** Moves a claim to another ticket. The ticket `from` is known never to be billed. */
  abstract takeOverClaim(keyDigest: string, from: TicketId, to: TicketId): Promise<ClaimAnswer>;
}
