import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { BackendServer } from '@flamingocourse/core';
import { chooseSubset, ServerPool } from '@flamingocourse/core';

function server(id: string, fields: Partial<BackendServer> = {}): BackendServer {
  const url = `http://${id}`;
  return { service: 'llm', id, dataCentre: 'dc-a', url, state: 'live', ...fields };
}

function poolOf(ids: string[], concurrencyPerServer = 2): ServerPool {
  const pool = new ServerPool({ dataCentre: 'dc-a', concurrencyPerServer });
  pool.applyList(
    ids.map((id) => server(id)),
    0,
  );
  return pool;
}

function openIds(pool: ServerPool, now: number, exclusive = false): string[] {
  return pool.candidates({ exclusive }, now).map((candidate) => candidate.id);
}

function failTimes(pool: ServerPool, id: string, times: number, now: number): void {
  for (let i = 0; i < times; i += 1) pool.settle(pool.dispatch(id, now), { end: 'failed' }, now);
}

describe('leaving', () => {
  // Guards against refusals for seconds after a planned stop: the server answers 503 leaving, but
  // the delayed list still shows it as live, and each refresh would send it new requests.
  test('a list that still shows a server as live does not bring it back', () => {
    const pool = poolOf(['s1', 's2']);
    pool.settle(pool.dispatch('s1', 1), { end: 'leaving' }, 1);
    assert.deepEqual(openIds(pool, 2), ['s2']);
    pool.applyList([server('s1'), server('s2')], 3);
    assert.deepEqual(openIds(pool, 3), ['s2']);
    pool.applyList([server('s2')], 4);
    pool.applyList([server('s1'), server('s2')], 5);
    assert.deepEqual(openIds(pool, 5), ['s2', 's1']);
  });

  const cases = [
    {
      by: 'the list',
      leave: (pool: ServerPool) => {
        pool.applyList([server('s1', { state: 'leaving' }), server('s2')], 1);
      },
    },
    {
      by: 'absence from the list',
      leave: (pool: ServerPool) => {
        pool.applyList([server('s2')], 1);
      },
    },
    {
      by: 'its own report',
      leave: (pool: ServerPool) => {
        pool.markLeaving('s1');
      },
    },
    {
      by: 'an operator',
      leave: (pool: ServerPool) => {
        pool.setDrained('s1', true);
      },
    },
  ];
  for (const { by, leave } of cases) {
    test(`a server that leaves by ${by} gets no new requests and keeps the running ones`, () => {
      const pool = poolOf(['s1', 's2']);
      const running = pool.dispatch('s1', 0);
      leave(pool);
      assert.deepEqual(openIds(pool, 1), ['s2']);
      pool.settle(running, { end: 'ok' }, 2);
      assert.equal(pool.inFlight('s1'), 0);
    });
  }

  test('another server process under the same id is a new server', () => {
    const pool = poolOf(['s1']);
    pool.markLeaving('s1');
    pool.applyList([server('s1', { url: 'http://other' })], 1);
    assert.deepEqual(openIds(pool, 1), ['s1']);
  });
});

