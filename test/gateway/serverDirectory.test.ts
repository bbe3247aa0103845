import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DirectoryWorld } from './directoryWorld.js';

/** Milliseconds after the end of its own cut from which an instance has to keep its bounds again. */
const IN_TOUCH_MS = 3_000;
/** Milliseconds for which a server that leaves goes on serving. */
const STILL_SERVES_MS = 2_000;

// Requests go to servers that have left: an instance that was cut off took each missing entry for one that had lapsed.
const leavings: readonly {
  name: string;
  cutEndsAt: number;
  leftAt: number;
  /** When the directory hears the store again, and how it is told. */
  backAt: number;
  told: 'listed' | 'removed';
}[] = [
  {
    name: 'after the cut and before the list is read',
    cutEndsAt: 3_600,
    leftAt: 4_500,
    backAt: 4_640,
    told: 'listed',
  },
  { name: 'during the cut', cutEndsAt: 3_600, leftAt: 3_000, backAt: 5_140, told: 'listed' },
  {
    name: 'while the list is known again',
    cutEndsAt: 3_600,
    leftAt: 4_700,
    backAt: 4_640,
    told: 'removed',
  },
];

for (const { name, cutEndsAt, leftAt, backAt, told } of leavings) {
  test(`a server that leaves ${name} gets no work`, async (t) => {
    const world = DirectoryWorld.start(t, ['p1', 'p2']);
    world.leave('p1', leftAt);
    await world.runTo(2_400);
    world.lose();
    await world.runTo(backAt);
    world.list(told === 'listed' ? ['p2'] : ['p1', 'p2']);
    await world.runTo(Math.max(backAt, leftAt));
    if (told === 'removed') world.remove('p1');
    const boundAt = Math.max(cutEndsAt + IN_TOUCH_MS, leftAt + STILL_SERVES_MS);
    await world.runTo(10_000, () => {
      if (world.now <= boundAt) return;
      assert.ok(!world.used.includes('p1'), `used ${String(world.now - leftAt)} ms after`);
    });
    assert.deepEqual(world.used, ['p2']);
  });
}

// all callers are refused after an outage of the store: the entries of servers that live had lapsed.
test('servers whose entries lapsed are used until they had time to write them again', async (t) => {
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
