/** Procedures that routers call at each other: inputs, outputs and handlers. */

import type {
  AccountId,
  ConfigurationUpdate,
  DataCentreId,
  FollowAnswer,
  FollowRequest,
  ForwardedReport,
  IncarnationId,
  JournalLine,
  JournalState,
  LoanAnswer,
  LoanRequest,
  GossipMessage,
  PackedSums,
  PrepaidReportOutcome,
  ServiceName,
  StreamAnswer,
  StreamKey,
  StreamRecord,
  Tokens,
} from '@flamingocourse/core';
import type { Result } from 'true-myth';
import type { PackedHeartbeat } from '../runtime/heartbeatCodec.js';

/** Information that reduces refusals or shortens recovery; its loss breaks no guarantee. */
export interface Hint {
  /** Selects the receiver inside the router, such as `quarantine`. */
  topic: string;
  /** JSON text in the receiver's format. */
  body: string;
}

/** Input and output of each procedure. */
export interface MeshProcedures {
  /** Exchanges heartbeats. */
  heartbeat: { input: PackedHeartbeat; output: PackedHeartbeat };
  /** Asks the committer of the data centre to append lines to the journal. */
  appendLines: {
    input: { lines: JournalLine[] };
    output: { version: string; state: JournalState };
  };
  /** Asks a witness to store lines in memory. */
  keepLines: { input: { lines: JournalLine[] }; output: 'kept' };
  /** Asks a witness to accept no more lines of a holder and to return those that it stored. */
  fenceHolder: { input: { holder: IncarnationId }; output: { lines: JournalLine[] } };
  /** Asks a peer to give back idle tokens of an account, for use by a data centre. */
  recall: {
    input: { account: AccountId; amount: Tokens; forDataCentre: DataCentreId };
    output: { amount: Tokens };
  };
  /** Asks a peer that watches the store what changed in it, and waits for a change. */
  followStore: { input: FollowRequest; output: FollowAnswer };
  /** Requests the changes of the configuration after the revision `since`. */
  pullConfiguration: { input: { since: number }; output: ConfigurationUpdate };
  /** Asks a lender for tokens of prepaid budgets; the request contains the lender's incarnation. */
  borrow: { input: LoanRequest; output: LoanAnswer };
  /** Asks an instance of the same group to write the caller's report of prepaid budgets. */
  writeReport: { input: ForwardedReport; output: PrepaidReportOutcome };
  /**
   * Sends gossip and requests the facts that the caller is missing; each fact contains its origin.
   */
  exchangeNews: { input: GossipMessage; output: GossipMessage };
  /** Asks a peer to remember what began streams. */
  keepStreams: { input: { streams: StreamRecord[] }; output: 'kept' };
  /** Asks a peer what began a stream, and which software it has seen of these services. */
  findStream: { input: { key: StreamKey; services: ServiceName[] }; output: StreamAnswer };
  /** Reports demand and pressure to a collector, which answers with what it knows of the fleet. */
  shareConditions: { input: PackedSums; output: PackedSums };
  shareHints: { input: { hints: Hint[] }; output: 'taken' };
}

export type ProcedureName = keyof MeshProcedures;

/** Procedures that are called directly, without tRPC. */
export type DirectProcedure = 'followStore' | 'shareConditions';

/** Procedures that are called through tRPC. */
export type RoutedProcedure = Exclude<ProcedureName, DirectProcedure>;

export type ProcedureInput<P extends ProcedureName> = MeshProcedures[P]['input'];

export type ProcedureOutput<P extends ProcedureName> = MeshProcedures[P]['output'];

/**
 * Serves a procedure. A returned error is a sentence that says why the call had no effect and will
 * have none; the caller gets it as `refused`. If a handler throws, the effect is unknown.
 */
export type MeshHandler<P extends ProcedureName> = (
  input: ProcedureInput<P>,
) => Promise<Result<ProcedureOutput<P>, string>> | Result<ProcedureOutput<P>, string>;
