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
  evenPart: 0.05,
  unallocatedRequests: 2,
});

// volunteers of one shop get 503 during a cut although the budget is nearly full: all their calls
// come in at one instance, and the tokens were dealt evenly to all seven.
describe('the level of an instance', () => {
  const cases = [
    { name: 'covers the ride-through of an even account', change: {}, from: 35_000, to: 45_000 },
    {
      name: 'follows an account that comes in at this instance alone',
      change: { rate: 14_000 },
      from: 150_000,
      to: 190_000,
    },
    {
      name: 'leaves little where the account never comes in',
      change: { rate: 0 },
      from: 1_000,
      to: 25_000,
    },
    {
      name: 'is an even part while nothing is known',
      change: { rate: 0, fleetRate: 0 },
      from: 1,
      to: 10_000,
    },
    {
      // the last tokens lie as dust at seven instances, and each refuses what all could cover.
      name: 'is nothing once the rest would be dust',
      change: { remaining: 40_000 },
      from: 0,
      to: 0,
    },
  ];
  for (const { name, change, from, to } of cases) {
    test(name, () => {
      const level = sizing.level({ ...usual, ...change });
      assert.ok(level >= from && level <= to, `level ${String(level)}`);
    });
  }
});

// a shop with one call a second is refused in a cut: it was given the mean of its demand, and met
// two digests of many pages.
test('a small account holds more of its mean than a large one', () => {
  const ofMean = (rate: number): number => {
    const level = sizing.level({ ...usual, remaining: 1e9, rate, fleetRate: rate * 7 });
    return level / (rate * 10);
  };
  assert.ok(ofMean(1_000) > 2, `small: ${String(ofMean(1_000))}`);
  assert.ok(ofMean(40_000) < 1.3, `large: ${String(ofMean(40_000))}`);
});

// families are refused for the rest of the day: all instances were killed twice, and each time half of
// what was left of the budget went in doubt.
test('a second loss of all instances leaves enough', () => {
  const heldByAll = (remaining: number): number =>
    7 * sizing.level({ ...usual, fleetRate: 200_000, rate: 200_000 / 7, remaining });
  const first = heldByAll(1_000_000);
  const second = heldByAll(1_000_000 - first);
  assert.ok(1_000_000 - first - second > 350_000, `lost ${String(first)} and ${String(second)}`);
});

// foresters are refused for the rest of the day: all instances lost power when the budget would have
// lasted for another half minute, and half of it went in doubt with them.
describe('a loss of all instances leaves the demand of the ride-through', () => {
  const rates = [14_000, 9_000, 2_000, 500, 0, 0, 0];
  const fleetRate = rates.reduce((sum, rate) => sum + rate, 0);
  for (const seconds of [20, 30, 60]) {
    test(`with ${String(seconds)} s of demand left`, () => {
      const remaining = seconds * fleetRate;
      const levels = rates.map((rate) => sizing.level({ ...usual, remaining, rate, fleetRate }));
      const held = levels.reduce((sum, level) => sum + level, 0);
      assert.ok(remaining - held >= 10 * fleetRate, `held ${String(held)} of ${String(remaining)}`);
    });
  }
});

test('an account with plenty left deals out what its instances can use', () => {
  const level = sizing.level({ ...usual, remaining: 5_000_000 });
  assert.ok(level >= 10 * usual.rate, `level ${String(level)}`);
});

// After a loss of all instances too little is left: what borrowers had spent and not told yet was dealt out once more.
test('what is kept back of an account may be more than its instances ride through', () => {
  const keptSeconds = 15;
  const keeping = new PrepaidSizing({ rideThroughSeconds: 10, keptSeconds });
  const situation = { ...usual, remaining: 300_000 };
  const left = situation.remaining - situation.instances * keeping.level(situation);
  assert.ok(left >= keptSeconds * situation.fleetRate, `${String(left)} left`);
});
