import type { PrepaidBudgets, PrepaidPage } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import { describe, test } from 'node:test';
import { dropWriter } from '@flamingocourse/core';
import { KEY, World, configWith, until } from './world.js';

describe('a prepaid budget', () => {
  test('is refused with 402 once it is used up, and runs nothing more', async (t) => {
    const world = await World.start(t);
    world.behave('e', 'stream');
    const statuses: number[] = [];
    for (let n = 0; n < 15; n += 1) statuses.push((await world.generate('/chat/1', 9_000)).status);
    const answered = statuses.filter((status) => status === 200).length;
    assert.equal(answered, 11, statuses.join(' '));
    assert.ok(
      statuses.slice(answered).every((status) => status === 402),
      statuses.join(' '),
    );
    assert.equal(world.seen('e').length, answered);
  });

  // Guards against refusing requests whenever the store is cut off, although most of the budget is left.
  test('is spent from the tokens held while the store is silent', async (t) => {
    const world = await World.start(t);
    world.behave('e', 'stream');
    for (let n = 0; n < 4; n += 1) await world.generate('/chat/1', 1_000);
    await delay(400);
    world.store.fault = 'silent';
    const statuses = [];
    for (let n = 0; n < 8; n += 1) statuses.push((await world.generate('/chat/1', 1_000)).status);
    assert.deepEqual(new Set(statuses), new Set([200]));
  });

  test('is refused with 503, not 402, when only the store knows the remaining budget', async (t) => {
    const world = await World.start(t);
    world.behave('e', 'stream');
    world.store.fault = 'silent';
    await until('store lost', () =>
      world.log.events.some(({ event: name }) => name === 'store-lost'),
    );
    const answer = await world.generate('/chat/1', 90_000);
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
  });

  // Guards against refusing the requests of an account for twelve seconds because all of them arrive at an
  // instance that is cut off, while other instances could serve them.
  test('that is unreachable diverts callers to other instances until it is reachable', async (t) => {
    const world = await World.start(t);
    world.behave('e', 'stream');
    world.store.fault = 'silent';
    await until('store lost', () => world.events.includes('store-lost'));
    assert.equal(await world.ready(), 200, 'an instance that can still serve stays');
    await until('refused at once', async () => {
      await world.generate('/chat/1', 90_000);
      return world.log.events.some(({ fields }) => fields.why === 'away');
    });
    assert.notEqual(await world.ready(), 200);
    world.store.fault = 'none';
    await until('regained', () => {
      return world.log.events.some(({ event, fields }) => {
        return event === 'store-regained' && fields.watch === 'prepaid';
      });
    });
    assert.equal(await world.ready(), 200);
    await until('served', async () => (await world.generate('/chat/1', 90_000)).status === 200);
  });

  test('is refused without a long wait while the store does not answer', async (t) => {
    // Guards against requests that keep waiting for tokens from a store that has just become silent: neither
    // their timeout nor the disconnect of their callers ended the wait.
    const store = { timeoutMs: 8_000, watchIdleMs: 9_000, configurationIdleMs: 9_000 };
    const world = await World.start(t, configWith(), { store });
    world.store.fault = 'silent';
    const answer = await world.call({
      path: '/chat/1',
      headers: { 'x-model': 'm', 'x-token-usage': '90000,80' },
      leaveMs: 6_000,
    });
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
  });

  test('grows by a top-up', async (t) => {
    const world = await World.start(
      t,
      configWith({ tenants: [{ name: 'kirk', api_keys: ['key-of-kirk'], prepaid: 500 }] }),
    );
    world.behave('e', 'stream');
    assert.equal((await world.generate('/chat/1', 1_000)).status, 402);
    world.store.put('config', 'main', configWith({ version: 9 }));
    await until('topped up', async () => (await world.generate('/chat/1', 1_000)).status === 200);
  });
});

// Guards against all instances reporting at the same time after each configuration change. Their reports
// conflicted up to 17 times, and a sixth of all store calls was wasted.
test('only new limits make an instance report, and instances do not report at the same time', async (t) => {
  const world = await World.start(t, configWith(), { prepaid: { reportMs: 60_000 } });
  await until('reported', () => world.events.includes('prepaid-reported'));
  const calls = (): number => world.store.calls.filter((kind) => kind === 'prepaid-pages').length;
  const before = calls();
  for (const version of [8, 9, 10]) world.store.put('config', 'main', configWith({ version }));
  await until('in force', () =>
    world.log.events.some(({ event: name, fields }) => {
      return name === 'configuration-applied' && fields.version === 10;
    }),
  );
  await delay(600);
  assert.equal(calls(), before);
  const tenants = [{ name: 'kirk', api_keys: [KEY], prepaid: 200_000 }];
  world.store.put('config', 'main', configWith({ version: 11, tenants }));
  await until('reported again', () => calls() > before);
});

