import type { BackendServer } from '@flamingocourse/core';
import type { PlacementRequest } from '@flamingocourse/router';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  AdmissionQueue,
  PowerOfTwoChooser,
  ServerNotices,
  ServerPool,
  ServerRateLimits,
} from '@flamingocourse/core';
import { ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { QuarantineRegister, ServiceLane } from '@flamingocourse/router';

const PLACES = 10;

/** A lane before one server. */
class World {
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
      concurrencyPerServer: PLACES,
      limitKind: 'fixed',
      notices: this.notices,
    });
    pool.applyList([server], 0);
    this.limits.setSharers(1, 0);
    this.lane = new ServiceLane({
      pool,
      queue: new AdmissionQueue({ maxSize: 64 }),
      chooser: new PowerOfTwoChooser(),
      quarantine: new QuarantineRegister(this.clock, new MemoryEventLog(), {
        publish: () => undefined,
        onNews: () => undefined,
      }),
      clock: this.clock,
      random: () => 0.5,
    });
  }

  /** What becomes of a request by now: `placed`, `waits`, or the reason of its refusal. */
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

describe('a request while the only server limits the requests a second', () => {
  // guards against callers that wait for a turn that comes too late, or that are refused one in time.
  const cases = [
    { name: 'whose turn comes in time waits', startByMs: 1_000, end: 'waits' },
    { name: 'whose turn comes too late is refused', startByMs: 500, end: 'overloaded' },
  ];
  for (const { name, startByMs, end } of cases) {
    test(name, async () => {
      const world = new World();
      // 0.6 of the limit at 1.2 a second is a request each 1,389 ms; the first is due after half of it.
      world.limits.tell('s1', { type: 'limit', perSecond: 1.2 }, 0);
      assert.equal(await world.place({ startBy: startByMs }), end);
    });
  }
});

describe('a request while the only server rests', () => {
  // guards against callers that are held until their time is over for a server that wants none of them.
  const cases = [
    { name: 'that ends in time waits', startByMs: 1_500, end: 'waits' },
    { name: 'that ends too late is refused', startByMs: 500, end: 'overloaded' },
  ];
  for (const { name, startByMs, end } of cases) {
    test(name, async () => {
      const world = new World();
      const rest = { type: 'rest', ms: 1_000 } as const;
      world.notices.tell({ id: 's1' }, { leaving: false, rest, rateLimit: { type: 'none' } }, 0);
      assert.equal(await world.place({ startBy: startByMs }), end);
      assert.equal(world.lane.pool.capacity(0), 0);
      world.clock.advance(1_000);
      world.lane.pump();
      assert.equal(world.lane.waiting, 0);
    });
  }
});

// guards against less important requests that wait although there are places, because others were refused
// for a rate limit: keeping places free helps nobody against it.
test('refusals for a rate limit keep no places free after its end', async () => {
  const world = new World();
  world.limits.tell('s1', { type: 'limit', perSecond: 0.1 }, 0);
  for (let count = 0; count < 100; count += 1) {
    assert.equal(await world.place({ importance: 'first', startBy: 100 }), 'overloaded');
  }
  world.limits.tell('s1', { type: 'none' }, 0);
  for (let count = 0; count < PLACES; count += 1) assert.equal(await world.place(), 'placed');
});

// guards against requests that are let in for places of a server which takes hardly any.
test('a limited server counts as the one request that is due, not as all its places', () => {
  const { limits, lane } = new World();
  const { pool } = lane;
  assert.equal(pool.capacity(0), PLACES);
  limits.tell('s1', { type: 'limit', perSecond: 1 }, 0);
  const dueAt = limits.nextAt('s1', 0);
  const everything = { keptFree: 0, extra: 0 };
  assert.equal(pool.capacity(dueAt - 1), 0);
  assert.equal(pool.hasRoom(everything, dueAt - 1), false);
  assert.equal(pool.capacity(dueAt), 1);
  assert.equal(pool.hasRoom(everything, dueAt), true);
  pool.dispatch('s1', dueAt);
  assert.equal(pool.capacity(dueAt), 0);
  limits.tell('s1', { type: 'none' }, dueAt);
  assert.equal(pool.capacity(dueAt), PLACES);
});
