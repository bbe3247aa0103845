import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  ColdServers,
  Evacuations,
  SendRules,
  ServerNotices,
  ServerPool,
  ServerRateLimits,
} from '@flamingocourse/core';
import { createRandom } from '../../packages/lab/src/runtime/random.js';

const BOUND = { overshoot: 1.5, slack: 5 };
const SERVICE = 'chat';
const PER_SECOND = 4;
/** Requests that may be sent to a cold server in any second: 4 x 1.5 + 5. */
const MOST = 11;
const COLD_MS = 3_000;
const P1 = { id: 'p1', service: SERVICE };

function coldServers(isOwner = true): ColdServers {
  const cold = new ColdServers(
    () => BOUND,
    () => isOwner,
  );
  cold.setServices(new Map([[SERVICE, { perSecond: PER_SECOND, coldMs: COLD_MS }]]));
  return cold;
}

describe('a cold server', () => {
  const cases: {
    name: string;
    set: (cold: ColdServers) => void;
    isOwner?: boolean;
    at?: number;
    nextAt: number;
  }[] = [
    { name: 'that is not known to be cold takes requests', set: () => undefined, nextAt: 0 },
    {
      name: 'takes requests of the instance that has its whole bound',
      set: (cold) => {
        cold.record('p1', { type: 'cold', ms: 2_000 }, SERVICE, 0);
      },
      nextAt: 0,
    },
    {
      name: 'takes none of the others until it is warm',
      set: (cold) => {
        cold.record('p1', { type: 'cold', ms: 2_000 }, SERVICE, 0);
      },
      isOwner: false,
      nextAt: 2_000,
    },
    {
      name: 'stays cold as long as its longest report says',
      set: (cold) => {
        cold.record('p1', { type: 'cold', ms: 2_000 }, SERVICE, 0);
        cold.record('p1', { type: 'cold', ms: 500 }, SERVICE, 100);
        cold.record('p1', { type: 'none' }, SERVICE, 200);
      },
      isOwner: false,
      at: 300,
      nextAt: 2_000,
    },
    {
      name: 'is cold for the time of its service if its own cannot be read',
      set: (cold) => {
        cold.record('p1', { type: 'invalid', text: '-3' }, SERVICE, 0);
      },
      isOwner: false,
      nextAt: COLD_MS,
    },
    {
      name: 'is assumed after an evacuation',
      set: (cold) => {
        cold.assume(P1, 0);
      },
      isOwner: false,
      nextAt: COLD_MS,
    },
    {
      name: 'waits with further requests while those of a second are at the bound',
      set: (cold) => {
        cold.record('p1', { type: 'cold', ms: 9_000 }, SERVICE, 0);
        for (let at = 0; at < 9; at += 1) cold.recordSent(cold.take(P1, at), at * 10);
      },
      at: 100,
      nextAt: 1_100,
    },
    {
      name: 'counts requests that it got before it became cold',
      set: (cold) => {
        for (let at = 0; at < 9; at += 1) cold.recordSent(cold.take(P1, at), at);
        cold.record('p1', { type: 'cold', ms: 9_000 }, SERVICE, 50);
      },
      at: 100,
      nextAt: 1_100,
    },
    {
      name: 'counts requests that wait for their connection until they have been sent',
      set: (cold) => {
        cold.record('p1', { type: 'cold', ms: 9_000 }, SERVICE, 0);
        for (let at = 0; at < 9; at += 1) cold.take(P1, at);
      },
      at: 2_000,
      nextAt: 3_100,
    },
    {
      name: 'does not count a request that was never sent',
      set: (cold) => {
        cold.record('p1', { type: 'cold', ms: 9_000 }, SERVICE, 0);
        for (let at = 0; at < 9; at += 1) cold.recordEnd(cold.take(P1, at));
      },
      at: 100,
      nextAt: 100,
    },
  ];
  for (const { name, set, isOwner, at = 0, nextAt } of cases) {
    test(name, () => {
      const cold = coldServers(isOwner);
      set(cold);
      assert.equal(cold.nextAt(P1, at), nextAt);
    });
  }

  test('of an unknown service takes what the slack allows', () => {
    const cold = coldServers();
    const other = { id: 'p2', service: 'other' };
    cold.record('p2', { type: 'cold', ms: 9_000 }, 'other', 0);
    let sent = 0;
    for (; cold.nextAt(other, 0) <= 0; sent += 1) cold.recordSent(cold.take(other, 0), 0);
    assert.ok(sent > 0 && sent <= BOUND.slack, String(sent));
  });
});

