import type { EngineStandIn, EngineStandInOptions } from '@flamingocourse/lab';
import type { EntryBench } from './fixtures/entryBench.js';
import assert from 'node:assert/strict';
import { afterEach, test } from 'node:test';
import { createEngineStandIn, expectedAnswer } from '@flamingocourse/lab';
import { waitUntil } from '../lab/engineClient.js';
import { call, chatBody, readEvents, startBench } from './fixtures/entryBench.js';

const FAST = { decodeMs: 1, decodeMsPerRequest: 0, prefillMsPerToken: 0 };
const CLAIM_FAULT = new Error('a claim that cannot be read');
const cleanUps: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const cleanUp of cleanUps.splice(0).reverse()) await cleanUp();
});

async function engine(options: EngineStandInOptions = {}): Promise<EngineStandIn> {
  const started = await createEngineStandIn({ ...FAST, ...options });
  cleanUps.push(() => started.stop());
  return started;
}

async function bench(
  urls: string[],
  overrides?: Parameters<typeof startBench>[1],
): Promise<EntryBench> {
  const started = await startBench({ llm: urls }, overrides);
  cleanUps.push(() => started.stop());
  return started;
}

function textOf(words: number): string {
  return expectedAnswer([{ role: 'user', content: `beds words=${words}` }], 0, 600);
}

interface Completion {
  choices: { message: { content: string }; finish_reason: string }[];
  usage: { prompt_tokens: number; completion_tokens: number };
}

test('an answer that is not streamed is one completion with its usage, which is billed', async () => {
  const { url } = await engine();
  const router = await bench([url]);
  const res = await call(router, '/v1/chat/completions', { body: chatBody(12, false) });
  const answer = (await res.json()) as Completion;
  assert.equal(answer.choices[0]?.message.content, textOf(12));
  assert.equal(answer.choices[0].finish_reason, 'stop');
  assert.deepEqual(answer.usage, { prompt_tokens: 6, completion_tokens: 12, total_tokens: 18 });
  assert.deepEqual(
    router.money.bills.map((bill) => bill.cost),
    [18],
  );
  assert.equal(router.money.held, 0);
});

// Guards against a claim that ends the process, because it fails while its request still runs.
test('a request whose claim fails meanwhile gets an answer, and the next ones are served', async () => {
  const { url } = await engine({ decodeMs: 5 });
  const reported: unknown[] = [];
  const router = await bench([url], { onFailure: (err) => reported.push(err) });
  const failed = Promise.reject(CLAIM_FAULT);
  failed.catch(() => undefined);
  router.money.claimed = failed;
  const body = chatBody(12, false);
  const headers = { 'idempotency-key': 'claim-fails' };
  const res = await call(router, '/v1/chat/completions', { body, headers });
  await res.text();
  assert.ok(res.status >= 500, String(res.status));
  assert.ok(reported.includes(CLAIM_FAULT));
  router.money.claimed = Promise.resolve();
  const next = await call(router, '/v1/chat/completions', { body });
  await next.text();
  assert.equal(next.status, 200);
});

// Guards against an unbilled answer: a router could crash between the final event and the bill. The
// final event is therefore sent after the bill is stored.
test('the final event waits for the bill', async () => {
  const { url } = await engine();
  const router = await bench([url]);
  let storeBill: () => void = () => undefined;
  router.money.billStored = new Promise((resolve) => (storeBill = resolve));
  const res = await call(router, '/v1/chat/completions', { body: chatBody(10, true) });
  const reader = (res.body as ReadableStream<Uint8Array>).getReader();
  let text = '';
  while (!router.money.steps.includes('bill') || !text.includes(textOf(10).slice(-4))) {
    text += Buffer.from((await reader.read()).value ?? []).toString();
  }
  assert.equal(readEvents(text).done, false);
  storeBill();
  for (let part = await reader.read(); !part.done; part = await reader.read()) {
    text += Buffer.from(part.value).toString();
  }
  assert.deepEqual(readEvents(text), { content: textOf(10), done: true, error: false });
});

// Guards against answers that stop when their engine crashes. The router resumes on another engine
// after the last word; repeated or missing words would give a wrong text.
for (const crashAfterTokens of [1, 5, 11]) {
  test(`a crash after ${crashAfterTokens} tokens is not visible to the caller`, async () => {
    const first = await engine({ faults: { crashAfterTokens } });
    const second = await engine();
    const router = await bench([first.url, second.url]);
    const lengths = [12, 13, 14, 15, 16, 17];
    const answers = await Promise.all(
      lengths.map(async (words) => {
        const res = await call(router, '/v1/chat/completions', { body: chatBody(words, true) });
        return readEvents(await res.text());
      }),
    );
    const whole = lengths.map((words) => ({ content: textOf(words), done: true, error: false }));
    assert.deepEqual(answers, whole);
    assert.equal(first.counters.crashes, 1, 'the engine did not crash, so nothing was tried');
    // a resumed answer costs as much as an uninterrupted one: 6 prompt tokens plus its words.
    const costs = router.money.bills.map((bill) => bill.cost).sort((a, b) => a - b);
    assert.deepEqual(
      costs,
      lengths.map((words) => words + 6),
    );
  });
}

