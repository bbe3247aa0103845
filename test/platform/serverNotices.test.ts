import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import { describe, test } from 'node:test';
import { World, until } from './world.js';

const PAUSE_SECONDS = '2';
const PAUSE_MS = 2_000;
/** Maximum number of requests that may reach a server during its pause. */
const MAX_REQUESTS_IN_PAUSE = 0;

// Guards against requests sent to a server seconds after it announced that it is leaving. They fail when it
// ends.
describe('a server that announces in an answer that it is leaving gets no new requests', () => {
  const cases = [
    { name: 'announced with an answer', behaviour: 'answer' },
    { name: 'announced with a failure', behaviour: 'error' },
    { name: 'announced with a rejected request', behaviour: 'shed' },
  ] as const;
  for (const { name, behaviour } of cases) {
    test(`leaving server ${name}`, async (t) => {
      const world = await World.start(t);
      const server = world.server('p1');
      server.behaviour = behaviour;
      server.saysLeaving = true;
      await until('announced', async () => {
        await world.call({ path: '/look/1', method: 'GET' });
        return server.seen.length > 0;
      });
      // its entry expires and is written again, as during an outage of the store.
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
    await until('announced', async () => {
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

// Guards against a server that sheds load and, because its rejections are the fastest answers, attracts the
// next requests, so that their callers are refused.
describe('a server that rejected a request and asked for a pause', () => {
  test('gets no requests during the pause, and callers are served by other servers', async (t) => {
    const world = await World.start(t);
    const server = world.server('p1');
    server.behaviour = 'shed';
    server.rest = PAUSE_SECONDS;
    await until('announced', async () => {
      await world.call({ path: '/look/1', method: 'GET' });
      return server.seen.length > 0;
    });
    const end = (server.seen[0]?.at ?? 0) + PAUSE_MS;
    while (performance.now() < end) {
      const answer = await world.call({ path: '/look/1', method: 'GET' });
      assert.equal(answer.status, 200);
    }
    const inPause = server.seen.slice(1).filter(({ at }) => at < end).length;
    assert.ok(inPause <= MAX_REQUESTS_IN_PAUSE, `${String(inPause)} requests during the pause`);
    server.behaviour = 'answer';
    await until('back', async () => {
      await world.call({ path: '/look/1', method: 'GET' });
      return server.seen.some(({ ran }) => ran);
    });
  });

  test('if all servers pause, callers are refused with the time until the first pause ends', async (t) => {
    const world = await World.start(t);
    world.behave('p', 'shed');
    for (const id of ['p1', 'p2']) world.server(id).rest = PAUSE_SECONDS;
    await until('all pause', async () => {
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
