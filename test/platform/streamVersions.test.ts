import type { CutMode } from '../../packages/lab/src/node/link/index.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { softwareOf } from './fakeServer.js';
import {
  NEW,
  OLD,
  STREAMS,
  addEngine,
  beginStreams,
  behave,
  joinAll,
  joinBehindLink,
  joinedOf,
  startWorld,
  takeUp,
  takeUpAll,
  untilListed,
  wentOn,
} from './streamWorld.js';

/** Milliseconds in which what an instance knows of its streams must have reached its peers. */
const RECORDED_MS = 300;

// Guards against an answer whose events come from two software versions, which don't fit together.
describe('a stream that goes on in one answer while two software versions serve', () => {
  test('goes on at the version that began it', async (t) => {
    const world = await startWorld(t, [OLD, NEW]);
    behave(world, 'break-stream');
    const answers = await Promise.all(
      Array.from({ length: STREAMS }, (_, at) =>
        world.generate(`/saga/${String(at)}`, 1_000, { 'x-prompt-prefix': `${String(at)}:100` }),
      ),
    );
    const versions = answers.map(({ body }) => softwareOf(body).join(' and '));
    assert.deepEqual([...new Set(versions)].toSorted(), [OLD, NEW]);
    const twoEvents = answers.filter(({ body }) => body.split('\n\n').length === 3);
    assert.equal(twoEvents.length, STREAMS);
  });

  test('does not go on at another version when no other server of its version is left', async (t) => {
    const world = await startWorld(t, [OLD, NEW]);
    for (const id of ['e2', `${NEW}-b`]) world.store.remove('servers', id);
    await untilListed([world]);
    behave(world, 'break-stream');
    const answers = await Promise.all(
      Array.from({ length: STREAMS }, (_, at) =>
        world.generate(`/saga/${String(at)}`, 1_000, { 'x-prompt-prefix': `${String(at)}:100` }),
      ),
    );
    const versions = answers.map(({ body }) => softwareOf(body).join(' and '));
    assert.deepEqual([...new Set(versions)].toSorted(), [OLD, NEW]);
  });
});

// Guards against a caller's later try that goes on at another software version than its stream began at.
describe('a stream that a caller takes up again while two software versions serve', () => {
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
});

// Guards against refusals of streams that may go on anywhere.
describe('a stream that a caller takes up again while one software version serves', () => {
  test('goes on although nobody knows it', async (t) => {
    const world = await startWorld(t, [OLD]);
    await joinAll(t, world, ['edge-2']);
    behave(world, 'stream');
    const tries = await takeUpAll(
      world,
      Array.from({ length: STREAMS }, (_, at) => {
        return { id: `unknown-${String(at)}`, path: `/tale/${String(at)}`, software: OLD };
      }),
    );
    assert.equal(wentOn(tries).length, STREAMS);
  });

  test('goes on at the first version after a second one appeared', async (t) => {
    const world = await startWorld(t, [OLD]);
    const [, other = world] = await joinAll(t, world, ['edge-2', 'edge-3']);
    const begun = await beginStreams(world);
    await addEngine(t, world, `${NEW}-a`, NEW);
    await addEngine(t, world, `${NEW}-b`, NEW);
    await untilListed([world, other]);
    behave(world, 'stream');
    const tries = await takeUpAll(other, begun);
    assert.deepEqual(joinedOf(tries), []);
    assert.equal(wentOn(tries).length, STREAMS);
  });
});
