import type { TestContext } from 'node:test';
import type { Answer } from './world.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { failures, startInTwo } from './twoCentres.js';
import { KEY, World, configWith } from './world.js';

const settings = {
  dataCentre: 'hall-a',
  regions: { 'hall-a': 'north', 'hall-b': 'south' },
};
const kinds = ['/look/', '/book/', '/chat/', '/draft/'];

interface HomesCase {
  name: string;
  route?: unknown;
  account?: unknown;
  /** Servers that may be reached; none means that callers are refused. */
  reached: readonly string[];
}

function configOf({
  route,
  account,
}: Pick<HomesCase, 'route' | 'account'>): Record<string, unknown> {
  const config = configWith();
  const routes = (config.routes as object[]).map((each) => ({ ...each, allowed_regions: route }));
  const tenants = [
    { name: 'kirk', api_keys: [KEY], prepaid: 50_000_000, allowed_regions: account },
  ];
  return { ...config, routes, tenants };
}

function start(t: TestContext, homes: Pick<HomesCase, 'route' | 'account'>): Promise<World> {
  return startInTwo(t, configOf(homes), settings);
}

function callAll(world: World): Promise<Answer[]> {
  return Promise.all(
    kinds.flatMap((path) =>
      Array.from({ length: 6 }, (_, at) =>
        world.generate(path, 1_000, { 'x-prompt-prefix': `${String(at)}a:900,b2:100` }),
      ),
    ),
  );
}

function reachedIn(world: World): string[] {
  return world.servers.filter(({ seen }) => seen.length > 0).map(({ id }) => id);
}

// Guards against requests that reach a server outside the homes of their route or client account.
describe('requests reach only the homes', () => {
  const cases: HomesCase[] = [
    { name: 'of their route', route: ['south'], reached: ['p2', 'e2'] },
    { name: 'of their account', account: ['south', 'moon'], reached: ['p2', 'e2'] },
    { name: 'of both', route: ['north', 'south'], account: ['north'], reached: ['p1', 'e1'] },
    {
      name: 'which exclude each other: nowhere',
      route: ['north'],
      account: ['south'],
      reached: [],
    },
    { name: 'which cannot be read: nowhere', route: 'south', reached: [] },
    { name: 'which cannot be read at the account: nowhere', account: [7], reached: [] },
  ];
  for (const { name, route, account, reached } of cases) {
    test(name, async (t) => {
      const world = await start(t, { route, account });
      const sentAt = performance.now();
      const answers = await callAll(world);
      assert.deepEqual(reachedIn(world), reached);
      const statuses = [...new Set(answers.map(({ status }) => status))];
      assert.deepEqual(statuses, [reached.length > 0 ? 200 : 503]);
      if (reached.length > 0) return;
      assert.ok(performance.now() - sentAt < 600, 'not refused at once');
      for (const { body } of answers) assert.match(body, /"run":"not-run"/);
    });
  }
});

// Guards against repeats and resumed streams that leave the homes of their request.
describe('what fails at home goes nowhere else', () => {
  for (const { name, kind, behaviour, path } of failures) {
    test(name, async (t) => {
      const world = await start(t, { route: ['south'] });
      world.behave(kind, behaviour);
      await Promise.all(Array.from({ length: 6 }, () => world.generate(path)));
      assert.deepEqual(reachedIn(world), [`${kind}2`]);
    });
  }
});

// Guards against homes that silently bind nothing, or a configuration that is refused as a whole.
test('homes that are no list are logged once with their objects, and the rest holds', async (t) => {
  const config = configWith();
  const [first, ...others] = config.routes as object[];
  const routes = [{ ...first, allowed_regions: { south: true } }, ...others];
  const world = await World.start(t, { ...config, routes }, settings);
  const lines = world.log.events.filter(({ event }) => event === 'homes-invalid');
  assert.deepEqual(
    lines.map(({ fields }) => [fields.count, fields.objects]),
    [[1, 'route look']],
  );
  assert.equal((await world.call({ path: '/look/1' })).status, 503);
  assert.equal((await world.call({ path: '/book/1' })).status, 200);
});

// Guards against a server of an unknown region that counts as a home.
test('a server whose region is unknown is no home', async (t) => {
  const world = await World.start(t, configOf({ route: ['north', 'south'] }), {
    ...settings,
    regions: { 'hall-z': 'north' },
  });
  const answers = await callAll(world);
  assert.deepEqual([...new Set(answers.map(({ status }) => status))], [503]);
  assert.deepEqual(reachedIn(world), []);
});