// Guards against repeated words and words of another request: the engine repeats events, or sends
// late events of an attempt that has ended.
for (const faults of [{ duplicateChunks: 0.5 }, { lateChunks: 0.5 }]) {
  test(`output with ${Object.keys(faults).join()} is corrected`, async () => {
    const { url } = await engine({ faults });
    const router = await bench([url]);
    const res = await call(router, '/v1/chat/completions', { body: chatBody(30, true) });
    assert.equal(readEvents(await res.text()).content, textOf(30));
  });
}

// Guards against missing words in the middle of an answer: a late event of an ended attempt had a
// higher event number, so the running attempt's own events were dropped as repeated.
test('a late event of an earlier, longer attempt does not drop words', async () => {
  const { url } = await engine({ faults: { lateChunks: 0.5 } });
  const router = await bench([url]);
  for (const words of [30, 8, 40, 20]) {
    const res = await call(router, '/v1/chat/completions', { body: chatBody(words, true) });
    assert.equal(readEvents(await res.text()).content, textOf(words));
  }
});

// The connection breaks while the answer is produced and the client sends the request again: both
// must share one run and one bill, and the retry gets the whole answer.
test('a retry with the same key joins the running request', async () => {
  const { url, counters } = await engine({ decodeMs: 5 });
  const router = await bench([url]);
  const headers = { 'idempotency-key': 'k1' };
  const options = { body: chatBody(30, true), headers };
  const abort = new AbortController();
  const broken = await call(router, '/v1/chat/completions', { ...options, signal: abort.signal });
  abort.abort();
  const retried = await call(router, '/v1/chat/completions', options);
  assert.equal(readEvents(await retried.text()).content, textOf(30));
  const id = 'flamingocourse-request-id';
  assert.equal(broken.headers.get(id), retried.headers.get(id));
  assert.equal(router.money.bills.length, 1);
  assert.equal(counters.requests, 1);
});

test('a request without key or ticket is cancelled and billed when its caller disconnects', async () => {
  const stoppable = await engine({ decodeMs: 5 });
  const router = await bench([stoppable.url]);
  const abort = new AbortController();
  const body = chatBody(500, true);
  await call(router, '/v1/chat/completions', { body, signal: abort.signal });
  abort.abort();
  await waitUntil(() => router.money.bills.length === 1 && stoppable.counters.cancelled === 1);
  assert.ok((router.money.bills[0]?.completionTokens ?? 500) < 500);
  assert.equal(router.money.held, 0);
});

// A router was paused, sealed by its peers and resumed: the engine's answer is complete but cannot be
// billed. The caller must be able to see that its answer is not valid.
test('an answer whose bill cannot be stored gets no final event', async () => {
  const { url } = await engine();
  const router = await bench([url]);
  router.money.billRefusal = { reason: 'outcome-unknown', run: 'unknown', detail: 'sealed' };
  const res = await call(router, '/v1/chat/completions', { body: chatBody(10, true) });
  const events = readEvents(await res.text());
  assert.deepEqual([events.done, events.error], [false, true]);
});

// The wait in the queue exceeds the deadline. A request that is refused as "not run" must not run
// later.
test('a request whose deadline passes in the queue is refused as not run and never runs', async () => {
  const busy = await engine({ slots: 2, decodeMs: 20 });
  const router = await bench([busy.url]);
  const long = [1, 2].map(() =>
    call(router, '/v1/chat/completions', { body: chatBody(60, false) }),
  );
  await new Promise((resolve) => setTimeout(resolve, 100));
  const res = await call(router, '/v1/chat/completions', {
    body: chatBody(8, false),
    headers: { 'flamingocourse-deadline-ms': '150' },
  });
  const problem = (await res.json()) as { reason: string; run: string };
  assert.deepEqual([problem.reason, problem.run], ['deadline-passed', 'not-run']);
  assert.notEqual(res.headers.get('retry-after'), null);
  await Promise.all(long);
  assert.equal(busy.counters.requests, 2);
});

// A caller does not read its answer. It must not delay other callers, and the router closes its
// connection after `slowReaderMs` to free the memory.
test('a slow reader is disconnected and does not delay other callers', async () => {
  const { url } = await engine({ slots: 8 });
  const router = await bench([url], { slowReaderMs: 100 });
  const padded = { ...chatBody(600, true), user: 'x'.repeat(100) };
  const slow = await call(router, '/v1/chat/completions', { body: padded });
  const quick = await call(router, '/v1/chat/completions', { body: chatBody(12, true) });
  assert.equal(readEvents(await quick.text()).content, textOf(12));
  await slow.body?.cancel();
});

// A request crashes every server that runs it, and its caller keeps retrying it.
test('a request is refused after it crashed two servers, and other requests are served', async () => {
  const servers = await Promise.all([1, 2, 3, 4].map(() => engine({ restartAfterMs: 50 })));
  const router = await bench(servers.map((server) => server.url));
  const crashingBody = { model: 'chat', messages: [{ role: 'user', content: 'crash-the-engine' }] };
  const otherRequests = Promise.all(
    Array.from({ length: 6 }, () =>
      call(router, '/v1/chat/completions', { body: chatBody(40, false) }),
    ),
  );
  const first = await call(router, '/v1/chat/completions', { body: crashingBody });
  assert.notEqual(first.status, 200);
  const repeated = await call(router, '/v1/chat/completions', { body: crashingBody });
  const problem = (await repeated.json()) as { reason: string };
  assert.equal(problem.reason, 'quarantined');
  const crashes = servers.reduce((sum, server) => sum + server.counters.crashes, 0);
  assert.equal(crashes, 2);
  for (const res of await otherRequests) assert.equal(res.status, 200);
});
