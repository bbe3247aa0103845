/** State and steps of the small world in which the real reducers are walked. */

import type {
  ClaimPage,
  ConfigStore,
  IncarnationId,
  JournalLine,
  JournalState,
  LedgerPage,
  Tokens,
  WitnessState,
} from '@flamingocourse/core';

/** What a request at one holder has reached. */
export type RunPhase =
  'idle' | 'claiming' | 'claimed' | 'reserved' | 'intended' | 'running' | 'ownBill' | 'billed';

/** A request that a holder works on; each holder has at most one at a time. */
export interface Run {
  readonly phase: RunPhase;
  readonly request: number;
  readonly amount: Tokens;
  /** Sequence number of the line that the next step waits for. */
  readonly lineAt: number;
}

/** One router incarnation. One that is frozen or killed takes no further step. */
export interface HolderWorld {
  /** Every line that it ever wrote. */
  readonly history: readonly JournalLine[];
  /** Lines under way to the journal; they may arrive any number of times. */
  readonly sent: readonly JournalLine[];
  /** Journal as it last read it. */
  readonly view: JournalState;
  /** Highest line of which a witness confirmed that it keeps it. */
  readonly keptSeq: number;
  /** Lines that it keeps for its peers. */
  readonly witness: WitnessState;
  readonly run: Run;
  /** Set once it has read that it is being sealed. */
  readonly ended: boolean;
  readonly config: ConfigStore;
}

/** What an observer of everything knows; no holder reads it. */
export interface Observed {
  readonly paid: Tokens;
  readonly started: readonly string[];
  /** Tickets, as `holder/request`, that were sent to a backend server. */
  readonly dispatched: readonly string[];
  /** Tickets of which somebody was told that they did not run. */
  readonly notRun: readonly string[];
  /** Requests whose caller has seen the final event. */
  readonly answered: readonly number[];
  readonly topUps: number;
  readonly published: number;
  readonly revisionFell: boolean;
}

/** Whole state of the world. Immutable. */
export interface World {
  readonly ledger: LedgerPage;
  readonly journals: Readonly<Record<string, JournalState>>;
  readonly holders: Readonly<Record<IncarnationId, HolderWorld>>;
  /** Answers of witnesses to a sealer, by `holder<witness`. */
  readonly fenced: Readonly<Record<string, readonly JournalLine[]>>;
  readonly claims: ClaimPage;
  readonly observed: Observed;
}

/** Kinds of steps; the names are those of the specification. */
export type StepType =
  | 'grant'
  | 'copyGrant'
  | 'startReturn'
  | 'copyReturn'
  | 'topUp'
  | 'take'
  | 'give'
  | 'renameWitnesses'
  | 'send'
  | 'deliver'
  | 'deliverLast'
  | 'readJournal'
  | 'keep'
  | 'replay'
  | 'startSeal'
  | 'fence'
  | 'finishSeal'
  | 'start'
  | 'claim'
  | 'takeOver'
  | 'reserve'
  | 'intent'
  | 'dispatch'
  | 'giveUp'
  | 'bill'
  | 'finalEvent'
  | 'publish'
  | 'merge';

/** A step; which fields count depends on its type. */
export interface Step {
  readonly type: StepType;
  readonly holder: IncarnationId;
  readonly dataCentre: string;
  readonly peer: IncarnationId;
  readonly amount: Tokens;
  readonly request: number;
}

/** A holder of the world and who keeps lines for it. */
export interface HolderSetup {
  readonly id: IncarnationId;
  readonly witnesses: readonly IncarnationId[];
}

/** How the world begins. */
export interface WorldSetup {
  readonly holders: readonly HolderSetup[];
  readonly openingTokens: Tokens;
  /** Tokens that each data centre has from the start. */
  readonly grantedAtStart: Tokens;
  /** Tokens that each holder has from the start. */
  readonly sliceAtStart: Tokens;
  /** Lines that a holder may write beyond that. */
  readonly maxLines: number;
}
