import type { BrittleFleetOptions } from './fixtures/brittleFleet.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { BrittleFleet } from './fixtures/brittleFleet.js';

const SEEDS = [1, 2, 3];
/** Milliseconds of each run. */
const RUN_MS = 40_000;
/** Minimum fraction of the capacity that is served. */
const MIN_SERVED = 0.9;

/** Maximum falls in one time in which servers are brittle. */
function maxFalls(servers: number): number {
  return 2 + servers / 10;
}

const cases: readonly (Omit<BrittleFleetOptions, 'seed'> & { name: string })[] = [
  {
    name: '8 instances, 4 servers of 6 slots',
    instances: 8,
    servers: 4,
    slots: 6,
    rejectionsPerSecond: 5,
    overload: 3,
  },
];

describe('brittle servers with too many callers stay up and are used in full', () => {
  // Guards against instances whose requests for places that are taken make one server after the other fall over.
  for (const { name, ...options } of cases) {
    for (const seed of SEEDS) {
      test(`${name}, seed ${String(seed)}`, () => {
        const fleet = new BrittleFleet({ ...options, seed });
        fleet.run(RUN_MS);
        const share = fleet.served / fleet.capacity(RUN_MS);
        assert.ok(fleet.falls <= maxFalls(options.servers), `${String(fleet.falls)} falls`);
        assert.ok(share >= MIN_SERVED, `${share.toFixed(3)} of the capacity served`);
      });
    }
  }
});

// Guards against a fleet whose instances all send at once to a server that has just started, and so end it again.
test('a brittle server that fell over and is back falls over no second time', () => {
  for (const instances of [8, 24, 60]) {
    const fleet = new BrittleFleet({
      instances,
      servers: 4,
      slots: 6,
      rejectionsPerSecond: 5,
      overload: 3,
      fallsAt: 10_000,
      seed: 1,
    });
    fleet.run(RUN_MS);
    assert.ok(fleet.falls <= maxFalls(4), `${String(instances)}: ${String(fleet.falls)} falls`);
  }
});
