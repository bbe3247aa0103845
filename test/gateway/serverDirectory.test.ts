import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DirectoryWorld } from './directoryWorld.js';

/**
 * Milliseconds after the end of its partition from which an instance has to meet its limits again.
 */
const RECOVERY_MS = 3_000;
/** Milliseconds for which a leaving server keeps serving. */
const STILL_SERVES_MS = 2_000;

// Guards against requests to servers that have left: an instance that was partitioned took every
// missing entry for one that had expired.
const cases: readonly {
  name: string;
  partitionEndsAt: number;
  leftAt: number;
  /** When the directory has contact to the store again, and the event that reports the leaving. */
  backAt: number;
  event: 'listed' | 'removed';
}[] = [
  {
    name: 'after the partition and before the list is read',
    partitionEndsAt: 3_600,
    leftAt: 4_500,
    backAt: 4_640,
    event: 'listed',
  },
  {
    name: 'during the partition',
    partitionEndsAt: 3_600,
    leftAt: 3_000,
    backAt: 5_140,
    event: 'listed',
  },
  {
    name: 'after the list is read again',
    partitionEndsAt: 3_600,
    leftAt: 4_700,
    backAt: 4_640,
    event: 'removed',
  },
];

for (const { name, partitionEndsAt, leftAt, backAt, event } of cases) {
  test(`a server that leaves ${name} gets no requests`, async (t) => {
    const world = DirectoryWorld.start(t, ['p1', 'p2']);
    world.leave('p1', leftAt);
    await world.runTo(2_400);
    world.lose();
    await world.runTo(backAt);
    world.list(event === 'listed' ? ['p2'] : ['p1', 'p2']);
    await world.runTo(Math.max(backAt, leftAt));
    if (event === 'removed') world.remove('p1');
    const boundAt = Math.max(partitionEndsAt + RECOVERY_MS, leftAt + STILL_SERVES_MS);
    await world.runTo(10_000, () => {
      if (world.now <= boundAt) return;
      assert.ok(!world.used.includes('p1'), `used ${String(world.now - leftAt)} ms after`);
    });
    assert.deepEqual(world.used, ['p2']);
  });
}

// guards against refusing all callers after an outage of the store, when entries of live servers
// have expired.
test('servers whose entries expired are used until they had time to rewrite them', async (t) => {
  const world = DirectoryWorld.start(t, ['p1', 'p2']);
  await world.runTo(2_400);
  world.lose();
  await world.runTo(6_000);
  world.list([]);
  await world.runTo(7_900);
  assert.deepEqual(world.used, ['p1', 'p2']);
  world.list(['p1']);
  await world.runTo(10_000);
  assert.deepEqual(world.used, ['p1']);
});

// Guards against a part of the process that fails at a list and keeps all others from this list and later ones.
test('a list reaches all parts of the process although one of them fails', (t) => {
  const world = DirectoryWorld.start(t, ['p1', 'p2']);
  const heard: string[] = [];
  world.onChange(() => {
    throw new TypeError('Invalid URL');
  });
  world.onChange((ids) => heard.push(ids.join()));
  world.list(['p1', 'p2', 'p3']);
  world.list(['p1', 'p2', 'p3', 'p4']);
  assert.deepEqual(heard, ['p1,p2,p3', 'p1,p2,p3,p4']);
  assert.deepEqual(world.failures.map(String), Array(2).fill('TypeError: Invalid URL'));
});

// Guards against a health check that ends the process: nothing handled its rejection.
test('a health check that throws is logged, and the server is kept as before', async (t) => {
  const world = DirectoryWorld.start(t, ['p1', 'p2']);
  world.breakChecks(new TypeError('invalid character in header'));
  world.lose();
  await world.runTo(2_400);
  world.list(['p2']);
  await world.runTo(3_000);
  assert.deepEqual(world.used, ['p1', 'p2']);
  const failed = world.log.events.filter(({ event }) => event === 'service-failed');
  assert.ok(failed.length > 0);
  assert.ok(failed.every(({ fields }) => fields.service === 'directory'));
});
