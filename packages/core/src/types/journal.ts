/**
 * The journal of a data centre: one platform object, changed only by conditional update, that says
 * which router may spend what, what was billed and which non-idempotent requests were started.
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
 * Life of a holder. `sealing` stops its own writes; `sealed` means that the lines kept by its
 * witnesses have been applied too, so its slices are free again; `closed` is its own clean end.
 */
export type HolderState = 'open' | 'sealing' | 'sealed' | 'closed';

/** What one router incarnation holds and has recorded. */
export interface JournalHolder {
  state: HolderState;
  /** Sequence number of the last line applied; lines are dense and applied in order. */
  seq: number;
  /** Incarnations that may keep this holder's lines while the platform cannot be reached. */
  witnesses: IncarnationId[];
  /** Tokens that this holder may spend, per account. */
  slices: Record<AccountId, Tokens>;
  /** Numbers of non-idempotent tickets dispatched and without an outcome yet. */
  openIntents: number[];
  /** Billed or completed ticket numbers, as sorted, disjoint, inclusive intervals. */
  done: [number, number][];
  /** First and last bill segment with a line of this holder. */
  segments: { first: number; last: number };
  /** When the holder registered. */
  since: EpochMs;
  /**
   * Earlier incarnations of the same process, newest last. It still has the lines that it kept as
   * their witness, and answers for them.
   */
  formerly?: IncarnationId[];
  /** Set when an operator stated that holder and witnesses are destroyed; bills may be lost. */
  writtenOff?: true;
}

/** Totals of one account in one data centre. All three only ever rise. */
export interface JournalAccount {
  /** Copy of what the ledger granted to this data centre, merged by maximum. */
  grantedIn: Tokens;
  /** What this data centre handed back; the ledger copies it by maximum. */
  returnedOut: Tokens;
  /** Sum of all bills of this account in this data centre. */
  spent: Tokens;
  /** `spent` by class of work, for the classes' shares of the budget. */
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
   * Body digest of a request whose key could not be claimed before it was answered. Stands only
   * while the bill is provisional.
   */
  unclaimed?: string;
  at: EpochMs;
}

/** Kept answer of a non-idempotent request, so that a retry gets the whole original answer. */
export interface Outcome {
  holder: IncarnationId;
  ticket: number;
  status: number;
  contentType: string;
  /** Body as base64; absent when it was larger than the limit for kept answers. */
  body?: string;
  at: EpochMs;
}

/** Value of the platform object `journals/{dataCentre}`. */
export interface JournalState {
  dataCentre: DataCentreId;
  accounts: Record<AccountId, JournalAccount>;
  holders: Record<IncarnationId, JournalHolder>;
  /** Number of the open segment; bills and outcomes below belong to it. */
  segment: number;
  bills: Bill[];
  outcomes: Outcome[];
  /**
   * Bills of answered requests whose key has not been claimed yet. Their cost is charged, and each
   * becomes a bill or is void once the claim tells which ticket owns the key.
   */
  provisional?: Bill[];
}

/** A change that a holder makes to its own entry. */
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

/** A change with its place in the holder's own dense sequence, which makes it idempotent. */
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
