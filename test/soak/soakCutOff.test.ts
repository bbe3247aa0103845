import type { SeenAnswer } from './soakCallers.js';
import type { CutObservations, Disturbances } from './soakCutOff.js';
import type { InstanceCut } from './soakCuts.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { checkCutOff } from './soakCutOff.js';

const FROM = 10_000;
const UNTIL = 16_000;
/** The earliest time at which an attempt counts. */
const COUNTED_FROM = FROM + 3_000;

const cut: InstanceCut = {
  instances: ['edge-1'],
  servers: ['p1', 'p2'],
  isFromAll: true,
  mode: 'silent',
  from: FROM,
  until: UNTIL,
};

function instance(name: string, change: Partial<Disturbances> = {}): Disturbances {
  return { name, disturbedAt: [], startedAt: [], storeCuts: [], ...change };
}

/** First attempts at one instance, of which the first ones are served. */
function attempts(name: string, served: number, failed: number, sentAt: number): SeenAnswer[] {
  return Array.from({ length: served + failed }, (_, at) => ({
    id: `${name}-${String(at)}`,
    kind: 'look',
    account: 'kirk',
    prompt: 100,
    status: at < served ? 200 : 503,
    answeredId: undefined,
    body: '',
    complete: true,
    instance: name,
    sentAt,
    endedAt: sentAt + 5,
    left: false,
  }));
}

const brokenOff = [
  ...attempts('edge-1', 30, 0, COUNTED_FROM).map((each) => ({ ...each, complete: false })),
  ...attempts('edge-2', 90, 0, COUNTED_FROM),
];

interface Case {
  name: string;
  /** Served and failed attempts at the instance that is cut off. */
  cutOff: [number, number];
  /** The same at the other instance. @default [90, 0] */
  others?: [number, number];
  sentAt?: number;
  change?: Partial<CutObservations>;
}

function countBroken({ cutOff, others = [90, 0], sentAt = COUNTED_FROM, change }: Case): number {
  return checkCutOff({
    answers: [...attempts('edge-1', ...cutOff, sentAt), ...attempts('edge-2', ...others, sentAt)],
    cuts: [cut],
    instances: [instance('edge-1'), instance('edge-2')],
    ...change,
  }).broken.length;
}

function disturbed(name: string, change: Partial<Disturbances>): Partial<CutObservations> {
  const usual = ['edge-1', 'edge-2'].filter((each) => each !== name);
  return { instances: [...usual.map((each) => instance(each)), instance(name, change)] };
}

// Guards against a check that passes over callers who are not served where the servers are lost.
describe('too few served at an instance that lost all servers', () => {
  const cases: Case[] = [
    { name: 'none', cutOff: [0, 30] },
    { name: 'just under two thirds', cutOff: [19, 11] },
    { name: 'eleven failures of so few that one in 50 allows no more', cutOff: [0, 11] },
    { name: 'broken off answers', cutOff: [30, 0], change: { answers: brokenOff } },
    { name: 'sent at the end of the cut', cutOff: [0, 30], sentAt: UNTIL },
    {
      name: 'disturbed long before',
      cutOff: [0, 30],
      change: disturbed('edge-1', { disturbedAt: [FROM - 3_001] }),
    },
  ];
  for (const each of cases) {
    test(each.name, () => {
      assert.equal(countBroken(each), 1);
    });
  }
});

// Guards against a check that blames a cut for failures of another cause.
describe('enough served, or nothing to compare', () => {
  const cases: Case[] = [
    { name: 'just two thirds', cutOff: [60, 30] },
    { name: 'two thirds of a small share elsewhere', cutOff: [12, 48], others: [27, 63] },
    { name: 'ten failures', cutOff: [0, 10] },
    { name: 'sent before the attempts count', cutOff: [0, 30], sentAt: COUNTED_FROM - 1 },
    { name: 'sent after the cut', cutOff: [0, 30], sentAt: UNTIL + 1 },
    {
      name: 'cut off from some servers only',
      cutOff: [0, 30],
      change: { cuts: [{ ...cut, isFromAll: false }] },
    },
    {
      name: 'a signal shortly before',
      cutOff: [0, 30],
      change: disturbed('edge-1', { disturbedAt: [FROM - 3_000] }),
    },
    {
      name: 'a start during the cut',
      cutOff: [0, 30],
      change: disturbed('edge-1', { startedAt: [FROM + 1] }),
    },
    {
      name: 'cut off from the store as well',
      cutOff: [0, 30],
      change: disturbed('edge-1', { storeCuts: [{ from: UNTIL, until: Infinity }] }),
    },
    {
      name: 'all other instances disturbed',
      cutOff: [0, 30],
      change: disturbed('edge-2', { disturbedAt: [FROM + 1] }),
    },
  ];
  for (const each of cases) {
    test(each.name, () => {
      assert.equal(countBroken(each), 0);
    });
  }
});