describe('load', () => {
  // Guards against requests that accumulate at one server: its report says idle, but was taken
  // before the last dispatches.
  test('own dispatches after the report are added to it', () => {
    const pool = poolOf(['s1'], 8);
    pool.dispatch('s1', 100);
    pool.dispatch('s1', 900);
    pool.reportLoad('s1', { running: 3, waiting: 0, at: 500 }, 1_000);
    // of the three reported requests, two are from other routers and one is the first dispatch
    assert.equal(pool.candidates({}, 1_000)[0]?.load, 4);
  });

  test('an own attempt that ended after the report is subtracted', () => {
    const pool = poolOf(['s1'], 8);
    const attempt = pool.dispatch('s1', 100);
    pool.settle(attempt, { end: 'ok' }, 600);
    pool.reportLoad('s1', { running: 3, waiting: 0, at: 500 }, 1_000);
    assert.equal(pool.candidates({}, 1_000)[0]?.load, 2);
  });

  test('reports older than the last are ignored, and stale ones expire', () => {
    const pool = poolOf(['s1'], 8);
    pool.reportLoad('s1', { running: 1, waiting: 0, at: 900 }, 1_000);
    pool.reportLoad('s1', { running: 7, waiting: 0, at: 500 }, 1_001);
    assert.equal(pool.candidates({}, 1_001)[0]?.load, 1);
    assert.equal(pool.candidates({}, 20_000)[0]?.load, 0);
  });

  // Guards against a router whose requests all wait until their deadline: another router refills
  // each free slot before the next report, so every report shows a full server.
  test('each router may use a fair share of a full server', () => {
    const pool = poolOf(['s1'], 4);
    pool.reportLoad('s1', { running: 4, waiting: 2, at: 0 }, 0);
    assert.deepEqual(openIds(pool, 1), ['s1']);
    pool.setSharers(4);
    pool.dispatch('s1', 1);
    assert.deepEqual(openIds(pool, 1), []);
  });
});

describe('health', () => {
  const ejections = [
    { failures: 2, at: 1, expected: ['s1', 's2', 's3'] },
    { failures: 3, at: 1, expected: ['s2', 's3'] },
    { failures: 3, at: 1_999, expected: ['s2', 's3'] },
    { failures: 3, at: 2_001, expected: ['s1', 's2', 's3'] },
  ];
  for (const { failures, at, expected } of ejections) {
    test(`after ${failures} failures in a row, at ${at} ms`, () => {
      const pool = poolOf(['s1', 's2', 's3']);
      failTimes(pool, 's1', failures, 0);
      assert.deepEqual(openIds(pool, at), expected);
    });
  }

  test('an ejected server returns gradually', () => {
    const pool = poolOf(['s1', 's2', 's3'], 20);
    failTimes(pool, 's1', 3, 0);
    const capacityAt = (now: number) =>
      pool.candidates({}, now).find((candidate) => candidate.id === 's1')?.capacity;
    assert.deepEqual([2_000, 7_000, 12_000].map(capacityAt), [2, 11, 20]);
  });

  // Guards against refusing all callers although the servers are healthy: the network briefly
  // dropped every connection, and every server was ejected.
  test('if most servers fail at once, they are not all ejected', () => {
    const pool = poolOf(['s1', 's2', 's3']);
    for (const id of ['s1', 's2', 's3']) failTimes(pool, id, 3, 0);
    assert.deepEqual(openIds(pool, 1), ['s1', 's2', 's3']);
  });

  test('a server far slower than the median is ejected if this is enabled', () => {
    const health = { slowFactor: 3 };
    const pool = new ServerPool({ dataCentre: 'dc-a', concurrencyPerServer: 50, health });
    pool.applyList(
      ['s1', 's2', 's3'].map((id) => server(id)),
      0,
    );
    for (let i = 0; i < 12; i += 1) {
      for (const [id, firstTokenMs] of [
        ['s2', 100],
        ['s3', 110],
        ['s1', 900],
      ] as const) {
        pool.settle(pool.dispatch(id, i), { end: 'ok', firstTokenMs }, i);
      }
    }
    assert.deepEqual(openIds(pool, 12), ['s2', 's3']);
  });

  test('an attempt settles once', () => {
    const pool = poolOf(['s1']);
    const attempt = pool.dispatch('s1', 0);
    for (let i = 0; i < 5; i += 1) pool.settle(attempt, { end: 'failed' }, 1);
    assert.deepEqual(openIds(pool, 1), ['s1']);
  });
});

