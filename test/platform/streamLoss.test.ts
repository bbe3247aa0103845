import type { TestContext } from 'node:test';
import type { BegunStream, LaterTry } from './streamWorld.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  NEW,
  OLD,
  STREAMS,
  assertRefused,
  beginStreams,
  begunAt,
  joinedOf,
  resumedArrivals,
  startWorld,
  takeUpAll,
  untilListed,
  wentOn,
} from './streamWorld.js';
import type { World } from './world.js';

/** Ends all instances, so that nobody has a record of a stream, and starts a new one. */
async function loseAll(t: TestContext, world: World): Promise<World> {
  await world.stop();
  const fresh = await world.join(t, 'edge-9', { mesh: true });
  await untilListed([fresh]);
  return fresh;
}

async function takeUpAfterLoss(
  t: TestContext,
  world: World,
  begun: readonly BegunStream[],
): Promise<LaterTry[]> {
  return takeUpAll(await loseAll(t, world), begun);
}

// Guards against streams that go on at another software version because no process is left that saw theirs.
describe('a stream whose instances were all lost', () => {
  test('is refused if its version has just left', async (t) => {
    const world = await startWorld(t, [OLD, NEW]);
    const begun = begunAt(await beginStreams(world), OLD);
    for (const id of ['e1', 'e2']) world.store.remove('servers', id);
    await untilListed([world]);
    const tries = await takeUpAfterLoss(t, world, begun);
    assert.deepEqual(joinedOf(tries), []);
    assertRefused(tries);
    assert.deepEqual(resumedArrivals(world), []);
  });

  test('is refused if its version left while no instance ran', async (t) => {
    const world = await startWorld(t, [OLD, NEW]);
    const begun = begunAt(await beginStreams(world), OLD);
    await world.stop();
    for (const id of ['e1', 'e2']) world.store.remove('servers', id);
    assertRefused(await takeUpAfterLoss(t, world, begun));
  });

  test('is refused if a second loss follows the first', async (t) => {
    const world = await startWorld(t, [OLD, NEW]);
    const begun = begunAt(await beginStreams(world), OLD);
    for (const id of ['e1', 'e2']) world.store.remove('servers', id);
    const between = await loseAll(t, world);
    assertRefused(await takeUpAfterLoss(t, between, begun));
  });

  test('goes on at once where one version has served throughout', async (t) => {
    const world = await startWorld(t, [OLD]);
    const begun = await beginStreams(world);
    const tries = await takeUpAfterLoss(t, world, begun);
    assert.equal(wentOn(tries).length, STREAMS);
    assert.deepEqual(joinedOf(tries), []);
  });

  test('goes on mostly while both versions serve', async (t) => {
    const world = await startWorld(t, [OLD, NEW]);
    const begun = await beginStreams(world);
    const tries = await takeUpAfterLoss(t, world, begun);
    assert.deepEqual(joinedOf(tries), []);
    assert.ok(wentOn(tries).length * 2 >= STREAMS, `${String(wentOn(tries).length)} went on`);
  });
});
