import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import { describe, test } from 'node:test';
import { World, until } from './world.js';

const REST_SECONDS = '2';
const REST_MS = 2_000;
/** Requests that may reach a server in its rest; none should. */
const MOST_IN_REST = 0;

// Requests reach a server seconds after its own answer said that it leaves; they fail when it ends.
describe('a server that says in an answer that it leaves gets no new work', () => {
  const cases = [
    { name: 'told with an answer', behaviour: 'answer' },
    { name: 'told with a failure', behaviour: 'error' },
    { name: 'told with a request turned away', behaviour: 'shed' },
  ] as const;
  for (const { name, behaviour } of cases) {
    test(`leaving server ${name}`, async (t) => {
      const world = await World.start(t);
      const server = world.server('p1');
      server.behaviour = behaviour;
      server.saysLeaving = true;
      await until('told', async () => {
        await world.call({ path: '/look/1', method: 'GET' });
        return server.seen.length > 0;
      });
      // its entry lapses and comes back, as while the store is away.
      world.store.remove('servers', 'p1');
      await delay(400);
      world.store.put('servers', 'p1', server.entry('ledger'));
      await delay(400);
      const before = server.seen.length;
      for (let n = 0; n < 20; n += 1) {
        const answer = await world.call({ path: '/look/1', method: 'GET' });
        assert.equal(answer.status, 200);
      }
      assert.equal(server.seen.length, before);
    });
  }

  test('leaving server until it is started again', async (t) => {
    const world = await World.start(t);
    const server = world.server('p1');
    world.store.put('servers', 'p1', server.entry('ledger', { born: 500 }));
    await delay(400);
    server.saysLeaving = true;
    await until('told', async () => {
      await world.call({ path: '/look/1', method: 'GET' });
      return server.seen.length > 0;
    });
    server.saysLeaving = false;
    world.store.put('servers', 'p1', server.entry('ledger', { born: 1_000 }));
    const before = server.seen.length;
    await until('used again', async () => {
      await world.call({ path: '/look/1', method: 'GET' });
      return server.seen.length > before;
    });
  });
});

// A server that sheds load answers fastest, draws the next requests, and their callers are refused.
describe('a server that turned a request away and asked for rest', () => {
  test('resting server gets nothing in its rest, and callers are served elsewhere', async (t) => {
    const world = await World.start(t);
    const server = world.server('p1');
    server.behaviour = 'shed';
    server.rest = REST_SECONDS;
    await until('told', async () => {
      await world.call({ path: '/look/1', method: 'GET' });
      return server.seen.length > 0;
    });
    const end = (server.seen[0]?.at ?? 0) + REST_MS;
    while (performance.now() < end) {
      const answer = await world.call({ path: '/look/1', method: 'GET' });
      assert.equal(answer.status, 200);
    }
    const inRest = server.seen.slice(1).filter(({ at }) => at < end).length;
    assert.ok(inRest <= MOST_IN_REST, `${String(inRest)} came`);
    server.behaviour = 'answer';
    await until('back', async () => {
      await world.call({ path: '/look/1', method: 'GET' });
      return server.seen.some(({ ran }) => ran);
    });
  });

  test('callers are told when the first of all resting servers is back', async (t) => {
    const world = await World.start(t);
    world.behave('p', 'shed');
    for (const id of ['p1', 'p2']) world.server(id).rest = REST_SECONDS;
    await until('all rest', async () => {
      await world.call({ path: '/look/1', method: 'GET' });
      return world.seen('p').length >= 2;
    });
    const before = world.seen('p').length;
    const answer = await world.call({ path: '/look/1', method: 'GET' });
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 1, 'not before a server is back');
    assert.equal(world.seen('p').length, before);
  });
});
