/** Scopes of the exhaustive walk; each has the steps that one part of the protocol needs. */

import type { IncarnationId } from '@flamingocourse/core';
import type { HolderSetup, Step, StepType, SystemSetup } from './types.js';
import type { Scope } from './walk.js';
import { NON_IDEMPOTENT } from './rules.js';

const IDEMPOTENT = 2;

const NO_STEP = { holder: '', dataCentre: '', peer: '', amount: 0, request: 0 };

const PAIR: readonly HolderSetup[] = [
  { id: 'a1', witnesses: ['a2'] },
  { id: 'a2', witnesses: ['a1'] },
];

const TRIO: readonly HolderSetup[] = [
  { id: 'a1', witnesses: ['a2', 'a3'] },
  { id: 'a2', witnesses: [] },
  { id: 'a3', witnesses: [] },
];

const RENAMED_WITNESSES: readonly HolderSetup[] = [
  { id: 'a1', witnesses: ['a2'] },
  { id: 'a2', witnesses: [] },
  { id: 'a3', witnesses: [] },
];

const ONE_PER_DATA_CENTRE: readonly HolderSetup[] = [
  { id: 'a1', witnesses: [] },
  { id: 'b1', witnesses: [] },
];

/** Steps that move lines between a holder and the journal. */
const LINE_TRANSFER: readonly StepType[] = ['send', 'deliver', 'readJournal'];

/** Steps of an idempotent request, except those that have a cost or a request number. */
const IDEMPOTENT_RUN: readonly StepType[] = ['reserve', 'dispatch', 'claim', 'finalEvent'];

const NON_IDEMPOTENT_RUN: readonly StepType[] = [...IDEMPOTENT_RUN, 'takeOver', 'intent', 'giveUp'];

/** All scopes, by name. */
export const scopes: readonly Scope[] = [
  {
    name: 'budget',
    setup: setup(ONE_PER_DATA_CENTRE, { openingTokens: 3, maxLines: 2 }),
    steps: [
      ...['a', 'b'].flatMap((dataCentre) => budgetSteps(dataCentre)),
      { ...NO_STEP, type: 'topUp' },
      ...['a1', 'b1'].flatMap((holder) => [
        ...stepsOf(holder, LINE_TRANSFER),
        { ...NO_STEP, type: 'take' as const, holder, amount: 2 },
      ]),
    ],
    maxDepth: 7,
    fullDepth: 9,
  },
  {
    name: 'spend',
    setup: setup(PAIR, { openingTokens: 3, grantedAtStart: 3, sliceAtStart: 2, maxLines: 4 }),
    steps: ['a1', 'a2'].flatMap((holder) => [
      ...stepsOf(holder, [...LINE_TRANSFER, 'reserve', 'dispatch', 'claim', 'startSeal']),
      { ...NO_STEP, type: 'take' as const, holder, amount: 2 },
      { ...NO_STEP, type: 'give' as const, holder, amount: 1 },
      { ...NO_STEP, type: 'start' as const, holder, request: holder === 'a1' ? 2 : 3 },
      { ...NO_STEP, type: 'bill' as const, holder, amount: 3 },
    ]),
    maxDepth: 7,
    fullDepth: 9,
  },
  {
    name: 'seal',
    setup: setup(PAIR, { openingTokens: 2, grantedAtStart: 2, sliceAtStart: 2, maxLines: 3 }),
    steps: [
      ...stepsOf('a1', [
        ...LINE_TRANSFER,
        'deliverLast',
        ...IDEMPOTENT_RUN,
        'startSeal',
        'finishSeal',
      ]),
      ...stepsOf('a1', ['storeAtWitness', 'replay', 'fence'], 'a2'),
      ...stepsOf('a2', ['readJournal', 'send', 'deliver']),
      { ...NO_STEP, type: 'start', holder: 'a1', request: IDEMPOTENT },
      { ...NO_STEP, type: 'bill', holder: 'a1', amount: 1 },
      { ...NO_STEP, type: 'give', holder: 'a1', amount: 1 },
      { ...NO_STEP, type: 'take', holder: 'a2', amount: 2 },
    ],
    maxDepth: 11,
    fullDepth: 16,
  },
  {
    name: 'witnesses',
    setup: setup(TRIO, { openingTokens: 2, grantedAtStart: 2, sliceAtStart: 2, maxLines: 2 }),
    steps: witnessSteps(),
    maxDepth: 13,
    fullDepth: 40,
  },
  {
    name: 'renamed witnesses',
    setup: setup(RENAMED_WITNESSES, {
      openingTokens: 2,
      grantedAtStart: 2,
      sliceAtStart: 2,
      maxLines: 3,
    }),
    steps: [...witnessSteps(), { ...NO_STEP, type: 'renameWitnesses', holder: 'a1', peer: 'a3' }],
    maxDepth: 13,
    fullDepth: 40,
  },
  {
    name: 'non-idempotent key',
    setup: setup(PAIR, { openingTokens: 4, grantedAtStart: 4, sliceAtStart: 2, maxLines: 3 }),
    steps: keySteps(NON_IDEMPOTENT, NON_IDEMPOTENT_RUN),
    maxDepth: 18,
    fullDepth: 40,
  },
  {
    name: 'idempotent key',
    setup: setup(PAIR, { openingTokens: 4, grantedAtStart: 4, sliceAtStart: 2, maxLines: 2 }),
    steps: keySteps(IDEMPOTENT, [...IDEMPOTENT_RUN, 'takeOver']),
    maxDepth: 18,
    fullDepth: 40,
  },
  {
    name: 'revisions',
    setup: setup(ONE_PER_DATA_CENTRE, { openingTokens: 0, maxLines: 0 }),
    steps: [
      { ...NO_STEP, type: 'publish' },
      ...['a1', 'b1'].flatMap((holder) =>
        [1, 2, 3].map((amount) => ({ ...NO_STEP, type: 'merge' as const, holder, amount })),
      ),
    ],
    maxDepth: 20,
    fullDepth: 20,
  },
];

