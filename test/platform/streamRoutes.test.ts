import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  NEW,
  OLD,
  STREAMS,
  addEngine,
  assertRefused,
  beginStreams,
  behave,
  joinAll,
  joinedOf,
  resumedArrivals,
  startWorld,
  storyConfig,
  takeUpAll,
  wentOn,
} from './streamWorld.js';
import { World, until } from './world.js';

// Guards against a stream that goes on at another service than the one that began it.
describe('a stream whose route leads to another service than before', () => {
  test('is refused at once if the route no longer allows its service', async (t) => {
    const world = await startWorld(t, [OLD]);
    await addEngine(t, world, 'b1', OLD, 'llm-b');
    const [, other = world] = await joinAll(t, world, ['edge-2']);
    const begun = await beginStreams(world);
    world.store.put('config', 'main', storyConfig(8, { service: 'llm-b' }));
    await until('the configuration is in force', () =>
      [world, other].every(({ log }) =>
        log.events.some(
          ({ event, fields }) => event === 'configuration-applied' && fields.version === 8,
        ),
      ),
    );
    for (const instance of [world, other]) assertRefused(await takeUpAll(instance, begun));
    assert.deepEqual(resumedArrivals(world), []);
  });

  test('goes on at its service if the route leads to several', async (t) => {
    const world = await startWorld(t, [OLD]);
    await addEngine(t, world, 'b1', NEW, 'llm-b');
    const [, other = world] = await joinAll(t, world, ['edge-2']);
    const split = [
      { service: 'llm', weight: 50 },
      { service: 'llm-b', weight: 50 },
    ];
    world.store.put('config', 'main', storyConfig(8, { service: undefined, traffic_split: split }));
    await until('the configuration is in force', () =>
      [world, other].every(({ log }) =>
        log.events.some(
          ({ event, fields }) => event === 'configuration-applied' && fields.version === 8,
        ),
      ),
    );
    const begun = await beginStreams(world);
    assert.deepEqual([...new Set(begun.map(({ software }) => software))].toSorted(), [OLD, NEW]);
    const tries = await takeUpAll(other, begun);
    assert.deepEqual(joinedOf(tries), []);
    assert.equal(wentOn(tries).length, STREAMS);
  });
});

// Guards against work for servers whose entry names no software version, as other writers may leave.
describe('an entry of the server list without a software version', () => {
  for (const version of [undefined, 7, null, ['v1']]) {
    test(`names no server: ${JSON.stringify(version)}`, async (t) => {
      const world = await World.start(t, storyConfig());
      const entry = world.server('e1').entry('llm', { version });
      world.store.put('servers', 'e1', entry);
      await until('the entry was read', () => world.events.includes('server-entry-invalid'));
      behave(world, 'stream');
      await Promise.all(
        Array.from({ length: STREAMS }, (_, at) =>
          world.generate('/tale/1', 1_000, { 'x-prompt-prefix': `${String(at)}:100` }),
        ),
      );
      assert.deepEqual(world.server('e1').seen, []);
    });
  }
});
