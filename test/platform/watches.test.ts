import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import { describe, test } from 'node:test';
import { World, configWith, until } from './world.js';

describe('the configuration', () => {
  test('that is newer is applied, an older or invalid one never', async (t) => {
    const world = await World.start(t);
    world.store.put('config', 'main', configWith({ version: 12, routes: [] }));
    await until('in force', async () => (await world.call({ path: '/look/1' })).status === 404);
    world.store.put('config', 'main', configWith({ version: 8 }));
    world.store.put('config', 'main', { version: 'none' });
    await until('refused', () =>
      world.log.events.some(({ event: name }) => name === 'configuration-invalid'),
    );
    assert.equal((await world.call({ path: '/look/1' })).status, 404);
  });

  // Guards against a permanent refusal of a new key by an instance that was cut off when the key was added.
  test('that may be outdated causes no permanent refusal', async (t) => {
    const world = await World.start(t);
    world.store.fault = 'silent';
    await until('outdated', async () => {
      const answer = await world.call({ path: '/look/1', headers: { authorization: 'Token new' } });
      return answer.status === 503 && answer.headers['retry-after'] !== undefined;
    });
  });
});

describe('the list of servers', () => {
  // Guards against one call per instance for each change when a hundred servers start or report a new state
  // within seconds.
  test('is requested once for changes that occur together', async (t) => {
    const world = await World.start(t);
    const calls = (): number => world.store.calls.filter((kind) => kind === 'servers').length;
    const server = world.server('p1');
    const before = calls();
    const since = performance.now();
    for (let slots = 11; slots <= 20; slots += 1) {
      world.store.put('servers', 'p1', server.entry('ledger', { slots }));
      await delay(15);
    }
    world.store.remove('servers', 'p2');
    await until('all are known', () =>
      world.log.events.some(({ event: name, fields }) => {
        return name === 'servers-changed' && fields.servers === 3;
      }),
    );
    // one call per quarter of a second, plus the calls in flight at the start and the end.
    const most = 4 + (performance.now() - since) / 250;
    assert.ok(calls() - before <= most, `${String(calls() - before)} calls for eleven changes`);
  });

  test('without a usable server of a service refuses its requests', async (t) => {
    const world = await World.start(t);
    world.store.put('servers', 'p1', world.server('p1').entry('ledger', { state: 'draining' }));
    world.store.put('servers', 'p2', { service: 'ledger', address: 7 });
    world.store.put('servers', 'p3', 'not an entry');
    world.store.put('servers', 'p4', undefined);
    await until('leaving', async () => (await world.call({ path: '/look/1' })).status === 503);
    assert.equal((await world.generate('/chat/1')).status, 200, 'the others hold');
  });

  // Guards against refusing all requests after an outage of the store, because the entries of running servers
  // had expired.
  test('that expired during an outage is trusted only after the servers could write again', async (t) => {
    const world = await World.start(t);
    world.store.fault = 'silent';
    // a long poll that started before the outage may be answered half a second into it.
    await delay(4_000);
    for (const { id } of world.servers) world.store.remove('servers', id);
    world.store.fault = 'none';
    await until('back', () =>
      world.log.events.some(({ event: name, fields }) => {
        return name === 'store-regained' && fields.watch === 'directory';
      }),
    );
    assert.equal((await world.call({ path: '/look/1' })).status, 200);
    await until('gone', async () => (await world.call({ path: '/look/1' })).status === 503);
  });

  // Guards against sending requests to a server that left while this instance was cut off from the store.
  test('that lost a server during an outage is checked with a probe of the server', async (t) => {
    const world = await World.start(t);
    world.store.fault = 'silent';
    await delay(4_000);
    world.server('p1').leaving = true;
    for (const id of ['p1', 'p2']) world.store.remove('servers', id);
    world.store.fault = 'none';
    const ends = (): unknown[] =>
      world.log.events
        .filter(({ event: name }) => name === 'server-kept-ended')
        .map(({ fields }) => ({ server: fields.server, why: fields.why }));
    await until('p1 was asked', () => ends().length > 0);
    assert.deepEqual(ends(), [{ server: 'p1', why: 'it is leaving' }]);
    const before = world.server('p1').seen.length;
    for (let n = 0; n < 10; n += 1) await world.call({ path: `/look/${String(n)}` });
    assert.equal(world.server('p1').seen.length, before);
  });

  test('is read again when the history of its changes is gone', async (t) => {
    const world = await World.start(t);
    world.store.fault = 'history-gone';
    await delay(1_000);
    world.store.put('servers', 'p1', world.server('p1').entry('ledger', { state: 'draining' }));
    world.store.fault = 'none';
    await until('p1 is left', async () => {
      await world.call({ path: '/look/1', method: 'GET' });
      return (
        world.seen('p').length > 0 &&
        (await world.call({ path: '/look/2', method: 'GET' })).body === 'from p2'
      );
    });
  });
});

describe('new settings', () => {
  // Guards against restarts, and broken calls, for each changed setting.
  test('are applied while requests run, and settings that need a restart are named', async (t) => {
    const world = await World.start(t);
    const running = world.call({ path: '/book/1' });
    assert.ok(world.settings);
    const next = { ...world.settings, stopGraceMs: 3_000, dataCentre: 'hall-b' };
    assert.deepEqual(world.reload(next), ['dataCentre']);
    assert.equal((await running).status, 200);
  });
});
