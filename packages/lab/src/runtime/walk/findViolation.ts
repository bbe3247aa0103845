/** Invariants that every state of the model must satisfy. */

import type { IncarnationId, JournalLine, JournalState } from '@flamingocourse/core';
import type { SystemState } from './types.js';
import {
  checkInvariant,
  checkLedgerInvariant,
  finishSeal,
  startSeal,
  entryOf,
} from '@flamingocourse/core';
import { ACCOUNT, dataCentreOf, spenderOf } from './initialState.js';
import { NON_IDEMPOTENT } from './rules.js';

/** Broken invariants, as the mutant report prints them. */
export type Violation =
  | 'ledger grants more than the limit'
  | 'limit is higher than what was paid'
  | 'journal charges more than it was granted'
  | 'journal records more grants than the ledger'
  | 'ledger records more returns than the journal'
  | 'more spent than was paid'
  | 'router spends more than it holds'
  | 'request billed twice'
  | 'answered request is not billed exactly once'
  | 'non-idempotent request ran twice'
  | 'request reported as not run has run'
  | 'revision fell';

type Check = (system: SystemState) => boolean;

/** Checks in the order in which they run; each returns whether the state breaks its invariant. */
const checks: Record<Violation, Check> = {
  'ledger grants more than the limit': (system) =>
    checkLedgerInvariant(system.ledger) !== undefined,
  'limit is higher than what was paid': (system) =>
    (system.ledger.accounts[ACCOUNT]?.limit ?? 0) > system.observed.paid,
  'journal charges more than it was granted': (system) =>
    journals(system).some((journal) => checkInvariant(journal) !== undefined),
  'journal records more grants than the ledger': (system) =>
    journals(system).some((one) => totals(one).grantedIn > ledgerShare(system, one).grantedIn),
  'ledger records more returns than the journal': (system) =>
    journals(system).some((one) => totals(one).returnedOut < ledgerShare(system, one).returnedOut),
  'more spent than was paid': (system) => spentIn(journals(system)) > system.observed.paid,
  'router spends more than it holds': (system) =>
    Object.keys(system.holders).some((id) => !holdsEnough(system, id)),
  'request billed twice': (system) => hasDuplicates(billedKeys(journals(system))),
  'answered request is not billed exactly once': isAnswerUnbilled,
  'non-idempotent request ran twice': (system) =>
    system.observed.dispatched.filter((name) => name.endsWith(`/${NON_IDEMPOTENT}`)).length > 1,
  'request reported as not run has run': (system) =>
    system.observed.notRun.some((name) => system.observed.dispatched.includes(name)),
  'revision fell': (system) => system.observed.revisionFell,
};

/**
 * Returns the first invariant that a state breaks.
 *
 * @example
 * findViolation(system) === undefined; // all invariants hold
 */
export function findViolation(system: SystemState): Violation | undefined {
  const names = Object.keys(checks) as Violation[];
  return names.find((name) => checks[name](system));
}

/**
 * Journals after every holder has been sealed by the core's reducers with the lines that its
 * witnesses store. Lines that were only sent are treated as lost, which the protocol permits.
 */
export function settledJournals(system: SystemState): JournalState[] {
  return journals(system).map((journal) => {
    let settled = journal;
    for (const id of Object.keys(journal.holders)) {
      settled = startSeal(settled, id).unwrapOr(settled);
      settled = finishSeal(settled, id, linesStoredFor(system, id)).unwrapOr(settled);
    }
    return settled;
  });
}

function isAnswerUnbilled(system: SystemState): boolean {
  if (system.observed.answered.length === 0) return false;
  const billed = billedKeys(settledJournals(system));
  return system.observed.answered.some(
    (request) => billed.filter((key) => key === `key-${request}`).length !== 1,
  );
}

/** Lines at the witnesses that a sealer would ask, and lines of answers that it already has. */
function linesStoredFor(system: SystemState, holder: IncarnationId): JournalLine[] {
  const witnesses =
    entryOf(entryOf(system.journals, dataCentreOf(holder))?.holders, holder)?.witnesses ?? [];
  return witnesses.flatMap((witness) => [
    ...(entryOf(entryOf(system.holders, witness)?.witness.holders, holder)?.lines ?? []),
    ...(entryOf(system.fenced, `${holder}<${witness}`) ?? []),
  ]);
}

/** Whether a router that may still write holds the tokens that it has reserved and billed. */
function holdsEnough(system: SystemState, id: IncarnationId): boolean {
  if (entryOf(system.holders, id)?.ended) return true;
  const spender = spenderOf(system, id);
  return spender !== undefined && spender.free(ACCOUNT) >= 0;
}

function journals(system: SystemState): JournalState[] {
  return Object.values(system.journals);
}

function billedKeys(list: JournalState[]): string[] {
  return list.flatMap((journal) => journal.bills.map((bill) => bill.keyDigest ?? ''));
}

function hasDuplicates(keys: string[]): boolean {
  return new Set(keys).size < keys.length;
}

function spentIn(list: JournalState[]): number {
  return list.reduce((sum, journal) => sum + totals(journal).spent, 0);
}

function totals(journal: JournalState): { grantedIn: number; returnedOut: number; spent: number } {
  return journal.accounts[ACCOUNT] ?? { grantedIn: 0, returnedOut: 0, spent: 0 };
}

function ledgerShare(
  system: SystemState,
  journal: JournalState,
): { grantedIn: number; returnedOut: number } {
  const share = entryOf(system.ledger.accounts[ACCOUNT]?.shares, journal.dataCentre);
  return share ?? { grantedIn: 0, returnedOut: 0 };
}
