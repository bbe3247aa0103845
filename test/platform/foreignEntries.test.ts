import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { createPlatformDialects } from '@flamingocourse/platform-adapter';
import { FakeServer } from './fakeServer.js';
import { RawJson } from './fakeStore.js';
import { World, until } from './world.js';

const { serverList } = createPlatformDialects();
/** Names that are properties of every object, or that are long or unusual; a header can carry them. */
const carried = [
  'constructor',
  '__proto__',
  'toString',
  'i 7',
  'café',
  '%2e%2e',
  '..',
  'x'.repeat(8_000),
];
/** Names that no header carries as they are. */
const notCarried = [
  'i-7f\ufffd',
  'i-\ud800',
  'склад',
  'i\r\nx: 1',
  'i\0',
  ' i-7',
  'i-7\t',
  '',
  'x'.repeat(100_000),
];
/** Requests that are sent at each look. */
const REQUESTS = 10;
/** Levels of nesting at which code that recurses into a value throws. */
const DEPTH = 100_000;

const addresses = {
  usable: ['127.0.0.1:8080', '10.128.0.9:80', '10.0.0.1:1', '10.0.0.1:65535', 'llm-1.example:8080'],
  unusable: [
    '127.0.0.1:82270',
    '127.0.0.1:65536',
    '127.0.0.1:0',
    '127.0.0.1:08080',
    '127.0.0.1:',
    '127.0.0.1',
    ':8080',
    'a%zz:80',
    '[x]:80',
    '?:80',
    '#:80',
    'a/b:80',
    'user@127.0.0.1:80',
    '127.0.0.256:80',
    '0x7f.1:80',
    '::1:80',
    '127.0.0.1:80 ',
    '127.0.0.1:80\r\nX-Injected: 1',
    '',
  ],
};

// Guards against an address that is found to be unusable only where a request or a connection needs it.
describe('the address in an entry of the list of servers', () => {
  const cases = Object.entries(addresses).flatMap(([kind, texts]) => {
    return texts.map((address) => ({ address, isUsable: kind === 'usable' }));
  });
  for (const { address, isUsable } of cases) {
    test(`${JSON.stringify(address)} is ${isUsable ? 'used' : 'no address'}`, () => {
      const entry = { service: 'a', address, zone: 'z', version: 'v', slots: 1, state: 'ready' };
      const parsed = serverList.schema.safeParse(entry);
      assert.equal(parsed.success, isUsable);
      if (parsed.success) assert.equal(parsed.data.url, `http://${address}`);
    });
  }
});

// Guards against one unusable entry that freezes the list at all instances and keeps new ones from starting.
describe('beside an entry of another writer with an unusable address', () => {
  for (const address of ['127.0.0.1:82270', 'a%zz:80', '?:80']) {
    test(`${JSON.stringify(address)}: a server that drains gets no requests, and a new instance serves`, async (t) => {
      await serveBeside(t, { address });
    });
  }
});

// Guards against an entry that ends the watch of every instance without a line in the log, because code that
// recurses into its value throws.
describe('beside an entry of another writer that is nested too deeply', { concurrency: 4 }, () => {
  const shapes = [
    { shape: 'arrays', value: new RawJson('['.repeat(DEPTH) + ']'.repeat(DEPTH)) },
    { shape: 'objects', value: new RawJson('{"a":'.repeat(DEPTH) + '1' + '}'.repeat(DEPTH)) },
  ];
  for (const field of ['unknown', 'cold_remaining_ms', 'address', 'slots']) {
    for (const { shape, value } of shapes) {
      test(`${field} of ${shape}: a server that drains gets no requests, and a new instance serves`, async (t) => {
        await serveBeside(t, { service: 'shelf', [field]: value });
      });
    }
  }
});

// Guards against a text of a server that makes its instance's messages longer than other instances accept.
describe('beside an entry with a text that no message carries', { concurrency: 4 }, () => {
  for (const field of ['service', 'zone', 'version']) {
    test(`${field}: a server that drains gets no requests, and a new instance serves`, async (t) => {
      await serveBeside(t, { [field]: 'x'.repeat(8_001) });
    });
  }
});

// Guards against an id that is found to be unsendable only where a request or a health check needs it.
describe('the id of an entry of another writer', { concurrency: 4 }, () => {
  for (const id of notCarried) {
    test(`${shown(id)} names no server, which is logged once`, async (t) => {
      const world = await World.start(t);
      world.store.put('servers', id, world.server('p1').entry('ledger'));
      world.store.put('servers', id, world.server('p1').entry('ledger', { seq: 2 }));
      const version = world.store.put(
        'servers',
        'p2',
        world.server('p2').entry('ledger', { seq: 2 }),
      );
      await untilListRead(world, version);
      for (let sent = 0; sent < REQUESTS; sent += 1) {
        assert.equal((await world.call({ path: '/book/1' })).status, 200);
      }
      const lines = world.log.events.filter(({ event }) => event === 'server-entry-invalid');
      assert.deepEqual(
        lines.map(({ fields }) => fields.server),
        [id.slice(0, 200)],
      );
      assert.ok(!world.events.includes('service-failed'));
    });
  }
  for (const id of carried) {
    test(`${shown(id)} names a server, which gets requests`, async (t) => {
      const world = await World.start(t);
      const odd = await new FakeServer(id).listen(t);
      world.store.put('servers', id, odd.entry('ledger'));
      for (const plain of ['p1', 'p2']) world.store.remove('servers', plain);
      await until('the other plain servers have left', () => {
        const last = world.log.events.findLast(({ event }) => event === 'servers-changed');
        return last?.fields.servers === 3;
      });
      for (let sent = 0; sent < REQUESTS; sent += 1) {
        assert.equal((await world.call({ path: '/book/1' })).status, 200);
      }
      assert.equal(odd.seen.filter(({ ran }) => ran).length, REQUESTS);
    });
  }
});

/** Waits until an instance has read the list of servers at a version of the store. */
async function untilListRead(world: World, version: number): Promise<void> {
  await until('the entries were read', () => {
    return world.log.events.some(({ event, fields }) => {
      return event === 'servers-changed' && Number(fields.version) >= version;
    });
  });
}

function shown(name: string): string {
  return name.length > 40
    ? `${name.slice(0, 10)} (${String(name.length)} characters)`
    : JSON.stringify(name);
}

/** Checks that the list is followed while another writer's entry of server p1 has these fields. */
async function serveBeside(t: TestContext, fields: Record<string, unknown>): Promise<void> {
  const world = await World.start(t);
  world.store.put('servers', 'other', world.server('p1').entry('ledger', fields));
  const drained = world.server('p1').entry('ledger', { state: 'draining' });
  await untilListRead(world, world.store.put('servers', 'p1', drained));
  const fresh = await world.join(t, 'edge-2');
  for (const instance of [world, fresh]) {
    for (let sent = 0; sent < REQUESTS; sent += 1) {
      assert.equal((await instance.call({ path: '/book/1' })).status, 200);
    }
  }
  assert.equal(world.server('p1').seen.length, 0);
  assert.ok(!world.events.includes('service-failed'));
}
