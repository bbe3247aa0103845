import type { BackendServer } from '@flamingocourse/core';
import type { PlacementRequest } from '@flamingocourse/router';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  AdmissionQueue,
  PowerOfTwoChooser,
  SendRules,
  ServerNotices,
  ServerPool,
  ServerRateLimits,
} from '@flamingocourse/core';
import { BackgroundWork, ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { QuarantineRegister, ServiceLane } from '@flamingocourse/router';

const SLOTS = 10;

/** A lane with one server. */
class LaneFixture {
  readonly clock = new ManualClock();
  readonly limits = new ServerRateLimits(() => 0.5);
  readonly notices = new ServerNotices(this.limits, () => 0);
  readonly lane: ServiceLane;

  constructor() {
    const server: BackendServer = {
      id: 's1',
      service: 'llm',
      dataCentre: 'dc-a',
      url: 'http://s1',
      state: 'live',
    };
    const pool = new ServerPool({
      dataCentre: 'dc-a',
      concurrencyPerServer: SLOTS,
      limitKind: 'fixed',
      rules: new SendRules(this.notices),
    });
    pool.applyList([server], 0);
    this.limits.setSharers(1, 0);
    this.lane = new ServiceLane({
      pool,
      queue: new AdmissionQueue({ maxSize: 64 }),
      chooser: new PowerOfTwoChooser(),
      quarantine: new QuarantineRegister(this.clock, new MemoryEventLog(), {
        publish: () => undefined,
        onUpdate: () => undefined,
      }),
      clock: this.clock,
      background: new BackgroundWork(),
      random: () => 0.5,
    });
  }

  /** Current state of a new request: `placed`, `waits`, or the reason of its refusal. */
  async place(change: Partial<PlacementRequest> = {}): Promise<string> {
    const placed = this.lane.place({
      service: 'llm',
      workClass: 'chat',
      importance: 'background',
      deadline: this.clock.now() + 6_000,
      tried: [],
      fingerprint: 'f',
      signal: new AbortController().signal,
      ...change,
    });
    const waiting = Promise.resolve('waits');
    const known = placed.then((result) => (result.isOk ? 'placed' : result.error.reason));
    return Promise.race([known, Promise.resolve().then(() => waiting)]);
  }
}

describe('a request while the only server has a rate limit', () => {
  // Guards against callers that wait for a slot that is too late, or that are refused one in time.
  const cases = [
    { name: 'with a slot in time waits', startByMs: 1_000, end: 'waits' },
    { name: 'with a slot that is too late is refused', startByMs: 500, end: 'overloaded' },
  ];
  for (const { name, startByMs, end } of cases) {
    test(name, async () => {
      const world = new LaneFixture();
      // 0.6 of 1.2 requests per second is one per 1,389 ms; the first is due after half of that.
      world.limits.record('s1', { type: 'limit', perSecond: 1.2 }, 0);
      assert.equal(await world.place({ startBy: startByMs }), end);
    });
  }
});

describe('a request during a pause of the only server', () => {
  // Guards against callers that are kept waiting until their timeout for a server that accepts
  // none.
  const cases = [
    { name: 'that ends in time waits', startByMs: 1_500, end: 'waits' },
    { name: 'that ends too late is refused', startByMs: 500, end: 'overloaded' },
  ];
  for (const { name, startByMs, end } of cases) {
    test(name, async () => {
      const world = new LaneFixture();
      const rest = { type: 'rest', ms: 1_000 } as const;
      const none = { type: 'none' } as const;
      const notice = {
        leaving: false,
        rest,
        rateLimit: none,
        brittle: none,
        cold: none,
        rejected: false,
      };
      world.notices.record({ id: 's1' }, notice, 0);
      assert.equal(await world.place({ startBy: startByMs }), end);
      assert.equal(world.lane.pool.capacity(0), 0);
      world.clock.advance(1_000);
      world.lane.pump();
      assert.equal(world.lane.waiting, 0);
    });
  }
});

// Guards against less important requests that wait although slots are free, because others were
// refused due to a rate limit. Reserving slots does not help against a rate limit.
test('refusals due to a rate limit reserve no slots after the limit has ended', async () => {
  const world = new LaneFixture();
  world.limits.record('s1', { type: 'limit', perSecond: 0.1 }, 0);
  for (let count = 0; count < 100; count += 1) {
    assert.equal(await world.place({ importance: 'first', startBy: 100 }), 'overloaded');
  }
  world.limits.record('s1', { type: 'none' }, 0);
  for (let count = 0; count < SLOTS; count += 1) assert.equal(await world.place(), 'placed');
});

// Guards against admitting requests for all slots of a server whose rate limit allows very few.
test('a rate-limited server counts as the one request that is due, not as all its slots', () => {
  const { limits, lane } = new LaneFixture();
  const { pool } = lane;
  assert.equal(pool.capacity(0), SLOTS);
  limits.record('s1', { type: 'limit', perSecond: 1 }, 0);
  const dueAt = limits.nextAt('s1', 0);
  const everything = { keptFree: 0, extra: 0 };
  assert.equal(pool.capacity(dueAt - 1), 0);
  assert.equal(pool.hasRoom(everything, dueAt - 1), false);
  assert.equal(pool.capacity(dueAt), 1);
  assert.equal(pool.hasRoom(everything, dueAt), true);
  pool.dispatch('s1', dueAt);
  assert.equal(pool.capacity(dueAt), 0);
  limits.record('s1', { type: 'none' }, dueAt);
  assert.equal(pool.capacity(dueAt), SLOTS);
});
