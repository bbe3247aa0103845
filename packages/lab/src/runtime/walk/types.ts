/** State and steps of the model that runs the production reducers. */

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

/** How far a request at a holder has progressed. */
export type RunPhase =
  'idle' | 'claiming' | 'claimed' | 'reserved' | 'intended' | 'running' | 'ownBill' | 'billed';

/** A request that a holder runs; a holder runs at most one at a time. */
export interface Run {
  readonly phase: RunPhase;
  readonly request: number;
  readonly amount: Tokens;
  /** Sequence number of the line that the next step waits for. */
  readonly lineAt: number;
}

/** State of one router incarnation. A suspended or killed one takes no further step. */
export interface HolderState {
  /** All lines that it has written. */
  readonly history: readonly JournalLine[];
  /** Lines in flight to the journal; they may arrive any number of times. */
  readonly sent: readonly JournalLine[];
  /** Journal as of its last read. */
  readonly view: JournalState;
  /** Sequence number of the last line that a witness has confirmed to store. */
  readonly storedSeq: number;
  /** Lines that it stores for its peers. */
  readonly witness: WitnessState;
  readonly run: Run;
  /** Whether it has read that it is being sealed or has been sealed. */
  readonly ended: boolean;
  readonly config: ConfigStore;
}

/** History of the whole system, for the invariants; no holder reads it. */
export interface Observed {
  readonly paid: Tokens;
  readonly started: readonly string[];
  /** Tickets, as `holder/request`, that were sent to a backend server. */
  readonly dispatched: readonly string[];
  /** Tickets that were reported as not run. */
  readonly notRun: readonly string[];
  /** Requests whose final event was sent to the caller. */
  readonly answered: readonly number[];
  readonly topUps: number;
  readonly published: number;
  readonly revisionFell: boolean;
}

/** State of the whole system. Immutable. */
export interface SystemState {
  readonly ledger: LedgerPage;
  readonly journals: Readonly<Record<string, JournalState>>;
  readonly holders: Readonly<Record<IncarnationId, HolderState>>;
  /** Lines in the answers of witnesses to a sealer, by `holder<witness`. */
  readonly fenced: Readonly<Record<string, readonly JournalLine[]>>;
  readonly claims: ClaimPage;
  readonly observed: Observed;
}

/** Types of steps, named like the actions of the specification. */
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
  | 'storeAtWitness'
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

/** A step. Its type determines which of the fields are used. */
export interface Step {
  readonly type: StepType;
  readonly holder: IncarnationId;
  readonly dataCentre: string;
  readonly peer: IncarnationId;
  readonly amount: Tokens;
  readonly request: number;
}

/** A holder and the witnesses that store its lines. */
export interface HolderSetup {
  readonly id: IncarnationId;
  readonly witnesses: readonly IncarnationId[];
}

/** Parameters of the initial state. */
export interface SystemSetup {
  readonly holders: readonly HolderSetup[];
  readonly openingTokens: Tokens;
  /** Tokens granted to each data centre in the initial state. */
  readonly grantedAtStart: Tokens;
  /** Tokens in each holder's slice in the initial state. */
  readonly sliceAtStart: Tokens;
  /** Maximum number of lines of a holder, including the one for its first slice. */
  readonly maxLines: number;
}