// Guards against a burst at a cold server that comes from connections which open late.
test('in no second is more sent than the bound, however late connections open', () => {
  for (let seed = 1; seed <= 200; seed += 1) {
    const random = createRandom(seed);
    const cold = coldServers();
    cold.record('p1', { type: 'cold', ms: 20_000 }, SERVICE, 0);
    const opening: { at: number; send: ReturnType<ColdServers['take']> }[] = [];
    const sentAt: number[] = [];
    for (let now = 0; now < 20_000; now += 10) {
      for (const { send } of opening.filter(({ at }) => at === now)) {
        cold.recordSent(send, now);
        sentAt.push(now);
      }
      if (cold.nextAt(P1, now) > now || !random.chance(0.6)) continue;
      opening.push({ at: now + 10 * random.int(1, 40), send: cold.take(P1, now) });
    }
    for (const from of sentAt) {
      const within = sentAt.filter((at) => at >= from && at < from + 1_000).length;
      assert.ok(within <= MOST, `seed ${String(seed)}: ${String(within)}`);
    }
    assert.ok(sentAt.length > 60, String(sentAt.length));
  }
});

// Guards against callers who wait for cold servers while warm ones have room, or until they are late.
describe('a pool with cold servers', () => {
  function poolOf(isOwner: boolean): { pool: ServerPool; cold: ColdServers } {
    const cold = coldServers(isOwner);
    const notices = new ServerNotices(new ServerRateLimits(() => 0), () => 0);
    const rules = new SendRules(notices, new Evacuations(), cold);
    const pool = new ServerPool({ dataCentre: 'dc-a', concurrencyPerServer: 50, rules });
    const server = { service: SERVICE, dataCentre: 'dc-a', state: 'live' } as const;
    pool.applyList(
      ['p1', 'p2'].map((id) => ({ ...server, id, url: `http://${id}:1` })),
      0,
    );
    return { pool, cold };
  }

  test('sends to the warm ones', () => {
    const { pool, cold } = poolOf(false);
    cold.record('p1', { type: 'cold', ms: 2_000 }, SERVICE, 0);
    assert.deepEqual(
      pool.candidates({}, 0).map(({ id }) => id),
      ['p2'],
    );
    assert.equal(pool.sendPace(0), undefined);
  });

  test('knows when the first is warm if all are cold', () => {
    const { pool, cold } = poolOf(false);
    cold.record('p1', { type: 'cold', ms: 2_000 }, SERVICE, 0);
    cold.record('p2', { type: 'cold', ms: 900 }, SERVICE, 0);
    assert.equal(pool.candidates({}, 0).length, 0);
    assert.equal(pool.hasOpenServer(undefined, 0), true);
    assert.equal(pool.sendPace(0)?.firstMs, 900);
    assert.equal(pool.candidates({}, 900).length, 1);
  });

  test('sends to all of them what the bound allows where it has the right', () => {
    const { pool, cold } = poolOf(true);
    for (const id of ['p1', 'p2']) cold.record(id, { type: 'cold', ms: 9_000 }, SERVICE, 0);
    let sent = 0;
    for (;;) {
      const [first] = pool.candidates({}, 0);
      if (!first) break;
      pool.recordSent(pool.dispatch(first.id, 0), 0);
      sent += 1;
    }
    assert.ok(sent > MOST && sent <= 2 * MOST, String(sent));
  });
});