function setup(
  holders: readonly HolderSetup[],
  parts: Pick<SystemSetup, 'openingTokens' | 'maxLines'> & Partial<SystemSetup>,
): SystemSetup {
  return { holders, grantedAtStart: 0, sliceAtStart: 0, ...parts };
}

function stepsOf(holder: IncarnationId, types: readonly StepType[], peer = ''): Step[] {
  return types.map((type) => ({ ...NO_STEP, type, holder, peer }));
}

function budgetSteps(dataCentre: string): Step[] {
  const step = (type: StepType, amount: number): Step => ({ ...NO_STEP, type, dataCentre, amount });
  return [
    step('grant', 2),
    step('copyGrant', 0),
    step('copyGrant', 1),
    step('startReturn', 1),
    step('copyReturn', 0),
  ];
}

/** a1 answers one request, stores its lines at either of two peers, and is sealed. */
function witnessSteps(): Step[] {
  return [
    ...stepsOf('a1', [...LINE_TRANSFER, ...IDEMPOTENT_RUN, 'startSeal', 'finishSeal']),
    ...stepsOf('a1', ['storeAtWitness', 'fence'], 'a2'),
    ...stepsOf('a1', ['storeAtWitness', 'fence'], 'a3'),
    ...stepsOf('a2', ['readJournal']),
    { ...NO_STEP, type: 'start', holder: 'a1', request: IDEMPOTENT },
    { ...NO_STEP, type: 'bill', holder: 'a1', amount: 2 },
  ];
}

/** A request with one key arrives at both routers; the first router may be sealed. */
function keySteps(request: number, run: readonly StepType[]): Step[] {
  return [
    ...['a1', 'a2'].flatMap((holder) => [
      ...stepsOf(holder, [...LINE_TRANSFER, ...run]),
      { ...NO_STEP, type: 'start' as const, holder, request },
      { ...NO_STEP, type: 'bill' as const, holder, amount: 2 },
    ]),
    ...stepsOf('a1', ['startSeal', 'finishSeal']),
    ...stepsOf('a1', ['storeAtWitness', 'fence'], 'a2'),
  ];
}
