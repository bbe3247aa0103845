import type { PrepaidSituation } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { PrepaidSizing } from '@flamingocourse/core';

const usual: PrepaidSituation = {
  rate: 2_000,
  fleetRate: 14_000,
  remaining: 1_000_000,
  instances: 7,
  trafficPart: 1 / 7,
  typicalRequest: 4_000,
};

const sizing = new PrepaidSizing({
  rideThroughSeconds: 10,
  dealtPart: 0.5,
  evenPart: 0.1,
  priorRequests: 4,
  undealtRequests: 1.5,
});

// volunteers of one shop get 503 during a cut although the budget is nearly full: all their calls
// come in at one instance, and the tokens were dealt evenly to all seven.
describe('the level of an instance', () => {
  const cases = [
    { name: 'covers the ride-through of an even account', change: {}, from: 20_000, to: 30_000 },
    {
      name: 'follows an account that comes in at this instance alone',
      change: { rate: 14_000 },
      from: 120_000,
      to: 150_000,
    },
    {
      name: 'leaves little where the account never comes in',
      change: { rate: 0 },
      from: 1_000,
      to: 20_000,
    },
    {
      name: 'goes by all traffic while the account is unknown',
      change: { rate: 0, fleetRate: 0, trafficPart: 0.5 },
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

test('all instances together never hold more than the dealt part', () => {
  const rates = [14_000, 9_000, 2_000, 500, 0, 0, 0];
  const fleetRate = rates.reduce((sum, rate) => sum + rate, 0);
  const levels = rates.map((rate) =>
    sizing.level({ ...usual, rate, fleetRate, trafficPart: rate / fleetRate }),
  );
  const held = levels.reduce((sum, level) => sum + level, 0);
  assert.ok(held <= usual.remaining * 0.5, `held ${String(held)}`);
});
