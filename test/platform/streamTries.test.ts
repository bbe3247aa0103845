import type { CutMode } from '../../packages/lab/src/node/link/index.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import {
  NEW,
  OLD,
  STREAMS,
  beginStreams,
  behave,
  joinAll,
  joinBehindLink,
  joinedOf,
  startWorld,
  takeUp,
  takeUpAll,
  wentOn,
} from './streamWorld.js';

/** Milliseconds in which what an instance knows of its streams must have reached its peers. */
const RECORDED_MS = 300;

// Guards against a caller's later try that goes on at another software version than its stream began at.
describe(
  'a stream that a caller takes up again while two software versions serve',
  { concurrency: 2 },
  () => {
    test('goes on at its version, at the same instance', async (t) => {
      const world = await startWorld(t, [OLD, NEW]);
      const tries = await takeUpAll(world, await beginStreams(world));
      assert.deepEqual(joinedOf(tries), []);
      assert.equal(wentOn(tries).length, STREAMS);
    });

    test('goes on at its version, at another instance', async (t) => {
      const world = await startWorld(t, [OLD, NEW]);
      const [, other = world] = await joinAll(t, world, ['edge-2', 'edge-3', 'edge-4']);
      const tries = await takeUpAll(other, await beginStreams(world));
      assert.deepEqual(joinedOf(tries), []);
      assert.equal(wentOn(tries).length, STREAMS);
    });

    test('goes on at its version after its instance stopped', async (t) => {
      const world = await startWorld(t, [OLD, NEW]);
      const [, other = world] = await joinAll(t, world, ['edge-2', 'edge-3', 'edge-4']);
      const begun = await beginStreams(world);
      await world.stop();
      const tries = await takeUpAll(other, begun);
      assert.deepEqual(joinedOf(tries), []);
      assert.equal(wentOn(tries).length, STREAMS);
    });

    const losses: { name: string; mode: CutMode }[] = [
      { name: 'was cut off from its peers', mode: 'silent' },
      { name: 'was killed', mode: 'reset' },
    ];
    for (const { name, mode } of losses) {
      test(`goes on at its version after its instance ${name}`, async (t) => {
        const world = await startWorld(t, [OLD, NEW]);
        const { peers, loseFirst } = await joinBehindLink(t, world, ['edge-2', 'edge-3', 'edge-4']);
        const begun = await beginStreams(world);
        await delay(RECORDED_MS);
        loseFirst(mode);
        const tries = await takeUpAll(peers[0] ?? world, begun);
        assert.deepEqual(joinedOf(tries), []);
        assert.equal(wentOn(tries).length, STREAMS);
      });
    }

    test('goes on at its version in a chain of tries over three instances', async (t) => {
      const world = await startWorld(t, [OLD, NEW]);
      const [, second = world, third = world] = await joinAll(t, world, ['edge-2', 'edge-3']);
      const begun = await beginStreams(world);
      behave(world, 'break-stream');
      const between = await takeUpAll(second, begun);
      assert.deepEqual(joinedOf(between), []);
      behave(world, 'stream');
      const named = await Promise.all(begun.map((s) => takeUp(third, s, { 'last-event-id': '2' })));
      assert.deepEqual(joinedOf(named), []);
      assert.equal(wentOn(named).length, STREAMS);
    });
  },
);
