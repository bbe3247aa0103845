import type { BackendServer, StreamSoftware } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { MAX_ENTRY_DELAY_MS, SeenSoftware, ServerPool } from '@flamingocourse/core';

const OLD: StreamSoftware = { type: 'version', version: 'v1' };
const UNKNOWN: StreamSoftware = { type: 'unknown' };
const ANY: StreamSoftware = { type: 'any' };
const BEGINS: StreamSoftware = { type: 'begins' };

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
  const ids = pool.candidates({ bounds: { software } }, now).map(({ id }) => id);
  assert.equal(pool.hasOpenServer(undefined, now, { software }), ids.length > 0);
  return ids.join(' ');
}

// Guards against a stream that goes on at another software version than the one that began it.
describe('the servers at which a stream may go on', () => {
  const both = [server('a', 'v1'), server('b', 'v1'), server('c', 'v2')];
  const single = both.slice(0, 2);
  const cases: { name: string; servers: BackendServer[]; software: StreamSoftware; ids: string }[] =
    [
      { name: 'a request of no stream, two versions', servers: both, software: ANY, ids: 'a b c' },
      { name: 'a new stream, two versions', servers: both, software: BEGINS, ids: 'a b c' },
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
    const pool = createPool({ software: { seen: seenSoftware } });
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

// Guards against two versions that count as one after the list has not changed for a minute, so that instances share
// no records of streams any more.
test('a listed version counts however long ago the list changed', () => {
  const seen = new SeenSoftware();
  seen.list('llm', ['v1', 'v2'], 0);
  assert.deepEqual(seen.versionsOf('llm', 10_000_000), ['v1', 'v2']);
  seen.list('llm', ['v2'], 10_000_000);
  assert.deepEqual(seen.versionsOf('llm', 10_060_000), ['v2', 'v1']);
  assert.deepEqual(seen.versionsOf('llm', 10_060_001), ['v2']);
});

// Guards against a stream that begins or goes on at a server whose listed version is that of its process before.
describe('a server at which another process than the listed one was found', () => {
  const old = server('a', 'v1', 7);
  const others = [server('b', 'v1', 7), server('c', 'v2', 7)];
  const cases: { name: string; now: number; listed: BackendServer; old: string; begins: string }[] =
    [
      { name: 'is left out at once', now: 1_000, listed: old, old: 'b', begins: 'b c' },
      {
        name: 'is left out while a new entry may be on its way',
        now: 1_000 + MAX_ENTRY_DELAY_MS - 1,
        listed: old,
        old: 'b',
        begins: 'b c',
      },
      {
        name: 'may be asked again after that',
        now: 1_000 + MAX_ENTRY_DELAY_MS,
        listed: old,
        old: 'a b',
        begins: 'a b c',
      },
      {
        name: 'is used at once when its next process is listed',
        now: 1_100,
        listed: server('a', 'v1', 8),
        old: 'b a',
        begins: 'b c a',
      },
      {
        name: 'is used at the version of its next process',
        now: 1_100,
        listed: server('a', 'v2', 8),
        old: 'b',
        begins: 'b c a',
      },
    ];
  for (const { name, now, listed, old: idsForOld, begins } of cases) {
    test(name, () => {
      const pool = createPool();
      pool.applyList([old, ...others], 0);
      pool.recordReplaced(old, 1_000);
      pool.applyList([...others, listed], 1_100);
      const sorted = (ids: string): string[] => ids.split(' ').toSorted();
      assert.deepEqual(sorted(idsFor(pool, OLD, now)), sorted(idsForOld));
      assert.deepEqual(sorted(idsFor(pool, BEGINS, now)), sorted(begins));
      assert.equal(idsFor(pool, ANY, now).split(' ').length, 3);
    });
  }

  test('does not count for a process that was listed meanwhile', () => {
    const pool = createPool();
    pool.applyList([server('a', 'v1', 8)], 0);
    pool.recordReplaced(old, 1_000);
    assert.equal(idsFor(pool, OLD, 1_000), 'a');
  });

  test('is left out for an unknown stream too', () => {
    const pool = createPool();
    pool.applyList([old, server('b', 'v1', 7)], 0);
    pool.recordReplaced(old, 1_000);
    assert.equal(idsFor(pool, UNKNOWN, 1_000), 'b');
  });
});
