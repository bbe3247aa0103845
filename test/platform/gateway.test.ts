import type { PrepaidBudgets, PrepaidPage } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import { describe, test } from 'node:test';
import { dropWriter } from '@flamingocourse/core';
import { event } from './usersServer.js';
import { KEY, World, configWith, until } from './world.js';

const wholeStream = [1, 2, 3, 4].map(event).join('');

test('a request of each kind is passed on and answered', async (t) => {
  const world = await World.start(t);
  world.behave('e', 'stream');
  const looked = await world.call({ path: '/look/12?full=1', method: 'GET' });
  assert.equal(looked.status, 200);
  assert.match(looked.body, /^from p[12]$/);
  assert.match(String(looked.headers['x-response-signature']), /^proof-of-p[12]$/);
  const booked = await world.call({ path: '/book/12', body: 'bed=12' });
  assert.equal(booked.status, 200);
  const chat = await world.generate('/chat/1');
  assert.equal(chat.body, wholeStream);
  assert.equal(chat.complete, true);

  const [look, book] = ['/look/', '/book/'].map((path) =>
    world.seen('p').find(({ url }) => url.startsWith(path)),
  );
  assert.equal(look?.url, '/look/12?full=1');
  assert.equal(book?.body, 'bed=12');
  for (const { headers } of [...world.seen('p'), ...world.seen('e')]) {
    assert.equal(headers.authorization, undefined, 'the key is withheld');
    assert.equal(headers['x-tenant'], 'kirk');
    const leftMs = Number(headers['x-deadline-ms']);
    assert.ok(leftMs > 0 && leftMs <= 1_200, `${String(leftMs)} ms are passed on`);
  }
});

describe('a request that the configuration does not allow', () => {
  const cases = [
    { name: 'without a route', call: { path: '/none/' }, status: 404 },
    {
      name: 'with an unknown key',
      call: { path: '/look/', headers: { authorization: 'Token no' } },
      status: 401,
    },
    {
      name: 'with a body over the limit',
      call: { path: '/book/', body: 'x'.repeat(2_000) },
      status: 413,
    },
  ];
  for (const { name, call, status } of cases) {
    test(`${name} gets ${String(status)} and runs nowhere`, async (t) => {
      const world = await World.start(t);
      assert.equal((await world.call(call)).status, status);
      assert.equal(world.seen('p').length, 0);
    });
  }
});

describe('an answer that may not be passed on', () => {
  // a family is told that its reservation has not run, reads somebody else's answer, or gets its bed
  // booked twice.
  const cases = [
    { behaviour: 'shed', path: '/book/1', status: 503, runs: 'many' },
    { behaviour: 'reset', path: '/book/1', status: 502, runs: 1 },
    { behaviour: 'unmarked-503', path: '/book/1', status: 502, runs: 1 },
    { behaviour: 'other-id', path: '/book/1', status: 502, runs: 1 },
    { behaviour: 'no-proof', path: '/book/1', status: 502, runs: 1 },
    { behaviour: 'encoded', path: '/book/1', status: 502, runs: 1 },
    { behaviour: 'silent', path: '/book/1', status: 504, runs: 1 },
    { behaviour: 'error', path: '/book/1', status: 500, runs: 1 },
    { behaviour: 'reset', path: '/look/1', status: 502, runs: 2 },
    { behaviour: 'error', path: '/look/1', status: 500, runs: 2 },
  ] as const;
  for (const { behaviour, path, status, runs } of cases) {
    test(`${behaviour} on ${path} becomes ${String(status)}`, async (t) => {
      const world = await World.start(t);
      world.behave('p', behaviour);
      const answer = await world.call({ path });
      assert.equal(answer.status, status);
      assert.equal(answer.headers['retry-after'] !== undefined, status === 503);
      if (runs !== 'many') assert.equal(world.seen('p').length, runs);
    });
  }
});

test('a request that may be repeated is answered by another server', async (t) => {
  const world = await World.start(t);
  world.server('p1').behaviour = 'reset';
  for (let n = 0; n < 6; n += 1) {
    const answer = await world.call({ path: `/look/${String(n)}`, method: 'GET' });
    assert.equal(answer.body, 'from p2');
  }
});

test('failures that nothing may follow use up nothing of the allowance', async (t) => {
  // while a server resets connections, lookups fail that another server would have answered: each
  // reservation that failed took one of the few further attempts and never made it.
  const world = await World.start(t);
  assert.ok(world.settings);
  world.reload({ ...world.settings, retries: { ratio: 0, slack: 2, windowMs: 60_000 } });
  world.behave('p', 'reset');
  assert.equal((await world.call({ path: '/book/1' })).status, 502);
  assert.equal((await world.call({ path: '/look/1' })).status, 502);
  assert.equal(world.seen('p').length, 3);
});