describe('concurrency limit', () => {
  function capacityAfter(end: 'ok' | 'timeout', firstTokenMs: number | undefined): number {
    const pool = poolOf(['s1', 's2'], 10);
    for (let i = 0; i < 20; i += 1) {
      const ms = firstTokenMs === undefined ? {} : { firstTokenMs };
      pool.settle(pool.dispatch(i % 2 ? 's1' : 's2', i), { end, targetMs: 500, ...ms }, i * 20_000);
    }
    return pool.capacity(1e9);
  }

  // Guards against a limit that stays above what a server can run because its timeouts do not count.
  const cases = [
    {
      name: 'answers within the target leave it unchanged',
      end: 'ok',
      firstTokenMs: 400,
      expected: 20,
    },
    { name: 'late answers lower it', end: 'ok', firstTokenMs: 600, expected: 14 },
    { name: 'timeouts lower it', end: 'timeout', firstTokenMs: undefined, expected: 14 },
  ] as const;
  for (const { name, end, firstTokenMs, expected } of cases) {
    test(name, () => {
      assert.equal(capacityAfter(end, firstTokenMs), expected);
    });
  }
});

test('reserved slots and slots beyond the limit', () => {
  const pool = poolOf(['s1', 's2'], 4);
  for (let i = 0; i < 4; i += 1) pool.dispatch('s1', 0);
  for (let i = 0; i < 3; i += 1) pool.dispatch('s2', 0);
  assert.equal(pool.hasRoom({ keptFree: 0, extra: 0 }, 0), true);
  assert.equal(pool.hasRoom({ keptFree: 0.15, extra: 0 }, 0), false);
  pool.dispatch('s2', 0);
  assert.equal(pool.hasRoom({ keptFree: 0, extra: 0 }, 0), false);
  assert.equal(pool.hasRoom({ keptFree: 0, extra: 0.5 }, 0), true);
});

describe('requests that run alone', () => {
  test('get an idle server and block others from it', () => {
    const pool = poolOf(['s1', 's2']);
    pool.dispatch('s1', 0);
    assert.deepEqual(openIds(pool, 0, true), ['s2']);
    const alone = pool.dispatch('s2', 0, true);
    assert.deepEqual(openIds(pool, 1), ['s1']);
    pool.settle(alone, { end: 'ok' }, 2);
    assert.deepEqual(openIds(pool, 2), ['s1', 's2']);
  });

  // Guards against a suspect that waits for ever: under load no server becomes idle unless new
  // requests are withheld from one.
  test('in a busy pool one server gets no new requests until it is idle', () => {
    const pool = poolOf(['s1', 's2']);
    const first = pool.dispatch('s1', 0);
    pool.dispatch('s2', 0);
    assert.deepEqual(openIds(pool, 1, true), []);
    assert.deepEqual(openIds(pool, 1), ['s2']);
    pool.settle(first, { end: 'ok' }, 2);
    assert.deepEqual(openIds(pool, 2), ['s2']);
    assert.deepEqual(openIds(pool, 2, true), ['s1']);
  });

  test('a held server becomes available again if no request claims it', () => {
    const pool = poolOf(['s1', 's2']);
    for (const id of ['s1', 's2']) pool.dispatch(id, 0);
    openIds(pool, 1, true);
    assert.deepEqual(openIds(pool, 6_000), ['s1', 's2']);
  });
});

test('subsets are stable and use every server almost equally', () => {
  const servers = Array.from({ length: 100 }, (_, i) => `s${i}`);
  const routers = Array.from({ length: 50 }, (_, i) => `r${i}`);
  const uses = new Map(servers.map((id) => [id, 0]));
  for (const self of routers) {
    const subset = chooseSubset({ routers, self, servers, size: 20 });
    assert.deepEqual(
      subset,
      chooseSubset({ routers, self, servers: servers.toReversed(), size: 20 }),
    );
    assert.equal(subset.size, 20);
    for (const id of subset) uses.set(id, (uses.get(id) ?? 0) + 1);
  }
  assert.deepEqual([Math.min(...uses.values()), Math.max(...uses.values())], [10, 10]);
});
