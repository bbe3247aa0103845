/** Small worlds to walk through; each has the steps that one part of the protocol needs. */

import type { IncarnationId } from '@flamingocourse/core';
import type { HolderSetup, Step, StepType, WorldSetup } from './types.js';
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

const RENAMED: readonly HolderSetup[] = [
  { id: 'a1', witnesses: ['a2'] },
  { id: 'a2', witnesses: [] },
  { id: 'a3', witnesses: [] },
];

const ISLES: readonly HolderSetup[] = [
  { id: 'a1', witnesses: [] },
  { id: 'b1', witnesses: [] },
];

/** Steps by which lines travel. */
const TRAVEL: readonly StepType[] = ['send', 'deliver', 'readJournal'];

/** Steps of a request without the choice of a cost. */
const IDEMPOTENT_RUN: readonly StepType[] = ['reserve', 'dispatch', 'claim', 'finalEvent'];

const NON_IDEMPOTENT_RUN: readonly StepType[] = [...IDEMPOTENT_RUN, 'takeOver', 'intent', 'giveUp'];

/** All scopes, by name. */
export const scopes: readonly Scope[] = [
  {
    name: 'budget',
    setup: setup(ISLES, { openingTokens: 3, maxLines: 2 }),
    steps: [
      ...['a', 'b'].flatMap((dataCentre) => budgetSteps(dataCentre)),
      { ...NO_STEP, type: 'topUp' },
      ...['a1', 'b1'].flatMap((holder) => [
        ...of(holder, TRAVEL),
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
      ...of(holder, [...TRAVEL, 'reserve', 'dispatch', 'claim', 'startSeal']),
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
      ...of('a1', [...TRAVEL, 'deliverLast', ...IDEMPOTENT_RUN, 'startSeal', 'finishSeal']),
      ...of('a1', ['keep', 'replay', 'fence'], 'a2'),
      ...of('a2', ['readJournal', 'send', 'deliver']),
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
    setup: setup(RENAMED, { openingTokens: 2, grantedAtStart: 2, sliceAtStart: 2, maxLines: 3 }),
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
    setup: setup(ISLES, { openingTokens: 0, maxLines: 0 }),
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
  parts: Pick<WorldSetup, 'openingTokens' | 'maxLines'> & Partial<WorldSetup>,
): WorldSetup {
  return { holders, grantedAtStart: 0, sliceAtStart: 0, ...parts };
}

function of(holder: IncarnationId, types: readonly StepType[], peer = ''): Step[] {
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

/** a1 answers one request, with its lines at either of two peers, and is sealed. */
function witnessSteps(): Step[] {
  return [
    ...of('a1', [...TRAVEL, ...IDEMPOTENT_RUN, 'startSeal', 'finishSeal']),
    ...of('a1', ['keep', 'fence'], 'a2'),
    ...of('a1', ['keep', 'fence'], 'a3'),
    ...of('a2', ['readJournal']),
    { ...NO_STEP, type: 'start', holder: 'a1', request: IDEMPOTENT },
    { ...NO_STEP, type: 'bill', holder: 'a1', amount: 2 },
  ];
}

/** One request under a key reaches both routers; the first of them may be sealed. */
function keySteps(request: number, run: readonly StepType[]): Step[] {
  return [
    ...['a1', 'a2'].flatMap((holder) => [
      ...of(holder, [...TRAVEL, ...run]),
      { ...NO_STEP, type: 'start' as const, holder, request },
      { ...NO_STEP, type: 'bill' as const, holder, amount: 2 },
    ]),
    ...of('a1', ['startSeal', 'finishSeal']),
    ...of('a1', ['keep', 'fence'], 'a2'),
  ];
}
