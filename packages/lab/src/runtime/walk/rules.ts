/**
 * Rules of the protocol as one table: the reducers of the core, and the conditions that the services
 * check before they call them. A mutant replaces one entry.
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
  entryOf,
} from '@flamingocourse/core';

/** Number of the only non-idempotent request. */
export const NON_IDEMPOTENT = 1;

/** The rules without any fault. */
export const coreRules = {
  grant,
  changeBudget,
  mergeReturned,
  recordGrant,
  startReturn,
  applyLines,
  startSeal,
  finishSeal,
  storeLines,
  fence,
  claim,
  takeOver,
  mergeUpdate,
  /** Witnesses whose confirmation that they store its lines a holder accepts. */
  trustedWitnesses: (spender: Spender): readonly IncarnationId[] => spender.witnesses,
  /** Witnesses that must answer before a sealer may finish. */
  witnessesToAsk: (journal: JournalState, holder: IncarnationId): readonly IncarnationId[] =>
    entryOf(journal.holders, holder)?.witnesses ?? [],
  /** Whether a key is claimed before the request is dispatched. */
  claimsFirst: (request: number): boolean => request === NON_IDEMPOTENT,
  /** Whether a bill requires the claim if the key was not claimed before dispatch. */
  billNeedsClaim: (): boolean => true,
  /** Whether a request may be sent to a backend server. */
  mayDispatch: (run: Run, durableSeq: number): boolean =>
    run.request === NON_IDEMPOTENT
      ? run.phase === 'intended' && durableSeq >= run.lineAt
      : run.phase === 'reserved',
  /** Whether the final event may be sent to the caller. */
  mayAnswer: (run: Run, durableSeq: number): boolean =>
    run.phase === 'billed' && durableSeq >= run.lineAt,
  /** Cost that a bill may state, in tokens. */
  billCost: (used: Tokens, reserved: Tokens): Tokens => Math.min(used, reserved),
  /** Whether the entry of a sealed holder proves that a ticket has neither a bill nor an intent. */
  isProvablyNotRun: (journal: JournalState, ticket: TicketId): boolean => {
    const holder = entryOf(journal.holders, ticket.issuer);
    if (!holder || (holder.state !== 'sealed' && holder.state !== 'closed')) return false;
    if (holder.writtenOff || hasInterval(holder.done, ticket.number)) return false;
    return !holder.openIntents.includes(ticket.number);
  },
};

/** Type of the rules of one walk. */
export type ProtocolRules = typeof coreRules;
