import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { event } from './fakeServer.js';
import { World, configWith, until } from './world.js';

const wholeStream = [1, 2, 3, 4].map((id) => event(id)).join('');

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
    {
      name: 'with a prompt that no server can hold',
      call: { path: '/chat/', method: 'POST', headers: { 'x-token-usage': '1000001,10' } },
      status: 413,
    },
  ];
  for (const { name, call, status } of cases) {
    test(`${name} gets ${String(status)} and runs nowhere`, async (t) => {
      const world = await World.start(t);
      assert.equal((await world.call(call)).status, status);
      assert.equal(world.seen('p').length, 0);
      assert.equal(world.seen('e').length, 0);
    });
  }
});

describe('an answer that may not be passed on', () => {
  // Guards against a request reported as not run although it ran, an answer that belongs to another
  // request, and a request that is executed twice.
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

test('failures that must not be retried do not use the retry budget', async (t) => {
  // Guards against failed requests that take one of the few retries without making it. While a server
  // resets connections, other requests then fail although another server would have answered them.
  const world = await World.start(t);
  assert.ok(world.settings);
  // of three and of four requests one may be retried.
  world.reload({ ...world.settings, retries: { ratio: 0.5, slack: 0, windowMs: 60_000 } });
  for (const path of ['/look/1', '/look/2']) await world.call({ path });
  world.behave('p', 'reset');
  assert.equal((await world.call({ path: '/book/1' })).status, 502);
  assert.equal((await world.call({ path: '/look/1' })).status, 502);
  assert.equal(world.seen('p').length, 2 + 3);
});

describe('a stream whose server breaks off in the middle of an event', () => {
  // Guards against a stream that ends half way, or repeats text where another server resumed it.
  test('is resumed at another server without a gap or a repetition', async (t) => {
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
    // exactly one log line and one count, so that one failure is not taken for two.
    const failed = world.log.events.filter(({ event: name }) => name === 'attempt-failed');
    assert.deepEqual(
      failed.map(({ fields }) => [fields.failed, fields.events]),
      [['unknown', 1]],
    );
    const counted = (await world.metrics()).match(/attempts_total\{[^}]*\} \d+/g);
    assert.deepEqual(counted, ['attempts_total{service="llm",end="unknown"} 1']);
  });
});

// Guards against a server that continues to work for a caller that has disconnected.
test('the request of a caller that disconnects is cancelled at the server', async (t) => {
  const world = await World.start(t);
  world.behave('p', 'silent');
  const caller = await world.sendOpen('/book/1');
  await until('a server has the request', () => world.seen('p').length === 1);
  caller.destroy();
  await until('cancelled', () => world.servers.some(({ dropped }) => dropped === 1));
});

// Guards against processing a request after its caller gave up, because a busy instance read it two
// seconds late.
describe('a request whose caller disconnected before it was read', () => {
  const kinds = [
    { name: 'that may be repeated', path: '/look/1', server: 'p' },
    { name: 'that must not be repeated', path: '/book/1', server: 'p' },
    { name: 'for a generation', path: '/chat/1', server: 'e' },
  ] as const;
  for (const { name, path, server } of kinds) {
    test(`${name} reaches no server`, async (t) => {
      const world = await World.start(t);
      world.behave('e', 'stream');
      // over connections that are already open, requests are forwarded without delay.
      await Promise.all(Array.from({ length: 10 }, () => world.call({ path })));
      const before = world.seen(server).length;
      for (let sent = 0; sent < 5; sent += 1) await world.sendAndLeave(path);
      await until('all have ended', () => world.ended('gone') === 5);
      assert.equal(world.seen(server).length - before, 0);
    });
  }
});

// Guards against a stopping instance that accepts a stream and cuts it off at its own end. The load balancer
// found too few ready instances and continued to send to one that had been stopping for six seconds.
test('a planned stop accepts nothing that it could not finish', async (t) => {
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

test('each request writes one log line with its outcome, and is counted in the metrics', async (t) => {
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
