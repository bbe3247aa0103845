import type { PrepaidExperimentResult } from '@flamingocourse/lab';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { PrepaidSizing } from '@flamingocourse/core';
import { createRandom, drawPrepaidLoad, runPrepaidExperiment } from '@flamingocourse/lab';

function run(
  sizing: PrepaidSizing,
  faults: { cuts?: [number, number][]; killsAt?: number[] },
): PrepaidExperimentResult {
  const sum = { requested: 0, refusedDisconnected: 0, refusedConnected: 0, exchanges: 0 };
  for (const seed of [1, 2, 3]) {
    const load = drawPrepaidLoad({ seconds: 55, instances: 7 }, createRandom(seed));
    const result = runPrepaidExperiment(load, { cuts: [], killsAt: [], ...faults }, sizing);
    sum.requested += result.requested;
    sum.refusedDisconnected += result.refusedDisconnected;
    sum.refusedConnected += result.refusedConnected;
    sum.exchanges += result.exchanges;
  }
  return sum;
}

const usual = new PrepaidSizing();

// Guards against budgets refused although enough is left, with few large accounts and some used at one instance only.
describe('the budgets of a day', () => {
  test('refuse less than 1 % of the demand without faults', () => {
    const { requested, refusedConnected } = run(usual, {});
    assert.ok(
      refusedConnected < 0.01 * requested,
      `${String(refusedConnected)} of ${String(requested)}`,
    );
  });

  // Guards against callers refused for the rest of the day: all instances were killed at the start
  // of its last quarter, and half of the remaining tokens are in doubt.
  test('serve 98 % of the demand after a loss of all instances late in the day', () => {
    const { requested, refusedConnected } = run(usual, { killsAt: [41] });
    assert.ok(
      refusedConnected < 0.02 * requested,
      `${String(refusedConnected)} of ${String(requested)}`,
    );
  });

  // In the early outage, which starts 6 s after the start, no instance knows yet which instances
  // the callers use.
  const cases = [
    { name: 'early', cut: [6, 14] },
    { name: 'later', cut: [23, 31] },
  ] as const;
  for (const { name, cut } of cases) {
    test(`serve most of the demand while all instances are disconnected for eight seconds, ${name}`, () => {
      const { requested, refusedDisconnected } = run(usual, { cuts: [[cut[0], cut[1]]] });
      const inCut = ((cut[1] - cut[0]) / 55) * requested;
      assert.ok(
        refusedDisconnected < 0.3 * inCut,
        `${String(refusedDisconnected)} of ${String(inCut)}`,
      );
    });
  }

  test('refuse more while disconnected without the safety margin', () => {
    const cuts: [number, number][] = [[6, 14]];
    const bare = run(new PrepaidSizing({ deviationFactor: 0 }), { cuts });
    assert.ok(run(usual, { cuts }).refusedDisconnected < bare.refusedDisconnected);
  });
});