// Guards against idle instances that each transfer their page of up to 12 KB every two seconds.
test('an instance with nothing to report does not read its page', async (t) => {
  const world = await World.start(t, configWith(), { prepaid: { reportMs: 50 } });
  await until('reported', () => world.events.includes('prepaid-reported'));
  const calls = (): number => world.store.calls.filter((kind) => kind === 'prepaid-pages').length;
  const before = calls();
  await delay(500);
  assert.equal(calls(), before);
});

// Guards against losing a request that is running while its instance is replaced.
test('a planned stop reports not ready at once and finishes running requests', async (t) => {
  const world = await World.start(t);
  const running = world.call({ path: '/book/1' });
  const stopped = world.stop();
  assert.notEqual(await world.ready(), 200);
  assert.equal((await running).status, 200);
  const crossing = await world.call({ path: '/book/2' });
  assert.equal(crossing.status, 200);
  assert.equal(crossing.headers.connection, 'close');
  await stopped;
  const { page, budgets } = prepaidOf(world);
  assert.deepEqual(page.accounts.kirk?.shares, {}, 'all tokens are given back');
  assert.deepEqual(page.writers, {}, 'the page has forgotten it');
  assert.deepEqual(budgets.members, {}, 'it is no member');
  const { granted = 0, returned = 0, gone = 0 } = budgets.grants.kirk?.['0'] ?? {};
  assert.equal(granted - returned, gone, 'the group, left by all, holds nothing');
});

// Guards against replaced instances that are never removed: they fill the groups, and their tokens stay unused.
describe('an instance that is silent for long', () => {
  const silent = { prepaid: { silentMs: 700, tendMs: 100 } };

  test('is removed by another instance of its group, and its tokens become in doubt', async (t) => {
    const world = await World.start(t, configWith(), silent);
    world.behave('e', 'stream');
    await world.generate('/chat/1', 1_000);
    const { page, budgets } = prepaidOf(world);
    const members = { ...budgets.members, lost: '0' };
    world.store.put('prepaid-budgets', 'all', { ...budgets, members });
    const kirk = page.accounts.kirk ?? assert.fail('no account');
    const shares = { ...kirk.shares, lost: { held: 3_000, rate: 0 } };
    const accounts = { kirk: { ...kirk, granted: kirk.granted + 3_000, shares } };
    const writers = { ...page.writers, lost: { incarnation: 'lost-1', seq: 4 } };
    world.store.put('prepaid-pages', '0', { accounts, writers });
    await until('taken out', () => !('lost' in prepaidOf(world).budgets.members));
    const after = prepaidOf(world).page;
    assert.equal(after.accounts.kirk?.inDoubt, 3_000);
    assert.deepEqual(Object.keys(after.writers), ['edge-1']);
  });

  test('continues with newly fetched tokens when it is back', async (t) => {
    const world = await World.start(t);
    world.behave('e', 'stream');
    await world.generate('/chat/1', 1_000);
    const { page } = prepaidOf(world);
    world.store.put('prepaid-pages', '0', dropWriter(page, 'edge-1'));
    world.store.put('prepaid-budgets', 'all', { ...prepaidOf(world).budgets, members: {} });
    await until('noticed', async () => {
      await world.generate('/chat/1', 1_000);
      return world.events.includes('prepaid-rights-lost');
    });
    await until('joined', () => 'edge-1' in prepaidOf(world).budgets.members);
    await until('served', async () => (await world.generate('/chat/1', 1_000)).status === 200);
  });
});

function prepaidOf(world: World): { page: PrepaidPage; budgets: PrepaidBudgets } {
  return {
    page: world.store.value('prepaid-pages', '0') as PrepaidPage,
    budgets: world.store.value('prepaid-budgets', 'all') as PrepaidBudgets,
  };
}

// Guards against refusing an account with 402 although none of its requests was answered, because the prompt
// of each request that its servers lost was charged.
test('a request that delivered nothing is not charged', async (t) => {
  const world = await World.start(t);
  world.behave('e', 'reset');
  for (let n = 0; n < 4; n += 1) {
    assert.equal((await world.generate('/chat/1', 30_000)).status, 502);
  }
  world.behave('e', 'stream');
  assert.equal((await world.generate('/chat/1', 90_000)).status, 200);
});
