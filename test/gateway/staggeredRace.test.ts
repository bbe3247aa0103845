import type { Way } from '../../packages/gateway/src/runtime/staggeredRace.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { Result } from 'true-myth';
import { staggeredRace } from '../../packages/gateway/src/runtime/staggeredRace.js';

const STAGGER_MS = 30;

interface Step {
  afterMs: number;
  fails?: boolean;
}

function wayOf(name: string, { afterMs, fails }: Step, begun: string[]): Way<string> {
  return async () => {
    begun.push(name);
    await delay(afterMs);
    return fails ? Result.err(`${name} failed`) : Result.ok(name);
  };
}

describe('a staggered race', () => {
  const cases: { name: string; steps: Step[]; result: string; begun: number }[] = [
    { name: 'of one way that works', steps: [{ afterMs: 1 }], result: 'way 0', begun: 1 },
    {
      name: 'does not begin the second way if the first works in time',
      steps: [{ afterMs: 1 }, { afterMs: 1 }],
      result: 'way 0',
      begun: 1,
    },
    {
      name: 'goes on at once when a way fails',
      steps: [{ afterMs: 0, fails: true }, { afterMs: 1 }],
      result: 'way 1',
      begun: 2,
    },
    {
      name: 'takes the second way while the first one hangs',
      steps: [{ afterMs: 400 }, { afterMs: 1 }],
      result: 'way 1',
      begun: 2,
    },
    {
      name: 'takes the first way if it is slow and still comes first',
      steps: [{ afterMs: 50 }, { afterMs: 400 }],
      result: 'way 0',
      begun: 2,
    },
    {
      name: 'fails for the reason of the first way',
      steps: [
        { afterMs: 40, fails: true },
        { afterMs: 0, fails: true },
      ],
      result: 'way 0 failed',
      begun: 2,
    },
    { name: 'without any way fails', steps: [], result: 'there is no way', begun: 0 },
  ];
  for (const { name, steps, result, begun } of cases) {
    test(name, async () => {
      const started: string[] = [];
      const ways = steps.map((step, at) => wayOf(`way ${String(at)}`, step, started));
      const won = await staggeredRace(ways, { staggerMs: STAGGER_MS, onUnused: () => undefined });
      assert.equal(won.isOk ? won.value.value : won.error, result);
      assert.equal(started.length, begun);
    });
  }
});

// Guards against a peer that carries a connection which a busy machine would have opened itself a little later.
describe('a staggered race that prefers its first way', () => {
  const cases: { name: string; steps: Step[]; result: string; unused: string[] }[] = [
    {
      name: 'takes it if it works soon after another',
      steps: [{ afterMs: 70 }, { afterMs: 1 }],
      result: 'way 0',
      unused: ['way 1'],
    },
    {
      name: 'takes the other if the first one hangs',
      steps: [{ afterMs: 400 }, { afterMs: 1 }],
      result: 'way 1',
      unused: ['way 0'],
    },
    {
      name: 'takes the other if the first one has failed',
      steps: [{ afterMs: 1, fails: true }, { afterMs: 1 }],
      result: 'way 1',
      unused: [],
    },
    {
      name: 'takes the other once the first one fails',
      steps: [{ afterMs: 50, fails: true }, { afterMs: 1 }],
      result: 'way 1',
      unused: [],
    },
    {
      name: 'begins no third way meanwhile',
      steps: [{ afterMs: 400 }, { afterMs: 1 }, { afterMs: 1 }],
      result: 'way 1',
      unused: ['way 0'],
    },
  ];
  for (const { name, steps, result, unused } of cases) {
    test(name, async () => {
      const started: string[] = [];
      const closed: string[] = [];
      const ways = steps.map((step, at) => wayOf(`way ${String(at)}`, step, started));
      const won = await staggeredRace(ways, {
        staggerMs: STAGGER_MS,
        firstGraceMs: 200,
        onUnused: (value) => closed.push(value),
      });
      assert.equal(won.isOk ? won.value.value : won.error, result);
      await delay(300);
      assert.deepEqual(closed, unused);
      assert.equal(started.length, 2);
    });
  }
});

// Guards against connections that are opened by the slower way and never closed.
test('a result that comes after the first one is handed over to be closed', async () => {
  const unused: string[] = [];
  const ways = [wayOf('slow', { afterMs: 60 }, []), wayOf('quick', { afterMs: 1 }, [])];
  await staggeredRace(ways, { staggerMs: 10, onUnused: (value) => unused.push(value) });
  await delay(120);
  assert.deepEqual(unused, ['slow']);
});
