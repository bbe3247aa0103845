import type { PrepaidSizingInput } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { PrepaidSizing } from '@flamingocourse/core';

const usual: PrepaidSizingInput = {
  rate: 2_000,
  fleetRate: 14_000,
  remaining: 1_000_000,
  instances: 7,
  typicalRequest: 4_000,
};

const sizing = new PrepaidSizing({
  rideThroughSeconds: 10,
  deviationFactor: 1.3,
  evenFraction: 0.05,
  unallocatedRequests: 2,
});

// Guards against callers refused with 503 during an outage although most of the budget is left: all
// their calls arrive at one instance, and the tokens were allocated evenly to all seven.
describe('PrepaidSizing.target', () => {
  const cases = [
    {
      name: 'covers the ride-through time of an evenly used account',
      change: {},
      from: 35_000,
      to: 45_000,
    },
    {
      name: 'is larger if only this instance has demand',
      change: { rate: 14_000 },
      from: 150_000,
      to: 190_000,
    },
    {
      name: 'is small at an instance without demand',
      change: { rate: 0 },
      from: 1_000,
      to: 25_000,
    },
    {
      name: 'is an even part if no demand is known',
      change: { rate: 0, fleetRate: 0 },
      from: 1,
      to: 10_000,
    },
    {
      // Guards against the last tokens being split over seven instances, each of which refuses
      // requests that all together could cover.
      name: 'is 0 if the remaining tokens cannot cover typical requests at all instances',
      change: { remaining: 40_000 },
      from: 0,
      to: 0,
    },
  ];
  for (const { name, change, from, to } of cases) {
    test(name, () => {
      const target = sizing.target({ ...usual, ...change });
      assert.ok(target >= from && target <= to, `target ${String(target)}`);
    });
  }
});

// Guards against a small account refused during an outage: an account with one call per second was
// allocated its mean demand, and had two large requests.
test('a small account gets a larger multiple of its mean demand than a large one', () => {
  const ofMean = (rate: number): number => {
    const target = sizing.target({ ...usual, remaining: 1e9, rate, fleetRate: rate * 7 });
    return target / (rate * 10);
  };
  assert.ok(ofMean(1_000) > 2, `small: ${String(ofMean(1_000))}`);
  assert.ok(ofMean(40_000) < 1.3, `large: ${String(ofMean(40_000))}`);
});

// Guards against callers refused for the rest of the day: all instances were killed twice, and each
// time half of the remaining budget was in doubt.
test('two losses of all instances leave more than 35 % of the budget', () => {
  const heldByAll = (remaining: number): number =>
    7 * sizing.target({ ...usual, fleetRate: 200_000, rate: 200_000 / 7, remaining });
  const first = heldByAll(1_000_000);
  const second = heldByAll(1_000_000 - first);
  assert.ok(1_000_000 - first - second > 350_000, `lost ${String(first)} and ${String(second)}`);
});

// Guards against callers refused for the rest of the day: all instances lost power when the budget
// would have lasted for another half minute, and half of it was in doubt.
describe('a loss of all instances leaves the demand of the ride-through time', () => {
  const rates = [14_000, 9_000, 2_000, 500, 0, 0, 0];
  const fleetRate = rates.reduce((sum, rate) => sum + rate, 0);
  for (const seconds of [20, 30, 60]) {
    test(`with ${String(seconds)} s of demand left`, () => {
      const remaining = seconds * fleetRate;
      const targets = rates.map((rate) => sizing.target({ ...usual, remaining, rate, fleetRate }));
      const held = targets.reduce((sum, target) => sum + target, 0);
      assert.ok(remaining - held >= 10 * fleetRate, `held ${String(held)} of ${String(remaining)}`);
    });
  }
});

test('an account with many remaining tokens allocates all that its instances can use', () => {
  const target = sizing.target({ ...usual, remaining: 5_000_000 });
  assert.ok(target >= 10 * usual.rate, `target ${String(target)}`);
});

// Guards against too few tokens after a loss of all instances: tokens that borrowers had spent and
// not yet reported were allocated a second time.
test('unallocatedSeconds can keep more unallocated than rideThroughSeconds', () => {
  const unallocatedSeconds = 15;
  const keeping = new PrepaidSizing({ rideThroughSeconds: 10, unallocatedSeconds });
  const situation = { ...usual, remaining: 300_000 };
  const left = situation.remaining - situation.instances * keeping.target(situation);
  assert.ok(left >= unallocatedSeconds * situation.fleetRate, `${String(left)} left`);
});
