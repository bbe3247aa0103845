/**
 * Rules of the protocol as one replaceable table: the reducers of the core, and the conditions that
 * the services keep around them. A mutant replaces one entry.
 */

import type { IncarnationId, JournalState, Spender, TicketId, Tokens } from '@flamingocourse/core';
import type { Run } from './types.js';
import {
  applyLines,
  changeBudget,
  claim,
  fence,
  finishSeal,
  grant,
  hasInterval,
  storeLines,
  mergeUpdate,
  mergeReturned,
  recordGrant,
  startReturn,
  startSeal,
  takeOver,
} from '@flamingocourse/core';

/** Number of the one non-idempotent request. */
export const NON_IDEMPOTENT = 1;

/** The table. */
export const coreRules = {
  grant,
  changeBudget,
  mergeReturned,
  recordGrant,
  startReturn,
  applyLines,
  startSeal,
  finishSeal,
  keepLines: storeLines,
  fence,
  claim,
  takeOver,
  mergeUpdate,
  /** Witnesses whose word a holder takes that they keep its lines. */
  trustedWitnesses: (spender: Spender): readonly IncarnationId[] => spender.witnesses,
  /** Witnesses whose answers a sealer needs. */
  witnessesToAsk: (journal: JournalState, holder: IncarnationId): readonly IncarnationId[] =>
    journal.holders[holder]?.witnesses ?? [],
  /** Whether a key is claimed before anything is sent. */
  claimsFirst: (request: number): boolean => request === NON_IDEMPOTENT,
  /** Whether the bill needs the claim, where it was not made before. */
  billNeedsClaim: (): boolean => true,
  /** Whether a request may be sent to a backend server. */
  mayDispatch: (run: Run, keptSeq: number): boolean =>
    run.request === NON_IDEMPOTENT
      ? run.phase === 'intended' && keptSeq >= run.lineAt
      : run.phase === 'reserved',
  /** Whether the caller may see the final event. */
  mayAnswer: (run: Run, keptSeq: number): boolean =>
    run.phase === 'billed' && keptSeq >= run.lineAt,
  /** What a bill may say. */
  billCost: (used: Tokens, reserved: Tokens): Tokens => Math.min(used, reserved),
  /** Whether the journal proves that a ticket was neither billed nor, with intents, started. */
  isProvablyNotRun: (journal: JournalState, ticket: TicketId): boolean => {
    const holder = journal.holders[ticket.issuer];
    if (!holder || (holder.state !== 'sealed' && holder.state !== 'closed')) return false;
    if (holder.writtenOff || hasInterval(holder.done, ticket.number)) return false;
    return !holder.openIntents.includes(ticket.number);
  },
};

/** Rules of one run. */
export type ProtocolRules = typeof coreRules;
