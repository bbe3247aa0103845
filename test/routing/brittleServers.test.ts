import type { ReportedBrittleness, ServerIncarnation } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  BrittleServers,
  ServerPool,
  SendRules,
  ServerNotices,
  ServerRateLimits,
} from '@flamingocourse/core';

const SLOTS = 6;
const INCARNATION: ServerIncarnation = { id: 'p1', bornAt: 100, slots: SLOTS };
const NEXT_INCARNATION: ServerIncarnation = { id: 'p1', bornAt: 200, slots: SLOTS };
const BRITTLE: ReportedBrittleness = { type: 'brittle', rejectionsPerSecond: 5 };
const NONE: ReportedBrittleness = { type: 'none' };

function createBrittle(instances: number | undefined, random = 0): BrittleServers {
  return new BrittleServers(
    () => random,
    () => instances,
  );
}

/** Brittle servers of which one has reported it. */
function withBrittle(instances: number | undefined, random = 0): BrittleServers {
  const brittle = createBrittle(instances, random);
  brittle.record(INCARNATION, BRITTLE, false, 0);
  return brittle;
}

describe('own requests in flight at a brittle server', () => {
  // Guards against instances that together send more requests than the server can run.
  const cases = [
    { instances: 1, random: 0, most: 6 },
    { instances: 2, random: 0, most: 3 },
    { instances: 4, random: 0, most: 1 },
    { instances: 4, random: 0.6, most: 2 },
    { instances: 8, random: 0, most: 1 },
    { instances: 8, random: 0.9, most: 1 },
    { instances: undefined, random: 0, most: 1 },
  ];
  for (const { instances, random, most } of cases) {
    test(`${String(instances)} instances, random ${String(random)}`, () => {
      const brittle = withBrittle(instances, random);
      assert.equal(brittle.maxInFlight(INCARNATION, SLOTS, 100_000), most);
    });
  }

  // Guards against a bound that outlasts the report, or that holds for servers that never reported it.
  test('are bounded only while it reports that it is brittle', () => {
    const brittle = createBrittle(2);
    assert.equal(brittle.maxInFlight(INCARNATION, SLOTS, 0), undefined);
    assert.deepEqual(brittle.record(INCARNATION, BRITTLE, false, 0), ['brittle']);
    assert.equal(brittle.size, 1);
    assert.deepEqual(brittle.record(INCARNATION, BRITTLE, false, 1), []);
    assert.deepEqual(brittle.record(INCARNATION, NONE, false, 2), ['brittle-ended']);
    assert.equal(brittle.maxInFlight(INCARNATION, SLOTS, 3), undefined);
    assert.equal(brittle.view(INCARNATION, 3), undefined);
    assert.equal(brittle.size, 0);
  });

  // Guards against a value that cannot be parsed and ends the protection of the server.
  test('stay bounded after an invalid value, which is reported once', () => {
    const brittle = withBrittle(2);
    const invalid = { type: 'invalid', text: 'x' } as const;
    assert.deepEqual(brittle.record(INCARNATION, invalid, false, 1), ['brittle-invalid']);
    assert.deepEqual(brittle.record(INCARNATION, invalid, false, 2), []);
    assert.equal(brittle.maxInFlight(INCARNATION, SLOTS, 3), 3);
  });
});

