import type { BackendServer, StreamSoftware } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { SeenSoftware, ServerPool } from '@flamingocourse/core';

const OLD: StreamSoftware = { type: 'version', version: 'v1' };
const UNKNOWN: StreamSoftware = { type: 'unknown' };
const ANY: StreamSoftware = { type: 'any' };
/** Milliseconds for which a lost connection leaves a server's software in doubt. */
const DOUBT_MS = 5_500;

function server(id: string, softwareVersion?: string, bornAt?: number): BackendServer {
  const url = `http://${id}`;
  return { service: 'llm', id, dataCentre: 'dc-a', url, state: 'live', softwareVersion, bornAt };
}

function createPool(
  options: Partial<ConstructorParameters<typeof ServerPool>[0]> = {},
): ServerPool {
  return new ServerPool({
    dataCentre: 'dc-a',
    concurrencyPerServer: 4,
    limitKind: 'fixed',
    ...options,
  });
}

function idsFor(pool: ServerPool, software: StreamSoftware, now: number): string {
  const ids = pool.candidates({ software }, now).map(({ id }) => id);
  assert.equal(pool.hasOpenServer(undefined, now, software), ids.length > 0);
  return ids.join(' ');
}

// Guards against a stream that goes on at another software version than the one that began it.
describe('the servers at which a stream may go on', () => {
  const both = [server('a', 'v1'), server('b', 'v1'), server('c', 'v2')];
  const single = both.slice(0, 2);
  const cases: { name: string; servers: BackendServer[]; software: StreamSoftware; ids: string }[] =
    [
      { name: 'a new stream, two versions', servers: both, software: ANY, ids: 'a b c' },
      { name: 'a stream of v1, two versions', servers: both, software: OLD, ids: 'a b' },
      {
        name: 'a stream of v1, which is gone',
        servers: [both[2] ?? server('c')],
        software: OLD,
        ids: '',
      },
      { name: 'an unknown stream, two versions', servers: both, software: UNKNOWN, ids: '' },
      { name: 'an unknown stream, one version', servers: single, software: UNKNOWN, ids: 'a b' },
      {
        name: 'an unknown stream, no versions',
        servers: [server('a')],
        software: UNKNOWN,
        ids: 'a',
      },
    ];
  for (const { name, servers, software, ids } of cases) {
    test(`${name}: ${ids || 'none'}`, () => {
      const pool = createPool();
      pool.applyList(servers, 0);
      assert.equal(idsFor(pool, software, 0), ids);
    });
  }

  test('an unknown stream goes nowhere for a minute after the other version has gone', () => {
    const pool = createPool();
    pool.applyList(both, 0);
    pool.applyList(single, 100_000);
    assert.equal(idsFor(pool, UNKNOWN, 160_000), '');
    assert.equal(idsFor(pool, UNKNOWN, 160_001), 'a b');
  });

  test('an unknown stream goes nowhere if a peer has seen another version', () => {
    const seenSoftware = new SeenSoftware();
    const pool = createPool({ seenSoftware });
    pool.applyList(single, 0);
    seenSoftware.observe('llm', 'v2', 10);
    assert.equal(idsFor(pool, UNKNOWN, 20), '');
    assert.equal(idsFor(pool, ANY, 20), 'a b');
  });

  test('servers of its version that failed are used while no other is left', () => {
    const pool = createPool();
    pool.applyList([...both, server('d', 'v2'), server('e', 'v2')], 0);
    for (const id of ['a', 'b']) {
      for (let n = 0; n < 8; n += 1) pool.settle(pool.dispatch(id, 0), { end: 'failed' }, 0);
    }
    assert.equal(idsFor(pool, ANY, 1), 'c d e');
    assert.equal(idsFor(pool, OLD, 1), 'a b');
  });
});

// Guards against a stream that goes on at a server whose listed version is that of its life before.
describe('a server that broke a connection and can start again under its id', () => {
  const cases = [
    { name: 'is left out at once', confirmedAt: 1_000, ids: 'b' },
    {
      name: 'is left out while a new entry may be on its way',
      confirmedAt: 1_000 + DOUBT_MS,
      ids: 'b',
    },
    {
      name: 'is used when its entry was confirmed after that',
      confirmedAt: 1_001 + DOUBT_MS,
      ids: 'a b',
    },
  ];
  for (const { name, confirmedAt, ids } of cases) {
    test(name, () => {
      const pool = createPool({ listConfirmedAt: () => confirmedAt });
      pool.applyList([server('a', 'v1', 7), server('b', 'v1', 7), server('c', 'v2', 7)], 0);
      const attempt = pool.dispatch('a', 1_000);
      assert.equal(pool.softwareOf(attempt), 'v1');
      pool.recordLoss(attempt, 1_000);
      assert.equal(pool.softwareOf(attempt), 'v1');
      pool.recordEnd('a', 1_000);
      assert.equal(pool.softwareOf(attempt), ids === 'b' ? undefined : 'v1');
      assert.equal(idsFor(pool, OLD, 20_000), ids);
      assert.equal(idsFor(pool, ANY, 20_000), 'a b c');
    });
  }

  test('is used at once if other connections to its process stay open', () => {
    const pool = createPool({ listConfirmedAt: () => 1_000 });
    const broke = server('a', 'v1', 7);
    pool.applyList([broke, server('c', 'v2', 7)], 0);
    pool.recordLoss(pool.dispatch('a', 1_000), 1_000);
    pool.recordSameProcess(broke);
    assert.equal(idsFor(pool, OLD, 1_001), 'a');
    pool.recordEnd('a', 1_002);
    pool.recordLoss(pool.dispatch('a', 1_002), 1_002);
    pool.recordSameProcess(broke);
    assert.equal(idsFor(pool, OLD, 1_003), '');
  });

  test('is used again at once when its next life is listed, at the version of that life', () => {
    const pool = createPool({ listConfirmedAt: () => 1_100 });
    pool.applyList([server('a', 'v1', 7)], 0);
    pool.recordLoss(pool.dispatch('a', 1_000), 1_000);
    pool.applyList([server('a', 'v1', 8)], 1_100);
    assert.equal(idsFor(pool, OLD, 1_100), 'a');
    pool.applyList([server('a', 'v2', 8)], 1_200);
    assert.equal(idsFor(pool, OLD, 1_200), '');
  });

  test('is used at once if each of its starts has a new id', () => {
    const pool = createPool({ listConfirmedAt: () => 1_000 });
    pool.applyList([server('a', 'v1'), server('c', 'v2')], 0);
    pool.recordLoss(pool.dispatch('a', 1_000), 1_000);
    assert.equal(idsFor(pool, OLD, 1_001), 'a');
  });
});
