import type { Answer, World } from './world.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { softwareOf } from './fakeServer.js';
import {
  NEW,
  OLD,
  STREAMS,
  addEngine,
  beginStreams,
  behave,
  joinAll,
  joinedOf,
  nameStarts,
  startWorld,
  takeUpAll,
  untilListed,
  wentOn,
} from './streamWorld.js';

/** Sends streams that may go on in one answer, to engines that all break them off. */
async function breakAll(world: World): Promise<Answer[]> {
  behave(world, 'break-stream');
  return Promise.all(
    Array.from({ length: STREAMS }, (_, at) =>
      world.generate(`/saga/${String(at)}`, 1_000, { 'x-prompt-prefix': `${String(at)}:100` }),
    ),
  );
}

// Guards against an answer whose events come from two software versions, which don't fit together.
describe('a stream that goes on in one answer while two software versions serve', () => {
  test('goes on at the version that began it', async (t) => {
    const world = await startWorld(t, [OLD, NEW]);
    const answers = await breakAll(world);
    const versions = answers.map(({ body }) => softwareOf(body).join(' and '));
    assert.deepEqual([...new Set(versions)].toSorted(), [OLD, NEW]);
    const twoEvents = answers.filter(({ body }) => body.split('\n\n').length === 3);
    assert.equal(twoEvents.length, STREAMS);
  });

  test('does not go on at another version when no other server of its version is left', async (t) => {
    const world = await startWorld(t, [OLD, NEW]);
    for (const id of ['e2', `${NEW}-b`]) world.store.remove('servers', id);
    await untilListed([world]);
    const answers = await breakAll(world);
    const versions = answers.map(({ body }) => softwareOf(body).join(' and '));
    assert.deepEqual([...new Set(versions)].toSorted(), [OLD, NEW]);
  });
});

// Guards against streams that wait for a server which is silent, each for as long as its process is asked.
test('a new stream goes elsewhere if the process of its server does not answer', async (t) => {
  const world = await startWorld(t, [OLD, NEW]);
  await nameStarts(world);
  behave(world, 'stream');
  const silent = world.server('e1');
  silent.behaviour = 'silent';
  const answers: Answer[] = [];
  for (let round = 0; round < STREAMS; round += 1) {
    answers.push(await world.generate(`/tale/${String(round)}`, 1_000));
  }
  assert.ok(answers.every(({ status, complete }) => status === 200 && complete));
  assert.equal(silent.seen.length, 0);
  assert.ok(silent.stateRequests <= 2, `asked ${String(silent.stateRequests)} times`);
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
