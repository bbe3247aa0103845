import type { ConfigFault, RoutedConfig } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { RouteTable } from '@flamingocourse/core';
import { createPlatformDialects } from '@flamingocourse/platform-adapter';
import fc from 'fast-check';
import { HOST, KEY, World, configWith } from './world.js';

const { configuration } = createPlatformDialects();
const ODD_KEY = 'key-of-odd';

/** Names of accounts that HTTP carries in a header as they are. */
const carried = ['', 'constructor', '__proto__', 'i 7', 'café', '%2e%2e', '..', 'x'.repeat(8_000)];
/** Names that no header carries as they are. */
const notCarried = [
  'склад',
  'a\r\nx: 1',
  'a\0',
  'a\ufffd',
  'a\ud800',
  ' a',
  'a\t',
  'x'.repeat(8_001),
];

interface Lists {
  routes: Record<string, unknown>[];
  services: Record<string, unknown>[];
  tenants: Record<string, unknown>[];
}

/** The configuration of the tests with one more entry in each list, of which one has other fields. */
function withEntry(list: keyof Lists, fields: Record<string, unknown>): Record<string, unknown> {
  const config = configWith() as unknown as Lists;
  const more: Lists = {
    routes: [{ ...config.routes[0], name: 'odd', path_prefix: '/look/odd/', service: 'odd' }],
    services: [{ name: 'odd', health_path: '/health', max_connections: 100 }],
    tenants: [{ name: 'odd', api_keys: [ODD_KEY], prepaid: 1_000 }],
  };
  const [entry] = more[list];
  more[list] = [{ ...entry, ...fields }];
  return {
    ...config,
    // in front, so that an entry that ends the reading of its list would take the others along.
    routes: [...more.routes, ...config.routes],
    services: [...more.services, ...config.services],
    tenants: [...more.tenants, ...config.tenants],
  };
}

function parse(config: unknown): RoutedConfig {
  return configuration.schema.parse(JSON.parse(JSON.stringify(config)));
}

function kinds(faults: readonly ConfigFault[] = []): string[] {
  return faults.map(({ kind, entry }) => `${kind} ${entry}`);
}

// Guards against one entry that makes all instances refuse a configuration, and keeps new ones from starting.
describe('an entry of the configuration that cannot be used costs itself alone', () => {
  const odd = [null, 7, -1, true, 'x', '', [], {}, [null], { a: 1 }, 1e300, '\u0000', '__proto__'];
  const fields: Record<keyof Lists, readonly string[]> = {
    routes: [
      'name',
      'hostname',
      'path_prefix',
      'kind',
      'timeout_ms',
      'target_latency_ms',
      'priority',
      'service',
      'traffic_split',
      'max_attempts',
      'public',
      'resume_streams',
      'allowed_regions',
    ],
    services: ['name', 'health_path', 'cold_start_s', 'cold_per_s', 'engine'],
    tenants: ['name', 'api_keys', 'priority', 'prepaid', 'allowed_regions'],
  };
  for (const list of ['routes', 'services', 'tenants'] as const) {
    for (const field of fields[list]) {
      test(`${list}: ${field}`, () => {
        for (const value of odd) assertOthersServe(parse(withEntry(list, { [field]: value })));
        assertOthersServe(parse(withEntry(list, { [field]: undefined })));
      });
    }
  }

  test('any value in place of an entry, or of one of its fields', () => {
    const anyList = fc.constantFrom<keyof Lists>('routes', 'services', 'tenants');
    fc.assert(
      fc.property(anyList, fc.nat(20), fc.jsonValue(), (list, index, value) => {
        const names = fields[list];
        const field = names[index % names.length] ?? '';
        assertOthersServe(parse(withEntry(list, { [field]: value })));
        const config = withEntry(list, {});
        const entries = config[list] as unknown[];
        assertOthersServe(parse({ ...config, [list]: [value, ...entries] }));
      }),
    );
  });

  const named: { list: keyof Lists; change: Record<string, unknown>; faults: string[] }[] = [
    { list: 'routes', change: { kind: 'x' }, faults: ['route odd'] },
    { list: 'routes', change: { name: 7 }, faults: ['route #0'] },
    { list: 'routes', change: { service: null, traffic_split: null }, faults: [] },
    { list: 'services', change: { cold_start_s: -1 }, faults: ['service odd'] },
    {
      list: 'services',
      change: { name: 'x'.repeat(8_001) },
      faults: [`service ${'x'.repeat(8_001)}`],
    },
    { list: 'services', change: { health_path: 'x y' }, faults: ['service odd'] },
    { list: 'services', change: { health_path: '/ü' }, faults: ['service odd'] },
    { list: 'services', change: { health_path: null, engine: null }, faults: [] },
    { list: 'tenants', change: { prepaid: 'x' }, faults: ['account odd'] },
    { list: 'tenants', change: { prepaid: null, priority: null }, faults: [] },
    ...carried.map((name) => ({ list: 'tenants' as const, change: { name }, faults: [] })),
    ...notCarried.map((name) => {
      return { list: 'tenants' as const, change: { name }, faults: [`account ${name}`] };
    }),
  ];
  for (const { list, change, faults } of named) {
    test(`${list} ${JSON.stringify(change).slice(0, 60)}: ${String(faults.length)} named`, () => {
      assert.deepEqual(kinds(parse(withEntry(list, change)).faults), faults);
    });
  }

  // Guards against a configuration that is refused for want of a part that it may leave out.
  for (const part of ['limits', 'tenants']) {
    test(`a configuration without ${part} is accepted`, () => {
      assert.deepEqual(kinds(parse({ ...configWith(), [part]: undefined }).faults), []);
    });
  }

  test('a limit that is no number counts as not written', () => {
    const { limits, faults } = parse({ ...configWith(), limits: { max_body_bytes: 'x' } });
    assert.deepEqual(limits, { maxBodyBytes: 4_194_304, headMs: 3_000, idleMs: 15_000 });
    assert.deepEqual(kinds(faults), ['limit max_body_bytes']);
  });
});

