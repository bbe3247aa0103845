import type { BackendServer } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  REACHABLE,
  ServerPool,
  isReachable,
  recordProbeAnswer,
  recordSent,
  recordSilence,
} from '@flamingocourse/core';

const server = (id: string): BackendServer => ({
  service: 'ledger',
  id,
  dataCentre: 'hall-a',
  url: `http://${id}`,
  state: 'live',
});

function createPool(ids: string[]): ServerPool {
  const pool = new ServerPool({ dataCentre: 'hall-a', concurrencyPerServer: 6 });
  pool.applyList(ids.map(server), 0);
  return pool;
}

const openIds = (pool: ServerPool, now: number): string[] =>
  pool.candidates({}, now).map(({ id }) => id);

describe('reachability of a server', () => {
  const cases = [
    { name: 'is assumed at first', silences: [], now: 0, expected: true },
    { name: 'is denied after a silence', silences: [0], now: 700, expected: false },
    { name: 'is tested again after the avoid time', silences: [0], now: 800, expected: true },
    {
      name: 'is denied for longer after each silence',
      silences: [0, 900],
      now: 2_000,
      expected: false,
    },
    {
      name: 'does not count the same silence twice',
      silences: [0, 100, 200],
      now: 800,
      expected: true,
    },
    {
      name: 'is tested again within seconds',
      silences: [0, 900, 2_600, 6_000],
      now: 9_200,
      expected: true,
    },
  ];
  for (const { name, silences, now, expected } of cases) {
    test(name, () => {
      const state = silences.reduce((known, at) => recordSilence(known, at), REACHABLE);
      assert.equal(isReachable(state, now), expected);
    });
  }

  test('is tested by one request at a time', () => {
    const state = recordSent(recordSilence(REACHABLE, 0), 900);
    assert.equal(isReachable(state, 901), false);
    assert.equal(isReachable(state, 1_400), true);
  });
});

// Guards against refusals that take a second: a data centre is cut off, most servers are behind the
// partition, and every request waits for a connection to each of them in turn.
test('if most servers are behind a partition, the reachable ones get all requests', () => {
  const pool = createPool(['near', 'far-1', 'far-2', 'far-3']);
  for (const id of ['far-1', 'far-2', 'far-3']) {
    const attempt = pool.dispatch(id, 100);
    pool.recordUnreachable(attempt, 350);
    pool.settle(attempt, { end: 'cancelled' }, 350);
  }
  assert.deepEqual(openIds(pool, 400), ['near']);
  assert.deepEqual(pool.countReachable(400), { reachable: 1, listed: 4 });
});

test('if no server is reachable, the caller is refused at once', () => {
  const pool = createPool(['far']);
  const attempt = pool.dispatch('far', 0);
  pool.recordUnreachable(attempt, 250);
  assert.equal(pool.hasOpenServer(undefined, 300), false);
  assert.equal(pool.hasOpenServer(undefined, 2_000), true);
});

// Guards against requests that wait until their timeout at a server that lost power with requests
// in flight.
test('a silent server with requests in flight is avoided until something is received from it', () => {
  const pool = createPool(['dark', 'sound']);
  const waiting = pool.dispatch('dark', 0);
  const answered = pool.dispatch('sound', 0);
  pool.recordReceived(answered, 350);
  assert.deepEqual(pool.avoidSilent(400, 300), []);
  assert.deepEqual(pool.avoidSilent(400, 450), ['dark']);
  assert.deepEqual(openIds(pool, 460), ['sound']);
  pool.recordReceived(waiting, 500);
  assert.deepEqual(openIds(pool, 510), ['dark', 'sound']);
});

// Guards against a partitioned instance that spends a caller's request on each server to learn that it is still cut off.
describe('a silent server that probes restore', () => {
  const silent = recordSilence(REACHABLE, 0, 'probes');
  const cases = [
    {
      name: 'is not tried before a probe was answered',
      state: silent,
      now: 60_000,
      expected: false,
    },
    {
      name: 'is not tried before its pause is over',
      state: recordProbeAnswer(silent),
      now: 799,
      expected: false,
    },
    {
      name: 'is tried after both',
      state: recordProbeAnswer(silent),
      now: 800,
      expected: true,
    },
  ];
  for (const { name, state, now, expected } of cases) {
    test(name, () => {
      assert.equal(isReachable(state, now), expected);
    });
  }
});

// Guards against requests that wait on connections of a lost path and make the new path count as silent too.
test('what waits since before a change of the path does not count as silence', () => {
  const options = { dataCentre: 'hall-a', concurrencyPerServer: 6, restoredBy: 'probes' } as const;
  const pool = new ServerPool(options);
  pool.applyList([server('a')], 0);
  pool.dispatch('a', 0);
  assert.deepEqual(pool.avoidSilent(400, 400), ['a']);
  pool.recordPathChange('a', 450);
  assert.deepEqual([openIds(pool, 450), pool.avoidSilent(400, 2_000)], [['a'], []]);
  pool.dispatch('a', 2_000);
  assert.deepEqual(pool.avoidSilent(400, 2_400), ['a']);
});