describe('after a rejection for want of room', () => {
  // Guards against rejected requests that are replaced at once by others, until the server falls over.
  test('a brittle server gets nothing for a while, and then one request until an answer shows room', () => {
    const brittle = withBrittle(2);
    assert.deepEqual(brittle.record(INCARNATION, BRITTLE, true, 10_000), ['brittle-full']);
    assert.equal(brittle.nextAt(INCARNATION, 10_001), 10_500);
    brittle.record(INCARNATION, BRITTLE, false, 10_400);
    assert.equal(brittle.nextAt(INCARNATION, 10_401), 10_500);
    assert.equal(brittle.maxInFlight(INCARNATION, SLOTS, 10_500), 1);
    brittle.record(INCARNATION, BRITTLE, false, 10_600);
    assert.equal(brittle.maxInFlight(INCARNATION, SLOTS, 10_600), 3);
  });

  test('the pause doubles up to a bound until an answer shows room', () => {
    const brittle = withBrittle(8);
    const pauses = [1, 2, 3, 4].map((step) => {
      const now = step * 100_000;
      brittle.record(INCARNATION, BRITTLE, true, now);
      return brittle.nextAt(INCARNATION, now) - now;
    });
    assert.deepEqual(pauses, [2_000, 4_000, 8_000, 8_000]);
    brittle.record(INCARNATION, BRITTLE, false, 500_000);
    brittle.record(INCARNATION, BRITTLE, true, 500_001);
    assert.equal(brittle.nextAt(INCARNATION, 500_001), 502_001);
  });

  // Guards against instances whose own rejections add up to more than the server survives in a second.
  const cases = [
    { name: '1 instance, fewer than half of its part', instances: 1, rejections: 2, untilMs: 500 },
    { name: '1 instance, half of its part', instances: 1, rejections: 3, untilMs: 1_000 },
    { name: '6 instances, half of the least part', instances: 6, rejections: 1, untilMs: 1_000 },
  ];
  for (const { name, instances, rejections, untilMs } of cases) {
    test(`the server is left out for the rest of the second: ${name}`, () => {
      const brittle = withBrittle(instances);
      for (let left = rejections; left > 0; left -= 1) {
        brittle.record(INCARNATION, BRITTLE, true, 10_000);
      }
      assert.equal(brittle.nextAt(INCARNATION, 10_000), 10_000 + untilMs);
    });
  }

  test('a server that is not brittle is not paused', () => {
    const brittle = createBrittle(8);
    assert.deepEqual(brittle.record(INCARNATION, NONE, true, 0), []);
    assert.equal(brittle.nextAt(INCARNATION, 1), 1);
  });
});

// Guards against instances that send a full server's worth of requests to one that has just started.
describe('a new incarnation while servers are brittle', () => {
  const cases = [
    { name: 'under the same id', incarnation: NEXT_INCARNATION },
    { name: 'under another id', incarnation: { id: 'p2', bornAt: 200, slots: SLOTS } },
  ];
  for (const { name, incarnation } of cases) {
    test(`${name} gets one request at a time until it has answered`, () => {
      const brittle = withBrittle(2);
      assert.equal(brittle.maxInFlight(incarnation, SLOTS, 10), 1);
      assert.equal(brittle.size, name.includes('same') ? 0 : 1);
      assert.deepEqual(brittle.record(incarnation, NONE, false, 20), []);
      assert.equal(brittle.maxInFlight(incarnation, SLOTS, 20), undefined);
    });
  }

  test('gets the first requests of the instances one after the other', () => {
    const brittle = withBrittle(8, 0.5);
    assert.equal(brittle.nextAt(NEXT_INCARNATION, 10_000), 11_000);
    assert.equal(brittle.nextAt(NEXT_INCARNATION, 10_500), 11_000);
  });

  test('is not affected by late answers of the earlier one', () => {
    const brittle = withBrittle(2);
    brittle.record(NEXT_INCARNATION, NONE, false, 10);
    assert.deepEqual(brittle.record(INCARNATION, BRITTLE, true, 20), []);
    assert.equal(brittle.maxInFlight(NEXT_INCARNATION, SLOTS, 20), undefined);
  });

  test('does not affect servers that were known before', () => {
    const brittle = createBrittle(8, 0.5);
    brittle.maxInFlight({ id: 'p2', slots: SLOTS }, SLOTS, 0);
    brittle.record(INCARNATION, BRITTLE, false, 10);
    assert.equal(brittle.maxInFlight({ id: 'p2', slots: SLOTS }, SLOTS, 20), undefined);
  });
});

