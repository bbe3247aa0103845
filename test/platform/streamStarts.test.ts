import type { TestContext } from 'node:test';
import type { World } from './world.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { softwareOf } from './fakeServer.js';
import {
  NEW,
  OLD,
  STREAMS,
  beginStreams,
  begunAt,
  behave,
  joinAll,
  joinedOf,
  nameStarts,
  startWorld,
  takeUpAll,
} from './streamWorld.js';

/** Starts an instance whose list names a version that the process of `e1` no longer runs. */
async function startOutdated(t: TestContext): Promise<World> {
  const world = await startWorld(t, [OLD]);
  await nameStarts(world);
  const restarted = world.server('e1');
  restarted.statesStart = false;
  await restarted.restartAs(NEW);
  return world;
}

// Guards against streams joined from two software versions, because a process that names no start is taken for the
// listed one.
describe('a server that came back as another version, and names no start in its state', () => {
  test('its stream does not go on elsewhere in the same answer', async (t) => {
    const world = await startOutdated(t);
    behave(world, 'break-stream');
    const answers = await Promise.all(
      Array.from({ length: STREAMS }, (_, at) =>
        world.generate(`/saga/${String(at)}`, 1_000, { 'x-prompt-prefix': `${String(at)}:100` }),
      ),
    );
    const versions = answers.map(({ body }) => softwareOf(body).join(' and '));
    assert.deepEqual([...new Set(versions)].toSorted(), [OLD, NEW]);
  });

  test('its stream does not go on elsewhere in a later try', async (t) => {
    const world = await startOutdated(t);
    const [, other = world] = await joinAll(t, world, ['edge-2', 'edge-3']);
    const begun = begunAt(await beginStreams(world), NEW);
    const sameInstance = await takeUpAll(world, begun);
    await world.stop();
    const otherInstance = await takeUpAll(other, begun);
    for (const tries of [sameInstance, otherInstance]) {
      assert.deepEqual(joinedOf(tries), []);
      assert.deepEqual([...new Set(tries.map(({ answer }) => answer.status))], [503]);
    }
  });

  test('no stream goes on there that nobody knows', async (t) => {
    const world = await startOutdated(t);
    behave(world, 'stream');
    const tries = await takeUpAll(
      world,
      Array.from({ length: STREAMS }, (_, at) => {
        return { id: `unknown-${String(at)}`, path: `/tale/${String(at)}`, software: OLD };
      }),
    );
    assert.deepEqual(joinedOf(tries), []);
  });
});
