import type { PrepaidExperimentResult } from '@flamingocourse/lab';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { PrepaidSizing } from '@flamingocourse/core';
import { createRandom, drawPrepaidLoad, runPrepaidExperiment } from '@flamingocourse/lab';

function run(
  sizing: PrepaidSizing,
  faults: { cuts?: [number, number][]; killsAt?: number[] },
): PrepaidExperimentResult {
  const sum = { asked: 0, refusedAlone: 0, refusedConnected: 0, exchanges: 0 };
  for (const seed of [1, 2, 3]) {
    const load = drawPrepaidLoad({ seconds: 55, instances: 7 }, createRandom(seed));
    const result = runPrepaidExperiment(load, { cuts: [], killsAt: [], ...faults }, sizing);
    sum.asked += result.asked;
    sum.refusedAlone += result.refusedAlone;
    sum.refusedConnected += result.refusedConnected;
    sum.exchanges += result.exchanges;
  }
  return sum;
}

const usual = new PrepaidSizing();

// the third customer's day: reports of some 9,000 tokens and notes of 1,100 at seven instances, a few accounts
// large and some at one instance only, limits 1.3 times what is asked for.
describe('budgets of a day', () => {
  test('without a fault nothing is refused that fits', () => {
    const { asked, refusedConnected } = run(usual, {});
    assert.ok(refusedConnected < 0.01 * asked, `${String(refusedConnected)} of ${String(asked)}`);
  });

  // Callers are refused for the rest of a day whose last quarter began with a loss of all: half of what was left is in doubt.
  test('after a loss of all instances late in the day 98 in 100 are served', () => {
    const { asked, refusedConnected } = run(usual, { killsAt: [41] });
    assert.ok(refusedConnected < 0.02 * asked, `${String(refusedConnected)} of ${String(asked)}`);
  });

  // a cut of eight seconds soon after the start: nobody knows yet where the callers come in.
  const cases = [
    { name: 'early', cut: [6, 14] },
    { name: 'later', cut: [23, 31] },
  ] as const;
  for (const { name, cut } of cases) {
    test(`while all are alone for eight seconds, ${name}, most is served`, () => {
      const { asked, refusedAlone } = run(usual, { cuts: [[cut[0], cut[1]]] });
      const inCut = ((cut[1] - cut[0]) / 55) * asked;
      assert.ok(refusedAlone < 0.3 * inCut, `${String(refusedAlone)} of ${String(inCut)}`);
    });
  }

  test('without the spread more is refused while alone', () => {
    const cuts: [number, number][] = [[6, 14]];
    const bare = run(new PrepaidSizing({ deviationFactor: 0 }), { cuts });
    assert.ok(run(usual, { cuts }).refusedAlone < bare.refusedAlone);
  });
});