describe('a stream whose server breaks off in the middle of an event', () => {
  // a volunteer's draft stops half way, or has a sentence twice where another server went on.
  test('goes on at another server without a seam', async (t) => {
    const world = await World.start(t);
    world.server('e1').behaviour = 'break-stream';
    world.server('e2').behaviour = 'stream';
    for (let n = 0; n < 4; n += 1) {
      const answer = await world.generate('/draft/1', 1_000, {
        'x-prompt-prefix': `${String(n)}:100`,
      });
      assert.equal(answer.body, wholeStream);
      assert.equal(answer.complete, true);
    }
    assert.ok(world.seen('e').some(({ headers }) => headers['last-event-id'] === '1'));
  });

  test('is cut where it may not be resumed', async (t) => {
    const world = await World.start(t);
    world.behave('e', 'break-stream');
    const answer = await world.generate('/chat/1');
    assert.equal(answer.complete, false);
    assert.equal(answer.body, event(1));
    assert.equal(world.seen('e').length, 1);
    // one line and one count, or an engineer takes one failure for two.
    const failed = world.log.events.filter(({ event: name }) => name === 'attempt-failed');
    assert.deepEqual(
      failed.map(({ fields }) => [fields.failed, fields.events]),
      [['unknown', 1]],
    );
    const counted = (await world.metrics()).match(/attempts_total\{[^}]*\} \d+/g);
    assert.deepEqual(counted, ['attempts_total{service="llm",end="unknown"} 1']);
  });
});

