/** What the request path asks of the budget services. */

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

/** A request's wish to set tokens aside. */
export interface ReservationRequest {
  account: AccountId;
  workClass: WorkClassName;
  importance: Importance;
  /** Part of the account's budget that the class may draw, from 0 to 1. */
  budgetShare: number;
  /** Worst case of the whole request, further attempts included. */
  amount: Tokens;
  /** Latest time at which an answer is still of use. */
  deadline: EpochMs;
}

/** Tokens set aside for one request; spent or released exactly once. */
export interface Reservation {
  readonly id: number;
  readonly account: AccountId;
  readonly workClass: WorkClassName;
  readonly amount: Tokens;
}

/** What a bill says beyond what the reservation already knows. */
export type BillDetails = Omit<Bill, 'holder' | 'ticket' | 'account' | 'workClass' | 'at'>;

/** How the journal and the issuer answer for a ticket of another incarnation. */
export type TicketResolution =
  | { type: 'elsewhere'; entryUrl: string }
  | { type: 'answered'; outcome: Outcome }
  | { type: 'billed' }
  | { type: 'started' }
  | { type: 'not-run' }
  | { type: 'unknown' };

/** Answer to a claim on an idempotency key. */
export type ClaimAnswer =
  | { type: 'own' }
  | { type: 'other'; ticket: TicketId }
  | { type: 'other-body' }
  | { type: 'unreachable' };

/** Budget, bills, tickets and claims of this router. Registered as `money`. */
export abstract class Money extends Service {
  override readonly name = 'money';

  /** Whether the router holds rights and can keep lines; false before registration and when sealed. */
  abstract get ready(): boolean;

  /** Issues the next ticket of this incarnation. */
  abstract nextTicket(): TicketId;

  /** Sets the worst case aside before anything is sent; may wait briefly for tokens to arrive. */
  abstract reserve(request: ReservationRequest): Promise<Result<Reservation, Refusal>>;

  /**
   * Bills the actual use (at most the reserved amount) under a ticket and resolves once the line is
   * kept; only then may the caller see the final event. Frees the rest of the reservation.
   */
  abstract bill(
    reservation: Reservation,
    ticket: TicketId,
    details: BillDetails,
    outcome?: Outcome,
  ): Promise<Result<'kept', Refusal>>;

  /** Frees a reservation under which nothing is to be billed. */
  abstract release(reservation: Reservation): void;

  /** Keeps the intent to dispatch a non-idempotent ticket; must resolve before dispatch. */
  abstract recordIntent(ticket: TicketId): Promise<Result<'kept', Refusal>>;

  /** States that an intended dispatch provably did not happen. */
  abstract recordNotRun(ticket: TicketId): void;

  /** Binds a caller's key to a ticket. `keyDigest` covers account and key. */
  abstract claim(keyDigest: string, bodyDigest: string, ticket: TicketId): Promise<ClaimAnswer>;

  /**
   * States that a ticket which may own a key has ended and will not be billed, so that another of the same
   * key can be. Told to the platform as soon as it answers.
   */
  abstract giveUpClaim(keyDigest: string, bodyDigest: string, ticket: TicketId): void;

  /** Finds out what became of a ticket that this incarnation did not issue. */
  abstract resolveTicket(ticket: TicketId): Promise<TicketResolution>;

  /** Takes a claim over from a ticket that provably was not billed. */
  abstract takeOverClaim(keyDigest: string, from: TicketId, to: TicketId): Promise<ClaimAnswer>;
}
