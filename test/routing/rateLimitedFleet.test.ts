import type { FleetOptions } from './fixtures/rateLimitedFleet.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { sum } from '@flamingocourse/core';
import { RateLimitedFleet } from './fixtures/rateLimitedFleet.js';

const SEEDS = [1, 2, 3];

/** Maximum requests that may reach a server in four seconds, from instances that know its limit. */
function allowed(perSecond: number): number {
  return 6 * perSecond + 5;
}

/** Demand that rises to ten times its rate at a given time. */
function burstAt(from: number, perSecond: number): (now: number) => number {
  return (now) => (now < from ? perSecond / 10 : perSecond);
}

const cases: readonly (Omit<FleetOptions, 'seed'> & { name: string })[] = [
  {
    name: '8 instances',
    instances: 8,
    servers: 6,
    limited: 2,
    perSecond: 1.8,
    demand: () => 40,
    prompts: true,
  },
  {
    name: '86 instances',
    instances: 86,
    servers: 98,
    limited: 2,
    perSecond: 1.2,
    demand: () => 300,
    prompts: true,
  },
  {
    name: '2,800 instances',
    instances: 2_800,
    servers: 6,
    limited: 2,
    perSecond: 1.8,
    demand: () => 300,
  },
  {
    name: '86 instances, few requests per second',
    instances: 86,
    servers: 6,
    limited: 1,
    perSecond: 0.2,
    demand: () => 300,
  },
  {
    name: '86 instances, many requests per second',
    instances: 86,
    servers: 6,
    limited: 2,
    perSecond: 30,
    demand: () => 400,
  },
  {
    name: 'all servers limited',
    instances: 86,
    servers: 3,
    limited: 3,
    perSecond: 4,
    demand: () => 100,
  },
  {
    name: 'a burst after a quiet time',
    instances: 86,
    servers: 6,
    limited: 2,
    perSecond: 1.8,
    demand: burstAt(40_000, 400),
  },
  {
    name: 'a quarter of the instances not yet counted',
    instances: 86,
    counted: 65,
    servers: 6,
    limited: 2,
    perSecond: 1.8,
    demand: () => 300,
  },
  {
    name: 'instances replaced continuously',
    instances: 86,
    servers: 6,
    limited: 2,
    perSecond: 1.8,
    demand: () => 300,
    replacedPerSecond: 0.5,
  },
];

describe('request rate at a server that reports a rate limit', () => {
  // Guards against instances that each use the whole limit, or that all send their share at once.
  for (const { name, ...options } of cases) {
    test(`stays within the limit: ${name}`, () => {
      for (const seed of SEEDS) {
        const fleet = new RateLimitedFleet({ ...options, seed });
        fleet.run(80_000);
        const most = fleet.mostInWindow();
        const bound = allowed(options.perSecond);
        assert.ok(most <= bound, `seed ${String(seed)}: ${String(most)} over ${String(bound)}`);
      }
    });
  }

  // Guards against a server that gets no requests although it reported which rate it accepts.
  test('uses a substantial part of the limit', () => {
    for (const { name, ...options } of cases.filter(({ demand }) => demand(0) > 50)) {
      const rates = SEEDS.map((seed) => {
        const fleet = new RateLimitedFleet({ ...options, seed });
        fleet.run(80_000);
        return fleet.rate('s0', 40_000, 80_000);
      });
      const rate = sum(rates) / SEEDS.length;
      assert.ok(rate >= options.perSecond / 4, `${name}: ${rate.toFixed(2)} a second`);
    }
  });

  // Guards against a limit that is never removed because no instance learns that it has ended.
  test('equals that of the other servers soon after the limit has ended', () => {
    const fleet = new RateLimitedFleet({
      instances: 8,
      servers: 6,
      limited: 1,
      perSecond: 1.8,
      demand: () => 60,
      until: 30_000,
      seed: 5,
    });
    fleet.run(70_000);
    const rate = fleet.rate('s0', 45_000, 70_000);
    assert.ok(rate >= 8, `${rate.toFixed(2)} of 10 a second`);
  });
});
