/** First state of the small world, and access to its parts. */

import type { IncarnationId, JournalState } from '@flamingocourse/core';
import type { HolderWorld, Run, World, WorldSetup } from './types.js';
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
} from '@flamingocourse/core';
import { LabError } from '../../utils/labError.js';

/** The one client account. */
export const ACCOUNT = 'k';

/** The one declared object whose revisions are merged. */
export const DECLARED = { kind: 'Deployment', name: 'd' } as const;

/** A holder without a request. */
export const IDLE: Run = { phase: 'idle', request: 0, amount: 0, lineAt: 0 };

/** Data centre of a holder, from its name. */
export function dataCentreOf(holder: IncarnationId): string {
  return holder.slice(0, 1);
}

/**
 * Creates the first state.
 *
 * @example
 * createWorld({ holders: [{ id: 'a1', witnesses: [] }], openingTokens: 4, ...rest });
 */
export function createWorld(setup: WorldSetup): World {
  const names = [...new Set(setup.holders.map((holder) => dataCentreOf(holder.id)))];
  let ledger = openAccount(createLedgerPage(0), ACCOUNT, setup.openingTokens, 0);
  const journals: Record<string, JournalState> = {};
  for (const name of names) {
    ledger = grant(ledger, ACCOUNT, name, setup.grantedAtStart);
    journals[name] = createFirstJournal(name, setup);
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

/** A holder of the world. */
export function holderIn(world: World, id: IncarnationId): HolderWorld {
  const holder = world.holders[id];
  if (!holder) throw new LabError('bad-world', `name a holder of the world, not "${id}".`);
  return holder;
}

/** Journal of a data centre. */
export function journalIn(world: World, dataCentre: string): JournalState {
  const journal = world.journals[dataCentre];
  if (!journal) throw new LabError('bad-world', `name a data centre, not "${dataCentre}".`);
  return journal;
}

/** Journal that a holder writes to. */
export function journalOf(world: World, holder: IncarnationId): JournalState {
  return journalIn(world, dataCentreOf(holder));
}

/** Replaces parts of a holder. */
export function withHolder(world: World, id: IncarnationId, part: Partial<HolderWorld>): World {
  const next = { ...holderIn(world, id), ...part };
  return { ...world, holders: { ...world.holders, [id]: next } };
}

/** Replaces a journal; the same journal leaves the world as it is. */
export function withJournal(world: World, journal: JournalState): World {
  if (world.journals[journal.dataCentre] === journal) return world;
  return { ...world, journals: { ...world.journals, [journal.dataCentre]: journal } };
}

/**
 * The real spender in the state that a holder has reached: it has written all lines, has read the
 * view, and has set aside what its request needs. `undefined` when it has less than that.
 */
export function spenderOf(world: World, id: IncarnationId): Spender | undefined {
  const { history, view, run } = holderIn(world, id);
  const spender = new Spender(id);
  for (const line of history) spender.append(line.change);
  spender.sync(view);
  if (run.amount === 0) return spender;
  return reserveFor(spender, run.amount) ? spender : undefined;
}

/** Sets tokens aside; gives whether there were enough. */
export function reserveFor(spender: Spender, amount: number): boolean {
  const request = { account: ACCOUNT, workClass: 'w', amount, budgetShare: 1, floor: 0 };
  return spender.reserve(request).isOk;
}

function createFirstJournal(name: string, setup: WorldSetup): JournalState {
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
  setup: WorldSetup,
): HolderWorld {
  const view = journals[dataCentreOf(id)];
  if (!view) throw new LabError('bad-world', `name a holder after its data centre, not "${id}".`);
  const change = { type: 'take', account: ACCOUNT, amount: setup.sliceAtStart } as const;
  return {
    history: setup.sliceAtStart === 0 ? [] : [{ holder: id, seq: 1, change }],
    sent: [],
    view,
    keptSeq: 0,
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
