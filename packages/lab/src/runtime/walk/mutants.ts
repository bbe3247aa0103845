/**
 * Mutants of the protocol rules, each with one fault. The exhaustive walk must detect every one of
 * them.
 */

import type { JournalHolder, JournalLine, JournalState } from '@flamingocourse/core';
import type { ProtocolRules } from './rules.js';
import { addToSlice, withHolderEntry } from './mutantEdits.js';
import { coreRules } from './rules.js';
import {
  applyLines,
  changeBudget,
  createWitness,
  grant,
  hasInterval,
  storeLines,
  mergeReturned,
  pool,
  startSeal,
  entryOf,
} from '@flamingocourse/core';
import { ACCOUNT } from './initialState.js';

/** A set of rules with one fault. */
export interface Mutant {
  readonly name: string;
  /** Scope that is walked first: it contains the steps that the rule restricts. */
  readonly scope: string;
  readonly rules: ProtocolRules;
}

const UNLIMITED = 1_000;

/** All mutants. */
export const mutantList: readonly Mutant[] = [
  mutant('slice taken back by time', 'spend', {
    startSeal: (state, holder) => freeSliceOnly(state, holder),
  }),
  mutant('settle repeated after a lost reply', 'seal', {
    applyLines: (state, lines) => applyLines(state, renumbered(state, lines)),
  }),
  mutant('second bill of a ticket counts', 'seal', { applyLines: repeatBills }),
  mutant('line applied out of sequence', 'seal', {
    applyLines: (state, lines) => applyLines(skipGap(state, lines), lines),
  }),
  mutant('journal takes lines of a sealed holder', 'idempotent key', {
    applyLines: applyToSealedHolder,
  }),
  mutant('take beyond the pool', 'budget', { applyLines: takeBeyondPool }),
  mutant('claim after dispatch', 'non-idempotent key', { claimsFirst: () => false }),
  mutant('bill without a claim', 'idempotent key', { billNeedsClaim: () => false }),
  mutant('claim given to each that asks', 'idempotent key', {
    claim: (page, key, wanted) => ({
      page: { ...page, claims: { ...page.claims, [key]: wanted } },
      answer: { type: 'own' },
    }),
  }),
  mutant('claim taken over without sealed evidence', 'non-idempotent key', {
    isProvablyNotRun: (journal, { issuer, number }) => {
      const holder = entryOf(journal.holders, issuer);
      return holder !== undefined && !hasInterval(holder.done, number);
    },
  }),
  mutant('started ticket held for not run', 'non-idempotent key', {
    isProvablyNotRun: (journal, { issuer, number }) => {
      const holder = entryOf(journal.holders, issuer);
      return holder?.state === 'sealed' && !hasInterval(holder.done, number);
    },
  }),
  mutant('intent after dispatch', 'non-idempotent key', {
    mayDispatch: (run) => run.phase === 'intended' || run.phase === 'reserved',
  }),
  mutant('dispatch before the intent is kept', 'non-idempotent key', {
    mayDispatch: (run) => run.phase === (run.request === 1 ? 'intended' : 'reserved'),
  }),
  mutant('bill after the final event', 'seal', { mayAnswer: (run) => run.phase === 'billed' }),
  mutant('spend beyond the reservation', 'spend', { billCost: (used) => used }),
  mutant('seal without any witness', 'witnesses', { witnessesToAsk: () => [] }),
  mutant('seal without all witnesses', 'witnesses', {
    witnessesToAsk: (journal, holder) => coreRules.witnessesToAsk(journal, holder).slice(0, 1),
  }),
  mutant('new witness trusted before the journal names it', 'renamed witnesses', {
    trustedWitnesses: ({ unapplied, witnesses }) =>
      unapplied
        .flatMap(({ change }) => (change.type === 'witnesses' ? change.witnesses : []))
        .concat(witnesses),
  }),
  mutant('seal without fencing', 'witnesses', {
    fence: (state, holder) => ({ state, lines: entryOf(state.holders, holder)?.lines ?? [] }),
  }),
  mutant('witness accepts after the fence', 'witnesses', {
    storeLines: (state, lines, journal) => {
      const holder = lines[0]?.holder ?? '';
      const stored = entryOf(state.holders, holder)?.lines ?? [];
      const unfenced = {
        holders: { ...state.holders, [holder]: { fenced: false, lines: stored } },
      };
      return storeLines(unfenced, lines, journal);
    },
  }),
  mutant('witness forgets lines when fenced', 'witnesses', {
    fence: () => ({ state: createWitness(), lines: [] }),
  }),
  mutant('grant without limit check', 'budget', {
    grant: (page, account, dataCentre, amount) => {
      const entry = entryOf(page.accounts, account);
      if (!entry) return page;
      const unlimited = { ...entry, limit: entry.limit + UNLIMITED };
      const granted = grant(
        { ...page, accounts: { ...page.accounts, [account]: unlimited } },
        account,
        dataCentre,
        amount,
      );
      const next = entryOf(granted.accounts, account) ?? entry;
      return {
        ...page,
        accounts: { ...page.accounts, [account]: { ...next, limit: entry.limit } },
      };
    },
  }),
  mutant('top-up counted twice', 'budget', {
    changeBudget: (page, account, change) => {
      const count = entryOf(page.accounts, account)?.changes.length ?? 0;
      return changeBudget(page, account, { ...change, id: `${change.id}-${count}` });
    },
  }),
  mutant('grant copied by overwrite', 'budget', {
    recordGrant: (state, account, grantedIn) => {
      const before = entryOf(state.accounts, account) ?? { grantedIn: 0, returnedOut: 0, spent: 0 };
      return { ...state, accounts: { ...state.accounts, [account]: { ...before, grantedIn } } };
    },
  }),
  mutant('ledger takes back before the journal gives', 'budget', {
    mergeReturned: (page, account, dataCentre, returned) =>
      mergeReturned(page, account, dataCentre, returned + 1),
  }),
  mutant('return of tokens that holders have', 'budget', {
    startReturn: (state, account, amount) => {
      const before = entryOf(state.accounts, account);
      if (!before) return state;
      const returnedOut = before.returnedOut + amount + pool(state, account);
      return { ...state, accounts: { ...state.accounts, [account]: { ...before, returnedOut } } };
    },
  }),
  mutant('configuration merged by arrival', 'revisions', {
    mergeUpdate: (store, { asOf, objects }) => {
      const entries = objects.map((one) => [`${one.kind}.${one.name}`, one] as const);
      return { ...store, asOf, objects: new Map([...store.objects, ...entries]) };
    },
  }),
];

