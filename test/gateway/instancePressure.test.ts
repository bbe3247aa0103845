import type { PressureLevel } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { InstancePressure } from '../../packages/gateway/src/runtime/instancePressure.js';
import { ProcessorUse } from '../../packages/gateway/src/runtime/processorUse.js';

type Sign = [at: number, sign: number | 'closed'];

/** Milliseconds between two judgements, as in a running instance. */
const JUDGE_MS = 50;

/** The same sign at several times. */
function signs(sign: number | 'closed', ...times: number[]): Sign[] {
  return times.map((at) => [at, sign]);
}

function every(ms: number, from: number, to: number, sign: number | 'closed'): Sign[] {
  return signs(
    sign,
    ...Array.from({ length: Math.ceil((to - from) / ms) }, (_, n) => from + n * ms),
  );
}

/** Plays signs, and returns the level at each change. */
function play(seen: readonly Sign[], until: number): [at: number, level: PressureLevel][] {
  const pressure = new InstancePressure();
  const changes: [number, PressureLevel][] = [];
  let last: PressureLevel = 'calm';
  const left = seen.toSorted(([a], [b]) => a - b);
  for (let now = 0; now <= until; now += JUDGE_MS) {
    for (let next = left[0]; next && next[0] <= now; next = left[0]) {
      left.shift();
      if (next[1] === 'closed') pressure.observeClosed(1, next[0]);
      else pressure.observeUnread(next[1], next[0]);
    }
    const level = pressure.pressure(now);
    if (level !== last) changes.push([now, level]);
    last = level;
  }
  return changes;
}

describe('pressure by what callers waited', () => {
  const cases: {
    name: string;
    seen: Sign[];
    until: number;
    changes: [at: number, level: PressureLevel][];
  }[] = [
    { name: 'none without callers', seen: [], until: 5_000, changes: [] },
    {
      name: 'none while they are read at once',
      seen: every(10, 0, 5_000, 90),
      until: 5_000,
      changes: [],
    },
    // Guards against an instance that leaves rotation for a single pause of the process.
    {
      name: 'none after a pause, whose requests are read together',
      seen: [...every(50, 0, 1_000, 20), ...signs(900, 2_000, 2_005, 2_010, 2_080)],
      until: 4_000,
      changes: [],
    },
    // Guards against an instance that serves late for seconds before anybody learns of it.
    {
      name: 'overloaded within half a second of the first that were late',
      seen: every(150, 1_000, 2_000, 400),
      until: 2_000,
      changes: [[1_150, 'overloaded']],
    },
    {
      name: 'overloaded as soon as some are closed again',
      seen: [...every(20, 0, 2_000, 20), ...signs('closed', 1_000, 1_200)],
      until: 2_000,
      changes: [[1_200, 'overloaded']],
    },
    {
      name: 'pressed if a quarter waited',
      seen: [...every(100, 0, 2_000, 20), ...every(200, 1_000, 2_000, 200)],
      until: 1_900,
      changes: [[1_600, 'pressed']],
    },
    {
      name: 'pressed if few were late',
      seen: [...every(20, 0, 2_000, 20), ...signs(350, 1_000, 1_300)],
      until: 1_600,
      changes: [[1_300, 'pressed']],
    },
    // Guards against an instance that enters and leaves rotation with each wave of a second.
    {
      name: 'falls one step at a time, each after half a second with fewer signs',
      seen: [...signs(400, 1_000, 1_200), ...every(20, 1_201, 6_000, 20)],
      until: 6_000,
      changes: [
        [1_200, 'overloaded'],
        [1_850, 'pressed'],
        [2_550, 'calm'],
      ],
    },
  ];
  for (const { name, seen, until, changes } of cases) {
    test(name, () => {
      assert.deepEqual(play(seen, until), changes);
    });
  }
});

describe('processor time', () => {
  // Guards against a level by processor time alone: the share that a process gets is not known to it.
  test('alone raises no level', () => {
    const pressure = new InstancePressure();
    for (let now = 0; now <= 5_000; now += 100) {
      pressure.observeProcessor(now, now);
      pressure.observeUnread(20, now);
      assert.equal(pressure.pressure(now), 'calm');
    }
    assert.equal(pressure.signs(5_000).processorShare, 1);
  });

  const cases: { name: string; share: number; afterMs: number; isNear: boolean }[] = [
    { name: 'near its limit at nine tenths', share: 0.19, afterMs: 2_000, isNear: true },
    { name: 'not below', share: 0.15, afterMs: 2_000, isNear: false },
    { name: 'and not after the limit was forgotten', share: 0.19, afterMs: 32_000, isNear: false },
  ];
  for (const { name, share, afterMs, isNear } of cases) {
    test(`against what was used while late: ${name}`, () => {
      const use = new ProcessorUse();
      let usedMs = 0;
      for (let now = 0; now <= 2_000 + afterMs; now += 100) {
        usedMs += 100 * (now <= 2_000 ? 0.2 : share);
        use.observe(usedMs, now);
        if (now === 2_000) use.recordLate(now);
      }
      assert.equal(use.isNearLimit(2_000 + afterMs), isNear);
    });
  }
});