// a volunteer hangs up, and the server goes on working for nobody.
test('a caller that leaves is cancelled at the server', async (t) => {
  const world = await World.start(t);
  world.behave('p', 'silent');
  await world.call({ path: '/book/1', leaveMs: 60 });
  await until('cancelled', () => world.servers.some(({ dropped }) => dropped === 1));
});

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

  // volunteers are refused in every cut although the budget is nearly full.
  test('is spent from the slice in hand while the store is silent', async (t) => {
    const world = await World.start(t);
    world.behave('e', 'stream');
    for (let n = 0; n < 4; n += 1) await world.generate('/chat/1', 1_000);
    await delay(400);
    world.store.fault = 'silent';
    const statuses = [];
    for (let n = 0; n < 8; n += 1) statuses.push((await world.generate('/chat/1', 1_000)).status);
    assert.deepEqual(new Set(statuses), new Set([200]));
  });

  test('is refused with 503, not 402, when only the store could tell', async (t) => {
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

  test('is refused, not waited for, while the store answers nothing', async (t) => {
    // volunteers see nothing until they hang up: their calls waited for tokens from a store that had
    // gone silent a moment ago, and neither the time limit nor the hang-up ended the wait.
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

// each change of the configuration made all instances report in the same moment: their reports conflicted
// with each other up to seventeen times, and a sixth of all calls to the store was for nothing.
test('only new limits make an instance report, and not all in the same moment', async (t) => {
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

// at rest each instance would carry its page, of up to 12 KB, over its link every two seconds.
test('an instance without news does not ask for its page', async (t) => {
  const world = await World.start(t, configWith(), { prepaid: { reportMs: 50 } });
  await until('reported', () => world.events.includes('prepaid-reported'));
  const calls = (): number => world.store.calls.filter((kind) => kind === 'prepaid-pages').length;
  const before = calls();
  await delay(500);
  assert.equal(calls(), before);
});

describe('the configuration', () => {
  test('that is newer comes into force, an older or unreadable one never', async (t) => {
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

  // a volunteer's new key is refused for good by an instance that was cut off when it was added.
  test('that may be outdated refuses nobody for good', async (t) => {
    const world = await World.start(t);
    world.store.fault = 'silent';
    await until('outdated', async () => {
      const answer = await world.call({ path: '/look/1', headers: { authorization: 'Token new' } });
      return answer.status === 503 && answer.headers['retry-after'] !== undefined;
    });
  });
});

describe('the list of servers', () => {
  // a hundred servers start or report a new state within seconds, and each change costs each instance a call.
  test('is asked for once for changes that come together', async (t) => {
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
    // one for each quarter of a second, and those that were under way at both ends.
    const most = 4 + (performance.now() - since) / 250;
    assert.ok(calls() - before <= most, `${String(calls() - before)} calls for eleven changes`);
  });

  test('without a server, and with entries that nobody can use, takes no request', async (t) => {
    const world = await World.start(t);
    world.store.put('servers', 'p1', world.server('p1').entry('ledger', { state: 'draining' }));
    world.store.put('servers', 'p2', { service: 'ledger', address: 7 });
    world.store.put('servers', 'p3', 'not an entry');
    await until('leaving', async () => (await world.call({ path: '/look/1' })).status === 503);
    assert.equal((await world.generate('/chat/1')).status, 200, 'the others hold');
  });

  // all volunteers are refused after an outage: the entries of servers that live had lapsed.
  test('that lapsed during an outage is believed only after the servers could write again', async (t) => {
    const world = await World.start(t);
    world.store.fault = 'silent';
    await delay(2_600);
    for (const { id } of world.servers) world.store.remove('servers', id);
    world.store.fault = 'none';
    await until('back', () =>
      world.log.events.some(({ event: name }) => name === 'store-regained'),
    );
    assert.equal((await world.call({ path: '/look/1' })).status, 200);
    await until('gone', async () => (await world.call({ path: '/look/1' })).status === 503);
  });

  test('is read again when its history is gone', async (t) => {
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

// a donor's listing is lost because an instance was replaced while it was written.
test('a planned stop is not ready at once and finishes what runs', async (t) => {
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

// replaced instances that nobody takes out fill the groups, and what they held lies idle.
describe('an instance that is silent for long', () => {
  const silent = { prepaid: { silentMs: 700, tendMs: 100 } };

  test('is taken out by another of its group, and what it held is in doubt', async (t) => {
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

  test('goes on when it comes back, with tokens that it fetches anew', async (t) => {
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

// a duty pilot's chat breaks off half way: the balancer found too few instances ready and went on sending
// to one that was told to stop six seconds before, which took the chat and cut it at its end.
test('a planned stop takes nothing that it could not finish', async (t) => {
  const slow = { timeout_ms: 8_000, kind: 'non_idempotent', service: 'ledger', public: true };
  const route = { ...slow, name: 'book', hostname: 'shop.example', path_prefix: '/book/' };
  const world = await World.start(t, configWith({ routes: [route] }));
  world.behave('p', 'silent');
  let ended = false;
  const running = world.call({ path: '/book/1', headers: { 'x-deadline-ms': '7000' } });
  void running.then(() => {
    ended = true;
  });
  await until('running', () => world.seen('p').length === 1);
  const stopped = world.stop();
  await until('closed', async () => (await world.call({ path: '/none/' })).status === 0);
  assert.equal(ended, false, 'the first request still runs');
  await stopped;
  assert.notEqual((await running).status, 200);
});

test('each request leaves one line with what decided it, and counts in the metrics', async (t) => {
  const world = await World.start(t);
  await world.call({ path: '/look/1', method: 'GET' });
  const ended = world.log.events.filter(({ event: name }) => name === 'request-ended');
  assert.equal(ended.length, 1);
  const { request, route, outcome, version } = ended[0]?.fields ?? {};
  assert.deepEqual(
    { request, route, outcome, version },
    { request: 'r-1', route: 'look', outcome: 'answered', version: 7 },
  );
  const metrics = await world.metrics();
  assert.match(metrics, /flamingocourse_requests_total\{route="look",outcome="answered"\} 1/);
  assert.match(metrics, /flamingocourse_request_seconds_bucket/);
  assert.match(metrics, /flamingocourse_store_calls_total\{kind="watch"\} [1-9]/);
});

describe('new settings', () => {
  // calls hang up when an operator changes a figure: the process had to be restarted for it.
  test('come into force while requests run, and what needs a restart is named', async (t) => {
    const world = await World.start(t);
    const running = world.call({ path: '/book/1' });
    assert.ok(world.settings);
    const next = { ...world.settings, stopGraceMs: 3_000, dataCentre: 'hall-b' };
    assert.deepEqual(world.reload(next), ['dataCentre']);
    assert.equal((await running).status, 200);
  });
});

// a shop is refused with 402 although none of its calls was answered: each that its servers lost was
// charged with its prompt.
test('a call of which the account got nothing is not charged', async (t) => {
  const world = await World.start(t);
  world.behave('e', 'reset');
  for (let n = 0; n < 4; n += 1) {
    assert.equal((await world.generate('/chat/1', 30_000)).status, 502);
  }
  world.behave('e', 'stream');
  assert.equal((await world.generate('/chat/1', 90_000)).status, 200);
});
