/** Initial state of the model, and functions that read and replace its parts. */

import type { IncarnationId, JournalState } from '@flamingocourse/core';
import type { HolderState, Run, SystemState, SystemSetup } from './types.js';
import {
  Spender,
  applyLines,
  createClaimPage,
  createConfigStore,
  createJournal,
  createLedgerPage,
  createWitness,
  grant,
  mergeUpdate,
  openAccount,
  recordGrant,
  registerHolder,
  entryOf,
  setEntry,
} from '@flamingocourse/core';
import { LabError } from '../../utils/labError.js';

/** The only client account. */
export const ACCOUNT = 'k';

/** The only declared object; its revisions are merged. */
export const DECLARED = { kind: 'Deployment', name: 'd' } as const;

/** A holder that runs no request. */
export const IDLE: Run = { phase: 'idle', request: 0, amount: 0, lineAt: 0 };

/** Data centre of a holder: the first letter of its id. */
export function dataCentreOf(holder: IncarnationId): string {
  return holder.slice(0, 1);
}

/**
 * Creates the initial state.
 *
 * @example
 * createInitialState({ holders: [{ id: 'a1', witnesses: [] }], openingTokens: 4, ...rest });
 */
export function createInitialState(setup: SystemSetup): SystemState {
  const names = [...new Set(setup.holders.map((holder) => dataCentreOf(holder.id)))];
  let ledger = openAccount(createLedgerPage(0), ACCOUNT, setup.openingTokens, 0);
  const journals: Record<string, JournalState> = {};
  for (const name of names) {
    ledger = grant(ledger, ACCOUNT, name, setup.grantedAtStart);
    setEntry(journals, name, createFirstJournal(name, setup));
  }
  const holders = setup.holders.map(({ id }) => [id, createHolder(id, journals, setup)] as const);
  return {
    ledger,
    journals,
    holders: Object.fromEntries(holders),
    fenced: {},
    claims: createClaimPage(0),
    observed: {
      paid: setup.openingTokens,
      started: [],
      dispatched: [],
      notRun: [],
      answered: [],
      topUps: 0,
      published: 1,
      revisionFell: false,
    },
  };
}

/** State of a holder. Throws `bad-world` for an unknown id. */
export function holderIn(system: SystemState, id: IncarnationId): HolderState {
  const holder = entryOf(system.holders, id);
  if (!holder) throw new LabError('bad-world', `unknown holder "${id}".`);
  return holder;
}

/** Journal of a data centre. Throws `bad-world` for an unknown name. */
export function journalIn(system: SystemState, dataCentre: string): JournalState {
  const journal = entryOf(system.journals, dataCentre);
  if (!journal) throw new LabError('bad-world', `unknown data centre "${dataCentre}".`);
  return journal;
}

/** Journal that a holder writes to. */
export function journalOf(system: SystemState, holder: IncarnationId): JournalState {
  return journalIn(system, dataCentreOf(holder));
}

/** Replaces parts of a holder's state. */
export function withHolder(
  system: SystemState,
  id: IncarnationId,
  part: Partial<HolderState>,
): SystemState {
  const next = { ...holderIn(system, id), ...part };
  return { ...system, holders: { ...system.holders, [id]: next } };
}

/** Replaces a journal. Returns the same state when the journal is unchanged. */
export function withJournal(system: SystemState, journal: JournalState): SystemState {
  if (entryOf(system.journals, journal.dataCentre) === journal) return system;
  return { ...system, journals: { ...system.journals, [journal.dataCentre]: journal } };
}

/**
 * The production `Spender` in the state that a holder has reached: it has written all lines, has
 * read the view, and has reserved the tokens of its request. `undefined` when it holds fewer tokens
 * than the request needs.
 */
export function spenderOf(system: SystemState, id: IncarnationId): Spender | undefined {
  const { history, view, run } = holderIn(system, id);
  const spender = new Spender(id);
  for (const line of history) spender.append(line.change);
  spender.sync(view);
  if (run.amount === 0) return spender;
  return reserveFor(spender, run.amount) ? spender : undefined;
}

/** Reserves tokens; returns whether there were enough. */
export function reserveFor(spender: Spender, amount: number): boolean {
  const request = { account: ACCOUNT, workClass: 'w', amount, budgetShare: 1, floor: 0 };
  return spender.reserve(request).isOk;
}

function createFirstJournal(name: string, setup: SystemSetup): JournalState {
  let journal = recordGrant(createJournal(name), ACCOUNT, setup.grantedAtStart);
  for (const { id, witnesses } of setup.holders) {
    if (dataCentreOf(id) !== name) continue;
    journal = registerHolder(journal, id, [...witnesses], 0);
    if (setup.sliceAtStart === 0) continue;
    const change = { type: 'take', account: ACCOUNT, amount: setup.sliceAtStart } as const;
    journal = applyLines(journal, [{ holder: id, seq: 1, change }]).unwrapOr(journal);
  }
  return journal;
}

function createHolder(
  id: IncarnationId,
  journals: Record<string, JournalState>,
  setup: SystemSetup,
): HolderState {
  const view = entryOf(journals, dataCentreOf(id));
  if (!view)
    throw new LabError(
      'bad-world',
      `no data centre for holder "${id}": its id must start with the data centre's name.`,
    );
  const change = { type: 'take', account: ACCOUNT, amount: setup.sliceAtStart } as const;
  return {
    history: setup.sliceAtStart === 0 ? [] : [{ holder: id, seq: 1, change }],
    sent: [],
    view,
    storedSeq: 0,
    witness: createWitness(),
    run: IDLE,
    ended: false,
    config: mergeUpdate(createConfigStore(), {
      asOf: 1,
      objects: [{ ...DECLARED, revision: 1 }],
      complete: false,
    }),
  };
}