function mutant(name: string, scope: string, broken: Partial<ProtocolRules>): Mutant {
  return { name, scope, rules: { ...coreRules, ...broken } };
}

/** Frees the holder's slice but leaves the holder open. */
function freeSliceOnly(
  state: JournalState,
  holder: string,
): ReturnType<ProtocolRules['startSeal']> {
  return startSeal(state, holder).map((next) =>
    withHolderEntry(next, holder, { state: 'open', slices: {} }),
  );
}

/** Gives applied lines the next sequence numbers, as if each delivery were new. */
function renumbered(state: JournalState, lines: readonly JournalLine[]): JournalLine[] {
  const seq = entryOf(state.holders, lines[0]?.holder ?? '')?.seq ?? 0;
  return lines.map((line, index) => ({ ...line, seq: seq + index + 1 }));
}

/** Adds each delivered bill once more if the ticket is already billed. */
function repeatBills(
  state: JournalState,
  lines: readonly JournalLine[],
): ReturnType<ProtocolRules['applyLines']> {
  return applyLines(state, lines).map((next) => {
    const repeated = lines.flatMap(({ holder, change }) => {
      if (change.type !== 'bill') return [];
      const done = entryOf(state.holders, holder)?.done ?? [];
      return hasInterval(done, change.bill.ticket) ? [change.bill] : [];
    });
    return repeated.length === 0 ? next : { ...next, bills: [...next.bills, ...repeated] };
  });
}

function skipGap(state: JournalState, lines: readonly JournalLine[]): JournalState {
  const first = lines[0];
  const entry = entryOf(state.holders, first?.holder ?? '');
  if (!first || !entry || first.seq <= entry.seq) return state;
  return withHolderEntry(state, first.holder, { seq: first.seq - 1 });
}

function applyToSealedHolder(
  state: JournalState,
  lines: readonly JournalLine[],
): ReturnType<ProtocolRules['applyLines']> {
  const id = lines[0]?.holder ?? '';
  const before: JournalHolder['state'] = entryOf(state.holders, id)?.state ?? 'open';
  return applyLines(withHolderEntry(state, id, { state: 'open' }), lines).map((next) =>
    withHolderEntry(next, id, { state: before }),
  );
}

function takeBeyondPool(
  state: JournalState,
  lines: readonly JournalLine[],
): ReturnType<ProtocolRules['applyLines']> {
  return applyLines(state, lines).map((next) => {
    let changed = next;
    for (const { holder, seq, change } of lines) {
      if (change.type !== 'take' || seq <= (entryOf(state.holders, holder)?.seq ?? 0)) continue;
      const shortfall = change.amount - Math.min(change.amount, pool(state, ACCOUNT));
      changed = addToSlice(changed, holder, shortfall);
    }
    return changed;
  });
}
