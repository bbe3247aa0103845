import type { EntryBench } from './fixtures/entryBench.js';
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { until } from '../money/fixtures/moneyFleet.js';
import { call, chatBody, startBench } from './fixtures/entryBench.js';

let router: EntryBench;

before(async () => {
  router = await startBench({});
});

after(async () => {
  await router.stop();
});

const chat = '/v1/chat/completions';

const cases: {
  name: string;
  path?: string;
  body?: unknown;
  headers?: Record<string, string>;
  status: number;
  reason: string;
}[] = [
  {
    name: 'a wrong key',
    headers: { authorization: 'Bearer no' },
    status: 401,
    reason: 'unauthenticated',
  },
  {
    name: 'an unknown model',
    body: { model: 'x', messages: [{ role: 'user' }] },
    status: 404,
    reason: 'unknown-service',
  },
  {
    name: 'no messages',
    body: { model: 'chat', messages: [] },
    status: 400,
    reason: 'bad-request',
  },
  { name: 'an unknown path', path: '/v2/nothing', status: 404, reason: 'unknown-service' },
  {
    name: 'a malformed name of a service',
    path: '/services/%zz/x',
    status: 404,
    reason: 'unknown-service',
  },
  {
    name: 'a model service by path',
    path: '/services/llm/x',
    status: 404,
    reason: 'unknown-service',
  },
  {
    name: 'an unknown class',
    headers: { 'flamingocourse-class': 'x' },
    status: 400,
    reason: 'unknown-class',
  },
  {
    name: 'a deadline that is not a number',
    headers: { 'flamingocourse-deadline-ms': 'soon' },
    status: 400,
    reason: 'bad-request',
  },
  {
    name: 'a key that is too long',
    headers: { 'idempotency-key': 'k'.repeat(201) },
    status: 400,
    reason: 'bad-request',
  },
  {
    name: 'key and ticket together',
    headers: { 'idempotency-key': 'k', 'flamingocourse-ticket': 't' },
    status: 400,
    reason: 'bad-request',
  },
  {
    name: 'a ticket that no router issued',
    headers: { 'flamingocourse-ticket': 'a.b' },
    status: 400,
    reason: 'bad-request',
  },
  {
    // Guards against an internal error where the body is walked to find its prefix.
    name: 'a body that is nested too deeply',
    body: { model: 'chat', messages: [{ role: 'user', content: deepArray(200) }] },
    status: 400,
    reason: 'bad-request',
  },
  {
    name: 'a body that is too large',
    body: { model: 'chat', messages: [{ role: 'user', content: 'x'.repeat(70_000) }] },
    status: 413,
    reason: 'too-large',
  },
  { name: 'a service without servers', status: 503, reason: 'no-backend-server' },
];

for (const { name, path = chat, body = chatBody(8, false), headers, status, reason } of cases) {
  test(`${name} is refused as not run, with its reason`, async () => {
    const res = await call(router, path, { body, ...(headers ? { headers } : {}) });
    const problem = (await res.json()) as { status: number; reason: string; run: string };
    assert.equal(res.status, status);
    assert.equal(res.headers.get('content-type'), 'application/problem+json');
    assert.deepEqual([problem.status, problem.reason, problem.run], [status, reason, 'not-run']);
  });
}

test('a budget refusal is passed on unchanged, with the time after which to retry', async () => {
  router.money.refusal = {
    reason: 'budget-exhausted',
    run: 'not-run',
    detail: 'top up',
    retryAfterMs: 1_500,
  };
  const res = await call(router, chat, { body: chatBody(8, true) });
  router.money.refusal = undefined;
  assert.equal(res.status, 402);
  assert.equal(res.headers.get('retry-after'), '2');
});

// Guards against "not run" said of a retry whose first try ran at another router and lost its reply.
const unchecked = [
  { name: 'a key whose claim has not been read', key: true, run: 'unknown' },
  { name: 'neither key nor ticket', key: false, run: 'not-run' },
];

for (const { name, key, run } of unchecked) {
  test(`a refusal of a request with ${name} says ${run}`, async () => {
    router.money.refusal = { reason: 'budget-exhausted', run: 'not-run', detail: 'top up' };
    const headers = key ? { 'idempotency-key': 'seen-elsewhere' } : {};
    const res = await call(router, chat, { body: chatBody(8, true), headers });
    router.money.refusal = undefined;
    assert.equal(((await res.json()) as { run: string }).run, run);
  });
}

// Guards against a key that stays claimed by a refused request, because the claim is answered only
// after the refusal and nothing releases it then.
test('a refused request releases its key when its claim is answered', async () => {
  const { money } = router;
  let answerClaims: () => void = () => undefined;
  money.claimed = new Promise((resolve) => (answerClaims = resolve));
  money.steps.length = 0;
  const headers = { 'idempotency-key': 'refused-early' };
  const res = await call(router, chat, { body: chatBody(8, true), headers });
  assert.equal(res.ok, false);
  assert.deepEqual(money.steps, ['reserve']);
  answerClaims();
  await res.text();
  await until(() => money.steps.includes('give-up'));
  assert.deepEqual(money.steps, ['reserve', 'claim', 'give-up']);
  assert.equal(money.claims.size, 0);
});

/** Arrays within each other. */
function deepArray(levels: number): unknown {
  return levels === 0 ? [] : [deepArray(levels - 1)];
}

// Guards against a connection that is closed without an answer, because the name of a ticket is malformed.
test('a malformed ticket gets the answer of an unknown one', async () => {
  const [malformed, unknown] = await Promise.all([
    call(router, '/v1/requests/%zz'),
    call(router, '/v1/requests/none'),
  ]);
  assert.equal(malformed.status, unknown.status);
});
