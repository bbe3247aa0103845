import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { World, configWith, until } from './world.js';

type JsonObject = Record<string, unknown>;

const PAGE = { kind: 'prepaid-pages', name: '0' };
const BUDGETS = { kind: 'prepaid-budgets', name: 'all' };
const REQUEST_TOKENS = 9_000;
/** Requests of one account that fit into its budget. */
const FITTING = 11;
const DAMAGED_KEY = { authorization: 'Token key-of-picard' };

const share = { held: 'all', rate: 1 };
const account = { granted: 1, returned: 0, spent: 0, inDoubt: 0, shares: {} };

// Guards against an account whose stored tokens cannot be read, and that takes those of all accounts with it.
describe('an entry of the stored budgets that cannot be read', { concurrency: 4 }, () => {
  const damages: { title: string; place: typeof PAGE; table: string; entry: unknown }[] = [
    { title: 'null in a page', place: PAGE, table: 'accounts', entry: null },
    { title: 'a text in a page', place: PAGE, table: 'accounts', entry: 'all' },
    { title: 'no fields in a page', place: PAGE, table: 'accounts', entry: {} },
    {
      title: 'a share of another type in a page',
      place: PAGE,
      table: 'accounts',
      entry: { ...account, shares: { 'edge-1': share } },
    },
    { title: 'null in the grants', place: BUDGETS, table: 'grants', entry: null },
    { title: 'a number in the grants', place: BUDGETS, table: 'grants', entry: 7 },
    { title: 'a grant of another type', place: BUDGETS, table: 'grants', entry: { 0: [] } },
  ];
  for (const { title, place, table, entry } of damages) {
    test(`${title} costs that account alone, and stays as it is`, async (t) => {
      const world = await startWithTwoAccounts(t);
      damage(world, place, table, 'picard', entry);
      await until('it is named in the log', () =>
        world.log.events.some(({ event, fields }) => {
          return event === 'prepaid-entry-invalid' && fields.account === 'picard';
        }),
      );
      for (let sent = 1; sent < FITTING; sent += 1) {
        assert.equal((await world.generate('/chat/1', REQUEST_TOKENS)).status, 200);
      }
      let status = 200;
      for (let sent = 1; sent < FITTING && status === 200; sent += 1) {
        const answer = await world.generate('/chat/1', REQUEST_TOKENS, DAMAGED_KEY);
        ({ status } = answer);
        if (status !== 200) assert.ok(Number(answer.headers['retry-after']) > 0);
      }
      assert.equal(status, 503, 'tokens that may be spent already are granted');
      assert.deepEqual(tableOf(world, place, table).picard, entry);
      assert.ok(!world.events.includes('service-failed'));
    });
  }

  test('is used again once it was corrected', async (t) => {
    const world = await startWithTwoAccounts(t);
    damage(world, PAGE, 'accounts', 'picard', null);
    await until('none is granted', async () => {
      return (await world.generate('/chat/1', REQUEST_TOKENS, DAMAGED_KEY)).status === 503;
    });
    const granted = { ...account, granted: 50_000, inDoubt: 50_000 };
    damage(world, PAGE, 'accounts', 'picard', granted);
    await until('it is served', async () => {
      return (await world.generate('/chat/1', REQUEST_TOKENS, DAMAGED_KEY)).status === 200;
    });
  });

  for (const { title, place, table, entry } of [
    { title: 'a writer', place: PAGE, table: 'writers', entry: null },
    { title: 'a writer of other types', place: PAGE, table: 'writers', entry: { seq: 'x' } },
    { title: 'a member', place: BUDGETS, table: 'members', entry: 7 },
    { title: 'a member of no group', place: BUDGETS, table: 'members', entry: '..' },
  ]) {
    test(`${title} costs no account its tokens`, async (t) => {
      const world = await startWithTwoAccounts(t);
      for (const name of ['edge-9', world.instance]) damage(world, place, table, name, entry);
      for (let sent = 0; sent < 3; sent += 1) {
        for (const headers of [{}, DAMAGED_KEY]) {
          await until('it is served', async () => {
            return (await world.generate('/chat/1', REQUEST_TOKENS, headers)).status === 200;
          });
        }
      }
      assert.ok(!world.events.includes('service-failed'));
    });
  }
});

/** Starts an instance and spends tokens of both of its accounts. */
async function startWithTwoAccounts(t: Parameters<typeof World.start>[0]): Promise<World> {
  const tenants = ['kirk', 'picard'].map((name) => {
    return { name, api_keys: [`key-of-${name}`], prepaid: 100_000 };
  });
  const world = await World.start(t, configWith({ tenants }));
  world.behave('e', 'stream');
  for (const headers of [{}, DAMAGED_KEY]) {
    assert.equal((await world.generate('/chat/1', REQUEST_TOKENS, headers)).status, 200);
  }
  await until('both are in the store', () => {
    const accounts = Object.keys(tableOf(world, PAGE, 'accounts'));
    return accounts.includes('kirk') && accounts.includes('picard');
  });
  return world;
}

function tableOf(world: World, { kind, name }: typeof PAGE, table: string): JsonObject {
  const object = world.store.value(kind, name) as Record<string, JsonObject> | undefined;
  return object?.[table] ?? {};
}

/** Writes an entry as another program would, whatever was there. */
function damage(
  world: World,
  { kind, name }: typeof PAGE,
  table: string,
  entry: string,
  value: unknown,
): void {
  const object = world.store.value(kind, name) as JsonObject;
  const changed = { ...tableOf(world, { kind, name }, table), [entry]: value };
  world.store.put(kind, name, { ...object, [table]: changed });
}
