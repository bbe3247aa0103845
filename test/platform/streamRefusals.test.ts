import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { softwareOf } from './fakeServer.js';
import {
  NEW,
  OLD,
  assertRefused,
  beginStreams,
  begunAt,
  behave,
  joinAll,
  joinedOf,
  nameStarts,
  resumedArrivals,
  startWorld,
  takeUp,
  takeUpAll,
  untilKnows,
  untilListed,
  wentOn,
} from './streamWorld.js';
import { until } from './world.js';

// Guards against a later try that goes on where its stream cannot go on, or is refused late or untruly.
describe('a stream that cannot go on at its software version', { concurrency: 2 }, () => {
  test('is refused at once when its version is gone', async (t) => {
    const world = await startWorld(t, [OLD, NEW]);
    const [, other = world] = await joinAll(t, world, ['edge-2', 'edge-3']);
    const begun = begunAt(await beginStreams(world), OLD);
    for (const id of ['e1', 'e2']) world.store.remove('servers', id);
    await untilListed([world, other]);
    for (const instance of [world, other]) assertRefused(await takeUpAll(instance, begun));
    assert.deepEqual(resumedArrivals(world), []);
  });

  test('is refused by an instance that started after its version was gone', async (t) => {
    const world = await startWorld(t, [OLD, NEW]);
    const [, other = world] = await joinAll(t, world, ['edge-2']);
    const begun = begunAt(await beginStreams(world), OLD);
    for (const id of ['e1', 'e2']) world.store.remove('servers', id);
    await untilListed([world, other]);
    const fresh = await world.join(t, 'edge-9', { mesh: true });
    await untilKnows(fresh, 3);
    assertRefused(await takeUpAll(fresh, begun));
    assert.deepEqual(resumedArrivals(world), []);
  });

  test('is refused while the list still names the version that its server no longer runs', async (t) => {
    const world = await startWorld(t, [OLD, NEW]);
    world.store.remove('servers', 'e2');
    await nameStarts(world);
    const begun = begunAt(await beginStreams(world), OLD);
    await world.server('e1').restartAs(NEW);
    const tries = await takeUpAll(world, begun);
    assert.deepEqual(joinedOf(tries), []);
  });

  test('is refused by an instance that never used the server which came back as another version', async (t) => {
    const world = await startWorld(t, [OLD, NEW]);
    world.store.remove('servers', 'e2');
    await nameStarts(world);
    const [, other = world] = await joinAll(t, world, ['edge-2']);
    const begun = begunAt(await beginStreams(world), OLD);
    await world.server('e1').restartAs(NEW);
    const tries = await takeUpAll(other, begun);
    assert.deepEqual(joinedOf(tries), []);
    assertRefused(tries);
    assert.deepEqual(resumedArrivals(world), []);
  });

  test('is not joined if it began at a server which came back as another version', async (t) => {
    const world = await startWorld(t, [OLD, NEW]);
    await nameStarts(world);
    const [, other = world] = await joinAll(t, world, ['edge-2']);
    await world.server('e1').restartAs(NEW);
    const begun = await beginStreams(other);
    for (const instance of [other, world]) {
      assert.deepEqual(joinedOf(await takeUpAll(instance, begun)), []);
    }
  });

  test('is refused after its server came back under its id with another version', async (t) => {
    const world = await startWorld(t, [OLD, NEW]);
    world.store.remove('servers', 'e2');
    await untilListed([world]);
    const begun = begunAt(await beginStreams(world), OLD);
    const server = world.server('e1');
    await server.restartAs(NEW);
    const version = String(world.store.put('servers', 'e1', server.entry('llm')));
    await until('the entry was read', () =>
      world.log.events.some(({ event, fields }) => {
        return event === 'servers-changed' && fields.version === version;
      }),
    );
    assertRefused(await takeUpAll(world, begun));
  });

  test('is refused by an instance that can ask nobody', async (t) => {
    const world = await startWorld(t, [OLD, NEW]);
    const alone = await world.join(t, 'edge-2', { dataCentre: 'hall-b' });
    await untilListed([world, alone]);
    const begun = await beginStreams(world);
    await world.stop();
    assertRefused(await takeUpAll(alone, begun));
    assert.deepEqual(resumedArrivals(world), []);
  });

  test('is refused if nobody knows it', async (t) => {
    const world = await startWorld(t, [OLD, NEW]);
    await joinAll(t, world, ['edge-2']);
    behave(world, 'stream');
    const unknown = { id: 'never-seen', path: '/tale/1', software: OLD };
    assertRefused([await takeUp(world, unknown)]);
    assertRefused([await takeUp(world, { ...unknown, id: '' })]);
    assert.deepEqual(resumedArrivals(world), []);
  });

  test('is unknown to another client account', async (t) => {
    const world = await startWorld(t, [OLD, NEW]);
    const [, other = world] = await joinAll(t, world, ['edge-2']);
    const [stream] = await beginStreams(world, 1);
    assert.ok(stream);
    const foreign = { authorization: 'Token key-of-spock' };
    assertRefused([await takeUp(world, stream, foreign), await takeUp(other, stream, foreign)]);
    assert.equal(wentOn([await takeUp(other, stream)]).length, 1);
  });

  test('is refused if two streams began under its id at different versions', async (t) => {
    const world = await startWorld(t, [OLD, NEW]);
    const begun = await beginStreams(world);
    const [old] = begunAt(begun, OLD);
    assert.ok(old);
    behave(world, 'break-stream');
    for (const id of ['e1', 'e2']) world.server(id).behaviour = 'shed';
    const again = await world.generate('/tale/x', 1_000, { 'x-request-id': old.id });
    assert.deepEqual(softwareOf(again.body), [NEW]);
    behave(world, 'stream');
    assertRefused([await takeUp(world, old)]);
  });
});
