/**
 * The journal of a data centre: one platform object that is changed only by conditional update. It
 * records how many tokens each router may spend, the bills, and the non-idempotent requests that
 * were started.
 */

import type {
  AccountId,
  DataCentreId,
  EpochMs,
  IncarnationId,
  Tokens,
  WorkClassName,
} from './ids.js';

/**
 * State of a holder. In `sealing` its own writes are refused. In `sealed` the lines stored by its
 * witnesses have been applied too, so its slices are free again. `closed` is a clean shutdown by
 * the holder itself.
 */
export type HolderState = 'open' | 'sealing' | 'sealed' | 'closed';

/** Journal entry of one router incarnation: the tokens that it holds and what it has recorded. */
export interface JournalHolder {
  state: HolderState;
  /**
   * Sequence number of the last line applied. Lines are numbered without gaps and applied in order.
   */
  seq: number;
  /** Incarnations that may store this holder's lines while the platform is unreachable. */
  witnesses: IncarnationId[];
  /** Tokens that this holder may spend, per account. */
  slices: Record<AccountId, Tokens>;
  /** Numbers of non-idempotent tickets that were dispatched and have no outcome yet. */
  openIntents: number[];
  /** Numbers of billed or completed tickets, as sorted, disjoint, inclusive intervals. */
  done: [number, number][];
  /** First and last bill segment that may contain a line of this holder. */
  segments: { first: number; last: number };
  /** When the holder registered. */
  since: EpochMs;
  /**
   * Earlier incarnations of the same process, newest last. The process still has the lines that it
   * stored as a witness under these incarnations, and answers requests for them.
   */
  formerly?: IncarnationId[];
  /** Set when an operator stated that the holder and a witness are destroyed. Bills may be lost. */
  writtenOff?: true;
}

/** Totals of one account in one data centre. All of them only increase. */
export interface JournalAccount {
  /** Tokens that the ledger granted to this data centre, merged by maximum. */
  grantedIn: Tokens;
  /** Tokens that this data centre returned to the ledger, which merges them by maximum. */
  returnedOut: Tokens;
  /** Sum of all bills of this account in this data centre. */
  spent: Tokens;
  /** `spent` by class of work; limits each class to its share of the budget. */
  spentByClass?: Record<WorkClassName, Tokens>;
}

/** Why a change of the journal was refused. */
export interface JournalFault {
  code: 'gap' | 'unknown-holder' | 'not-open' | 'not-sealing' | 'invalid';
  message: string;
}

/** One line of an invoice: exactly one per billed request. */
export interface Bill {
  holder: IncarnationId;
  ticket: number;
  account: AccountId;
  workClass: string;
  service: string;
  cost: Tokens;
  promptTokens: Tokens;
  completionTokens: Tokens;
  /** Digest of the caller's idempotency key, where one was given. */
  keyDigest?: string;
  /**
   * Body digest of a request whose idempotency key could not be claimed before the answer was sent.
   * Set only while the bill is provisional.
   */
  unclaimed?: string;
  at: EpochMs;
}

/** Stored answer to a non-idempotent request, so that a retry gets the whole original answer. */
export interface Outcome {
  holder: IncarnationId;
  ticket: number;
  status: number;
  contentType: string;
  /** Body as base64; absent when it was larger than the limit for stored answers. */
  body?: string;
  at: EpochMs;
}

/** Value of the platform object `journals/{dataCentre}`. */
export interface JournalState {
  dataCentre: DataCentreId;
  accounts: Record<AccountId, JournalAccount>;
  holders: Record<IncarnationId, JournalHolder>;
  /** Number of the open segment. The bills and outcomes below belong to it. */
  segment: number;
  bills: Bill[];
  outcomes: Outcome[];
  /**
   * Bills of answered requests whose idempotency key has not been claimed yet. Their cost is
   * charged. Each becomes final or void once the claim shows which ticket owns the key.
   */
  provisional?: Bill[];
}

/** A change that a holder makes to its own journal entry. */
export type JournalChange =
  | { type: 'take'; account: AccountId; amount: Tokens }
  | { type: 'give'; account: AccountId; amount: Tokens }
  | { type: 'transfer'; to: IncarnationId; account: AccountId; amount: Tokens }
  | { type: 'intent'; ticket: number }
  | { type: 'bill'; bill: Bill }
  | { type: 'outcome'; outcome: Outcome }
  | { type: 'not-run'; ticket: number }
  | { type: 'witnesses'; witnesses: IncarnationId[] }
  | { type: 'close' };

/** A change with its gapless sequence number per holder, which makes it idempotent. */
export interface JournalLine {
  holder: IncarnationId;
  seq: number;
  change: JournalChange;
}

/** Value of the create-only platform object `segments/{dataCentre}-{number}`. */
export interface BillSegment {
  dataCentre: DataCentreId;
  number: number;
  bills: Bill[];
  outcomes: Outcome[];
}