describe('when a server reports for the first time that it is brittle', () => {
  // Guards against instances that outnumber its slots and are all rejected when it lets no more requests wait.
  const cases = [
    { name: 'an instance beyond its slots pauses', instances: 8, random: 0.75, paused: true },
    { name: 'an instance within its slots goes on', instances: 8, random: 0.74, paused: false },
    {
      name: 'no instance pauses if it has enough slots',
      instances: 6,
      random: 0.99,
      paused: false,
    },
  ];
  for (const { name, instances, random, paused } of cases) {
    test(name, () => {
      const brittle = withBrittle(instances, random);
      assert.equal(brittle.nextAt(INCARNATION, 1) > 1, paused);
    });
  }
});

/** A pool of two brittle servers at one of 8 instances. */
function createPool(): ServerPool {
  const limits = new ServerRateLimits(() => 0);
  limits.setSharers(8, 0);
  const notices = new ServerNotices(limits, () => 0);
  const pool = new ServerPool({
    dataCentre: 'dc-a',
    concurrencyPerServer: 12,
    limitKind: 'fixed',
    rules: new SendRules(notices),
  });
  const server = { service: 'ledger', dataCentre: 'dc-a', state: 'live', slots: SLOTS } as const;
  const listed = ['p1', 'p2'].map((id) => ({ ...server, id, url: `http://${id}` }));
  pool.applyList(listed, 0);
  for (const { id } of listed) notices.brittle.record({ id, slots: SLOTS }, BRITTLE, false, 0);
  return pool;
}

// Guards against a rejected request that is passed on from one full server to the next.
test('a request that a brittle server rejected goes to another only if that one has room', () => {
  const pool = createPool();
  const tried = new Set(['p1']);
  assert.deepEqual(
    pool.candidates({ tried }, 0).map(({ id }) => id),
    ['p2'],
  );
  pool.dispatch('p2', 0);
  assert.equal(pool.candidates({ tried }, 0).length, 0);
});

// Guards against admitting requests for places that belong to other instances.
test('a brittle server counts as the own share of its slots', () => {
  const pool = createPool();
  assert.equal(pool.capacity(0), 2);
  pool.dispatch('p1', 0);
  assert.equal(pool.hasRoom({ keptFree: 0.4, extra: 0 }, 0), true);
  assert.equal(pool.hasRoom({ keptFree: 0.5, extra: 0 }, 0), false);
  pool.dispatch('p2', 0);
  assert.equal(pool.hasRoom({ keptFree: 0, extra: 1 }, 0), false);
});

// Guards against callers that wait until their timeout for places that are known to be taken.
test('a pool of brittle servers tells when the next request can be sent', () => {
  const limits = new ServerRateLimits(() => 0);
  limits.setSharers(8, 0);
  const notices = new ServerNotices(limits, () => 0);
  const pool = new ServerPool({
    dataCentre: 'dc-a',
    concurrencyPerServer: 12,
    limitKind: 'fixed',
    rules: new SendRules(notices),
  });
  const server = { ...INCARNATION, service: 'ledger', dataCentre: 'dc-a', url: 'http://p1' };
  pool.applyList([{ ...server, slots: SLOTS, state: 'live' }], 0);
  assert.equal(pool.sendPace(0), undefined);
  notices.brittle.record(INCARNATION, BRITTLE, false, 0);
  pool.settle(pool.dispatch('p1', 0), { end: 'ok' }, 200);
  assert.deepEqual(pool.sendPace(200), { firstMs: 0, intervalMs: 200 });
  const attempt = pool.dispatch('p1', 200);
  assert.equal(pool.candidates({}, 250).length, 0);
  assert.deepEqual(pool.sendPace(250), { firstMs: 150, intervalMs: 200 });
  assert.deepEqual(pool.sendPace(1_000), { firstMs: 50, intervalMs: 200 });
  notices.brittle.record(INCARNATION, BRITTLE, true, 300);
  pool.settle(attempt, { end: 'cancelled' }, 300);
  assert.deepEqual(pool.sendPace(300), { firstMs: 2_000, intervalMs: 2_000 });
});
