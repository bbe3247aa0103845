import type { PrepaidPage } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { FakeServer } from './fakeServer.js';
import { World, configWith, until } from './world.js';

/** Names under which every object inherits something. */
const INHERITED = ['constructor', '__proto__', 'toString', 'hasOwnProperty', 'valueOf'];
/** Requests that are sent under each name. */
const REQUESTS = 5;
/** Places of a plain route and of one with resumable streams in the configuration of the tests. */
const PLAIN = 0;
const DRAFT = 3;

// Guards against a name that is looked up among what every object inherits, and ends the process.
describe('names under which every object inherits something', { concurrency: 4 }, () => {
  for (const name of INHERITED) {
    test(`an account ${name} is served, and the others`, async (t) => {
      const world = await World.start(t);
      world.store.put('config', 'main', withAccounts(8, [name]));
      await until('the configuration is in force', () => {
        const last = world.log.events.findLast(({ event }) => event === 'configuration-applied');
        return last?.fields.version === 8;
      });
      await serves(world, { key: keyOf(name) });
      await serves(world);
      world.behave('e', 'stream');
      await world.generate('/chat/1', 1_000, { authorization: `Token ${keyOf(name)}` });
      await until('its spending is in the budget', () => {
        const page = world.store.value('prepaid-pages', '0') as PrepaidPage;
        return Object.entries(page.accounts).some(([id, { spent }]) => id === name && spent > 0);
      });
      assertUnharmed(world);
    });
  }

  test('accounts are served at two instances, of which one may borrow from the other', async (t) => {
    const config = withAccounts(7, INHERITED);
    const world = await World.start(t, config, { mesh: true });
    const other = await world.join(t, 'edge-2', { mesh: true });
    await world.allKnow([world, other]);
    for (const instance of [world, other]) {
      for (const name of INHERITED) await serves(instance, { key: keyOf(name) });
      await serves(instance);
      assertUnharmed(instance);
    }
  });

  test('services and routes are served, and the others', async (t) => {
    const world = await World.start(t, withServices(INHERITED));
    for (const [index, name] of INHERITED.entries()) {
      const server = await new FakeServer(`o${String(index)}`).listen(t);
      world.store.put('servers', server.id, server.entry(name));
      const path = `/odd-${String(index)}/1`;
      await until('its server is known', async () => (await world.call({ path })).status === 200);
      await serves(world, { path });
      assert.ok(server.seen.length >= REQUESTS);
    }
    await serves(world);
    assertUnharmed(world);
  });

  test('instances serve, and another beside them', async (t) => {
    const world = await World.start(t, configWith(), { mesh: true });
    const odd = await Promise.all(INHERITED.map((name) => world.join(t, name, { mesh: true })));
    const fleet = [world, ...odd];
    await world.allKnow(fleet);
    for (const instance of fleet) {
      await serves(instance);
      assertUnharmed(instance);
    }
  });

  test('data centres serve, and another beside them', async (t) => {
    const settings = { mesh: true, regions: { 'hall-a': 'north', constructor: 'south' } };
    const world = await World.start(t, configWith(), settings);
    const odd = await Promise.all(
      INHERITED.map((name) => world.join(t, `at-${name}`, { ...settings, dataCentre: name })),
    );
    for (const instance of [world, ...odd]) {
      await serves(instance);
      assertUnharmed(instance);
    }
  });
});

// Guards against streams that no server may run, because the name of their service is no part of a path.
test('resumable streams of services that no path names go on', async (t) => {
  const names = ['', '.', '..', 'a/b', '%', '\ud800', 'склад', 'x'.repeat(3_000)];
  const world = await World.start(t, withServices(names, DRAFT));
  for (const [index, name] of names.entries()) {
    const server = await new FakeServer(`o${String(index)}`).listen(t);
    server.behaviour = 'stream';
    world.store.put('servers', server.id, server.entry(name));
  }
  for (const index of names.keys()) {
    const path = `/odd-${String(index)}/1`;
    await until(`its server is known: ${path}`, async () => {
      return (await world.generate(path)).status === 200;
    });
  }
  assert.equal(new Set(world.store.names('fleet-software')).size, names.length + 1);
  assertUnharmed(world);
});

// Guards against an entry that hides the other instances of its data centre, or that a call to a peer fails at.
test('entries of the list of instances that cannot be used cost themselves alone', async (t) => {
  const entries = {
    '': { meshUrl: 'http://127.0.0.1:9' },
    '\ud800': { meshUrl: 'http://127.0.0.1:9' },
    ['x'.repeat(301)]: {},
    'no-url': { meshUrl: 'a%zz' },
    'no-text': { meshUrl: 7 },
    'no-entry': null,
  };
  const world = await World.start(t, configWith(), { mesh: true });
  const listed = world.store.value('fleet-instances', 'hall-a') as { instances: object };
  world.store.put('fleet-instances', 'hall-a', { instances: { ...listed.instances, ...entries } });
  const other = await world.join(t, 'edge-2', { mesh: true });
  await until('both know each other', () =>
    [world, other].every(({ log }) => {
      const last = log.events.findLast(({ event }) => event === 'instances-changed');
      return Number(last?.fields.instances) >= 2;
    }),
  );
  for (const instance of [world, other]) {
    await serves(instance);
    assertUnharmed(instance);
  }
  const lines = other.log.events.filter(({ event }) => event === 'instance-entry-invalid');
  assert.deepEqual(lines.map(({ fields }) => fields.length).sort(), [0, 1, 301, 6, 7]);
});

/** Configuration with more accounts. */
function withAccounts(version: number, names: readonly string[]): Record<string, unknown> {
  const { tenants, ...rest } = configWith({ version });
  const odd = names.map((name) => ({ name, api_keys: [keyOf(name)], prepaid: 100_000 }));
  return { ...rest, tenants: [...(tenants as object[]), ...odd] };
}

/** Configuration with more services, each with a route of its name that is like a known one. */
function withServices(names: readonly string[], like = PLAIN): Record<string, unknown> {
  const { routes, services, ...rest } = configWith();
  const known = routes as object[];
  const oddRoutes = names.map((name, index) => {
    return { ...known[like], name, path_prefix: `/odd-${String(index)}/`, service: name };
  });
  const oddServices = names.map((name) => {
    return { name, health_path: '/health', max_connections: 100 };
  });
  return {
    ...rest,
    routes: [...known, ...oddRoutes],
    services: [...(services as object[]), ...oddServices],
  };
}

function keyOf(name: string): string {
  return `key-of-${name}`;
}

/** Checks that requests are served, under a key or that of the plain account. */
async function serves(world: World, { key, path = '/book/1' }: Asked = {}): Promise<void> {
  const headers = key === undefined ? {} : { authorization: `Token ${key}` };
  for (let sent = 0; sent < REQUESTS; sent += 1) {
    const { status, body } = await world.call({ path, headers });
    assert.equal(status, 200, body);
  }
}

interface Asked {
  key?: string;
  path?: string;
}

function assertUnharmed({ events }: World): void {
  assert.ok(!events.includes('service-failed'));
}
