/** What must hold in every state of the small world. */

import type { IncarnationId, JournalLine, JournalState } from '@flamingocourse/core';
import type { World } from './types.js';
import { checkInvariant, checkLedgerInvariant, finishSeal, startSeal } from '@flamingocourse/core';
import { ACCOUNT, dataCentreOf, spenderOf } from './createWorld.js';
import { NON_IDEMPOTENT } from './rules.js';

/** Names of the invariants, as printed beside a mutant that breaks one. */
export type Violation =
  | 'ledger grants more than the limit'
  | 'limit is above what was paid'
  | 'journal charges more than it was granted'
  | 'journal believes in more than the ledger granted'
  | 'ledger took back more than the journal gave'
  | 'spent more than was paid'
  | 'router spends more than it holds'
  | 'request billed twice'
  | 'answered request is not billed exactly once'
  | 'non-idempotent request ran twice'
  | 'ran although said not to have run'
  | 'revision fell';

type Check = (world: World) => boolean;

/** Checks in order; each gives whether the state is wrong. */
const checks: Record<Violation, Check> = {
  'ledger grants more than the limit': (world) => checkLedgerInvariant(world.ledger) !== undefined,
  'limit is above what was paid': (world) =>
    (world.ledger.accounts[ACCOUNT]?.limit ?? 0) > world.observed.paid,
  'journal charges more than it was granted': (world) =>
    journals(world).some((journal) => checkInvariant(journal) !== undefined),
  'journal believes in more than the ledger granted': (world) =>
    journals(world).some((one) => totals(one).grantedIn > ledgerShare(world, one).grantedIn),
  'ledger took back more than the journal gave': (world) =>
    journals(world).some((one) => totals(one).returnedOut < ledgerShare(world, one).returnedOut),
  'spent more than was paid': (world) => spentIn(journals(world)) > world.observed.paid,
  'router spends more than it holds': (world) =>
    Object.keys(world.holders).some((id) => !hasCover(world, id)),
  'request billed twice': (world) => hasRepeat(billedKeys(journals(world))),
  'answered request is not billed exactly once': isAnswerUnbilled,
  'non-idempotent request ran twice': (world) =>
    world.observed.dispatched.filter((name) => name.endsWith(`/${NON_IDEMPOTENT}`)).length > 1,
  'ran although said not to have run': (world) =>
    world.observed.notRun.some((name) => world.observed.dispatched.includes(name)),
  'revision fell': (world) => world.observed.revisionFell,
};

/**
 * Finds what is wrong with a state.
 *
 * @example
 * findViolation(world) === undefined; // sound
 */
export function findViolation(world: World): Violation | undefined {
  const names = Object.keys(checks) as Violation[];
  return names.find((name) => checks[name](world));
}

/**
 * Journals once every holder has ended: each is sealed, by the reducers of the core, with what its
 * peers keep for it. Lines that were sent only, and arrive never, are lost, as they may be.
 */
export function settledJournals(world: World): JournalState[] {
  return journals(world).map((journal) => {
    let settled = journal;
    for (const id of Object.keys(journal.holders)) {
      settled = startSeal(settled, id).unwrapOr(settled);
      settled = finishSeal(settled, id, linesKeptFor(world, id)).unwrapOr(settled);
    }
    return settled;
  });
}

function isAnswerUnbilled(world: World): boolean {
  if (world.observed.answered.length === 0) return false;
  const billed = billedKeys(settledJournals(world));
  return world.observed.answered.some(
    (request) => billed.filter((key) => key === `key-${request}`).length !== 1,
  );
}

/** Lines at those whom a sealer would ask, and answers that it has already. */
function linesKeptFor(world: World, holder: IncarnationId): JournalLine[] {
  const named = world.journals[dataCentreOf(holder)]?.holders[holder]?.witnesses ?? [];
  return named.flatMap((witness) => [
    ...(world.holders[witness]?.witness.holders[holder]?.lines ?? []),
    ...(world.fenced[`${holder}<${witness}`] ?? []),
  ]);
}

/** Whether a router that may write holds what it has set aside and written off. */
function hasCover(world: World, id: IncarnationId): boolean {
  if (world.holders[id]?.ended) return true;
  const spender = spenderOf(world, id);
  return spender !== undefined && spender.free(ACCOUNT) >= 0;
}

function journals(world: World): JournalState[] {
  return Object.values(world.journals);
}

function billedKeys(list: JournalState[]): string[] {
  return list.flatMap((journal) => journal.bills.map((bill) => bill.keyDigest ?? ''));
}

function hasRepeat(keys: string[]): boolean {
  return new Set(keys).size < keys.length;
}

function spentIn(list: JournalState[]): number {
  return list.reduce((sum, journal) => sum + totals(journal).spent, 0);
}

function totals(journal: JournalState): { grantedIn: number; returnedOut: number; spent: number } {
  return journal.accounts[ACCOUNT] ?? { grantedIn: 0, returnedOut: 0, spent: 0 };
}

function ledgerShare(
  world: World,
  journal: JournalState,
): { grantedIn: number; returnedOut: number } {
  const share = world.ledger.accounts[ACCOUNT]?.shares[journal.dataCentre];
  return share ?? { grantedIn: 0, returnedOut: 0 };
}