// Guards against requests that reach a server under a name that it does not get, or under a shorter prefix.
describe('requests of an entry that cannot be used are refused at once', { concurrency: 4 }, () => {
  const cases = [
    { list: 'routes', change: { kind: 'x' }, path: '/look/odd/1', key: KEY },
    ...notCarried.map((name) => {
      return { list: 'tenants', change: { name }, path: '/look/1', key: ODD_KEY } as const;
    }),
    { list: 'tenants', change: { prepaid: 'x' }, path: '/look/1', key: ODD_KEY },
  ] as const;
  for (const { list, change, path, key } of cases) {
    test(`${list} ${JSON.stringify(change).slice(0, 40)}`, async (t) => {
      const world = await World.start(t, withEntry(list, change));
      const headers = { host: HOST, authorization: `Token ${key}` };
      const answer = await world.call({ path, headers });
      assert.equal(answer.status, 503);
      assert.ok(Number(answer.headers['retry-after']) >= 10);
      assert.equal(world.seen('p').length, 0);
      for (let sent = 0; sent < 5; sent += 1) {
        assert.equal((await world.call({ path: '/look/1' })).status, 200);
      }
      const lines = world.log.events.filter(({ event }) => event === 'configuration-entry-invalid');
      assert.equal(lines.length, 1);
      assert.ok(!world.events.includes('service-failed'));
    });
  }
});

// Guards against an account that is refused, or named otherwise, because of what it is called.
describe('an account that HTTP can name is served', { concurrency: 4 }, () => {
  for (const name of carried) {
    test(`${JSON.stringify(name.slice(0, 20))} (${String(name.length)} characters)`, async (t) => {
      const world = await World.start(t, withEntry('tenants', { name }), { mesh: true });
      world.behave('e', 'stream');
      const authorization = `Token ${ODD_KEY}`;
      for (let sent = 0; sent < 5; sent += 1) {
        assert.equal(
          (await world.call({ path: '/look/1', headers: { authorization } })).status,
          200,
        );
      }
      assert.deepEqual(
        new Set(world.seen('p').map(({ headers }) => headers['x-tenant'])),
        new Set([name]),
      );
      assert.equal((await world.generate('/chat/1', 100, { authorization })).status, 200);
      assert.ok(!world.events.includes('service-failed'));
    });
  }
});

/** Checks that the entries of the tests' own configuration are in force. */
function assertOthersServe(config: RoutedConfig): void {
  const table = new RouteTable(config);
  for (const path of ['/look/1', '/book/1', '/chat/1', '/draft/1']) {
    const route = table.findRoute(HOST, path);
    assert.equal(`/${route?.name ?? ''}/1`, path);
    assert.ok(route?.targets.every(({ service }) => table.service(service)));
  }
  assert.equal(table.findAccount(KEY)?.name, 'kirk');
}
