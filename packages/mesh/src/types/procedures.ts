/** Procedures that routers offer each other: inputs, outputs and handlers. */

import type {
  AccountId,
  DeclaredObject,
  IncarnationId,
  JournalLine,
  JournalState,
  MemberInfo,
  Tokens,
} from '@flamingocourse/core';
import type { Result } from 'true-myth';

/** What a router last heard of a member; a higher beat is newer. */
export interface MemberBeat {
  incarnation: IncarnationId;
  beat: number;
}

/** Information that only reduces refusals or shortens recovery; losing it harms no promise. */
export interface Hint {
  /** Names the receiver inside the router, such as `quarantine`. */
  topic: string;
  /** JSON text that the receiver understands. */
  body: string;
}

/** Input and output of each procedure. */
export interface MeshProcedures {
  /** Sign of life, with the beats of some members that the sender knows. */
  heartbeat: {
    input: { from: MemberInfo; beats: MemberBeat[] };
    /** `news`: members that the receiver knows better than the beats that it was sent. */
    output: { self: MemberInfo; news: MemberInfo[] };
  };
  /** Asks the committer of the data centre to put lines into the journal. */
  appendLines: {
    input: { lines: JournalLine[] };
    output: { version: string; state: JournalState };
  };
  /** Asks a witness to keep lines in memory. */
  keepLines: { input: { lines: JournalLine[] }; output: 'kept' };
  /** Asks a witness to keep nothing more for a holder and to return what it kept. */
  fenceHolder: { input: { holder: IncarnationId }; output: { lines: JournalLine[] } };
  /** Asks a peer to give idle tokens of an account back. */
  recall: { input: { account: AccountId; amount: Tokens }; output: { amount: Tokens } };
  /** Asks for declared objects with a revision above `since`, lowest first. */
  pullConfiguration: {
    input: { since: number };
    /** `more`: the answer was cut at the limit; ask again from the last revision. */
    output: { objects: DeclaredObject[]; more: boolean };
  };
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
