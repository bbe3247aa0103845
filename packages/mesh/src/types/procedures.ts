/** Procedures that routers offer each other: inputs, outputs and handlers. */

import type {
  AccountId,
  ConfigurationUpdate,
  DataCentreId,
  IncarnationId,
  JournalLine,
  JournalState,
  LoanAnswer,
  LoanRequest,
  GossipMessage,
  Tokens,
} from '@flamingocourse/core';
import type { Result } from 'true-myth';
import type { PackedHeartbeat } from '../runtime/heartbeatCodec.js';

/** Information that only reduces refusals or shortens recovery; losing it harms no promise. */
export interface Hint {
  /** Names the receiver inside the router, such as `quarantine`. */
  topic: string;
  /** JSON text that the receiver understands. */
  body: string;
}

/** Input and output of each procedure. */
export interface MeshProcedures {
  /** Sign of life. */
  heartbeat: { input: PackedHeartbeat; output: PackedHeartbeat };
  /** Asks the committer of the data centre to put lines into the journal. */
  appendLines: {
    input: { lines: JournalLine[] };
    output: { version: string; state: JournalState };
  };
  /** Asks a witness to keep lines in memory. */
  keepLines: { input: { lines: JournalLine[] }; output: 'kept' };
  /** Asks a witness to keep nothing more for a holder and to return what it kept. */
  fenceHolder: { input: { holder: IncarnationId }; output: { lines: JournalLine[] } };
  /** Asks a peer to give idle tokens of an account back, for the use of a data centre. */
  recall: {
    input: { account: AccountId; amount: Tokens; forDataCentre: DataCentreId };
    output: { amount: Tokens };
  };
  /** Asks for what changed in the configuration after the revision `since`. */
  pullConfiguration: { input: { since: number }; output: ConfigurationUpdate };
  /** Asks a lender for tokens of prepaid budgets; the request itself names the lender's life. */
  borrow: { input: LoanRequest; output: LoanAnswer };
  /** Tells news of the fleet and asks for what the caller lacks; news name the process that they come from. */
  exchangeNews: { input: GossipMessage; output: GossipMessage };
  shareHints: { input: { hints: Hint[] }; output: 'taken' };
}

export type ProcedureName = keyof MeshProcedures;

export type ProcedureInput<P extends ProcedureName> = MeshProcedures[P]['input'];

export type ProcedureOutput<P extends ProcedureName> = MeshProcedures[P]['output'];

/**
 * Serves a procedure. An error is a sentence why the call had no effect and will have none; it
 * reaches the caller as `refused`. A handler that throws leaves the effect unknown.
 */
export type MeshHandler<P extends ProcedureName> = (
  input: ProcedureInput<P>,
) => Promise<Result<ProcedureOutput<P>, string>> | Result<ProcedureOutput<P>, string>;
