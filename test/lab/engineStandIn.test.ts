import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { after, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import {
  countPromptTokens,
  createEngineStandIn,
  expectedAnswer,
  type EngineStandInOptions,
  type EngineStandIn,
} from '@flamingocourse/lab';
import { readStream, userPrompt, waitUntil } from './engineClient.js';

const FAST = { decodeMs: 1, decodeMsPerRequest: 0, prefillMsPerToken: 0 };
const engines: EngineStandIn[] = [];

after(async () => {
  await Promise.all(engines.map((engine) => engine.stop()));
});

async function startEngine(options: EngineStandInOptions = {}): Promise<EngineStandIn> {
  const engine = await createEngineStandIn({ ...FAST, ...options });
  engines.push(engine);
  return engine;
}

test('a stream carries one token a chunk, its own id, the usage and an end', async () => {
  const engine = await startEngine();
  const messages = userPrompt('describe the oak wardrobe words=12');
  const seen = await readStream(engine.url, messages, { requestId: 'nonce-7' });
  assert.equal(seen.tokens.join(''), expectedAnswer(messages, 0, 512));
  assert.equal(seen.tokens.length, 12);
  assert.deepEqual(new Set(seen.ids), new Set(['nonce-7']));
  assert.equal(seen.usage?.completion_tokens, 12);
  assert.equal(seen.usage.prompt_tokens, countPromptTokens(messages));
  assert.ok(seen.done);
});

for (const cut of [1, 5, 11]) {
  test(`a stream cut after ${cut} tokens and resumed elsewhere equals the whole`, async () => {
    const first = await startEngine();
    const second = await startEngine({ seed: 2 });
    const messages = userPrompt('season summary words=12');
    const head = await readStream(first.url, messages, { stopAfter: cut });
    const text = head.tokens.slice(0, cut).join('');
    const tail = await readStream(second.url, [...messages, { role: 'assistant', content: text }], {
      body: { continue_final_message: true, add_generation_prompt: false, max_tokens: 512 - cut },
    });
    assert.equal(text + tail.tokens.join(''), expectedAnswer(messages, 0, 512));
  });
}

// A faulty router may resume a stream one token too early or with the words of another answer. The
// stand-in must not hide that by continuing with the correct words.
test('a wrong resumption is not continued with the words of the right answer', async () => {
  const engine = await startEngine();
  const messages = userPrompt('what is in stock words=12');
  const wrong = { role: 'assistant', content: expectedAnswer(userPrompt('other'), 0, 3) };
  const tail = await readStream(engine.url, [...messages, wrong], {
    body: { continue_final_message: true },
  });
  const right = expectedAnswer(messages, 0, 512);
  assert.ok(tail.tokens.every((token) => !right.includes(token.trim())));
});

// If callers that disconnected kept their slots, an idle engine would let new callers wait.
test('a caller that disconnects frees its slot', async () => {
  const engine = await startEngine({ slots: 1 });
  await readStream(engine.url, userPrompt('words=4000'), { stopAfter: 2 });
  await waitUntil(() => engine.runningRequests === 0);
  assert.equal(engine.counters.cancelled, 1);
  const next = await readStream(engine.url, userPrompt('words=5'));
  assert.equal(next.tokens.length, 5);
});

test('a waiting request with a lower priority number runs first', async () => {
  const engine = await startEngine({ slots: 1 });
  const order: string[] = [];
  const ask = async (name: string, priority: number): Promise<void> => {
    await readStream(engine.url, userPrompt(`${name} words=20`), { body: { priority } });
    order.push(name);
  };
  const blocker = ask('blocker', 0);
  await waitUntil(() => engine.runningRequests === 1);
  const background = ask('background', 9);
  await waitUntil(() => engine.waitingRequests === 1);
  const first = ask('first', 1);
  await Promise.all([blocker, background, first]);
  assert.deepEqual(order, ['blocker', 'first', 'background']);
});

test('a prompt seen before is cached in blocks and read faster', async () => {
  const engine = await startEngine({ cacheEventLagMs: 0, cacheEventLoss: 0 });
  const prompt = userPrompt(`${'shared '.repeat(64)} words=8`);
  const cached: unknown[] = [];
  for (let turn = 0; turn < 2; turn += 1) {
    const seen = await readStream(engine.url, prompt);
    cached.push((seen.usage as { prompt_tokens_details?: unknown }).prompt_tokens_details);
  }
  assert.deepEqual(cached, [{ cached_tokens: 0 }, { cached_tokens: 64 }]);
  const res = await fetch(`${engine.url}/cache-events?after=0`);
  const { events } = (await res.json()) as { events: { type: string }[] };
  assert.equal(events.filter((event) => event.type === 'stored').length, 4);
});

// A request that crashes its server also breaks the other streams of that server.
test('a marked request crashes the engine with all its streams, and it restarts', async () => {
  const engine = await startEngine({ restartAfterMs: 30 });
  const neighbour = readStream(engine.url, userPrompt('words=2000'));
  await waitUntil(() => engine.runningRequests === 1);
  const crashing = await readStream(engine.url, userPrompt('please crash-the-engine'));
  assert.equal(crashing.done, false);
  assert.equal((await neighbour).done, false);
  await waitUntil(() => engine.running);
  assert.ok((await readStream(engine.url, userPrompt('again'))).done);
});

// The engine may send an event twice, or an event of an attempt that has ended. A caller would read a
// word twice or a word of another answer. Only event number and id distinguish these events.
const disturbances = [
  { fault: { duplicateChunks: 1 }, foreign: 0, repeated: 8 },
  { fault: { lateChunks: 1 }, foreign: 8, repeated: 0 },
];
for (const { fault, foreign, repeated } of disturbances) {
  test(`${Object.keys(fault).join()} leaves the answer recognisable by id and number`, async () => {
    const engine = await startEngine();
    await readStream(engine.url, userPrompt('other words=8'), { requestId: 'other' });
    engine.setFaults(fault);
    const messages = userPrompt('mine words=8');
    const seen = await readStream(engine.url, messages, { requestId: 'mine' });
    const own = seen.tokens.map((_, at) => at).filter((at) => seen.ids[at] === 'mine');
    const numbers = own.map((at) => seen.eventNumbers[at]);
    const once = own.filter((_, at) => numbers.indexOf(numbers[at]) === at);
    assert.equal(seen.tokens.length - own.length, foreign);
    assert.equal(own.length - once.length, repeated);
    assert.equal(once.map((at) => seen.tokens[at]).join(''), expectedAnswer(messages, 0, 512));
  });
}

const statusCases = [
  { name: 'leaving', faults: { leaving: true }, chat: 503, health: 503 },
  { name: 'failing', faults: { errorRate: 1 }, chat: 500, health: 200 },
];
for (const { name, faults, chat, health } of statusCases) {
  test(`a ${name} engine answers ${chat}, its health ${health}`, async () => {
    const engine = await startEngine({ faults });
    const body = JSON.stringify({ messages: userPrompt('hello') });
    const res = await fetch(`${engine.url}/v1/chat/completions`, { method: 'POST', body });
    assert.equal(res.status, chat);
    assert.equal((await fetch(`${engine.url}/health`)).status, health);
  });
}

for (const { checksFencing, status } of [
  { checksFencing: true, status: 409 },
  { checksFencing: false, status: 200 },
]) {
  test(`an old order gets ${status} where checksFencing is ${checksFencing}`, async () => {
    const engine = await startEngine({ checksFencing });
    const statuses = [];
    for (const number of [5, 4]) {
      const res = await fetch(`${engine.url}/v1/load_lora_adapter`, {
        method: 'POST',
        headers: { 'x-fencing-number': String(number) },
        body: JSON.stringify({ lora_name: `a${number}` }),
      });
      statuses.push(res.status);
    }
    assert.deepEqual(statuses, [200, status]);
  });
}

// When the engine runs as its own process, a crash must end the process, not only its connections.
test('the engine process ends when a marked request runs', async () => {
  const main = fileURLToPath(
    new URL('../../packages/lab/src/node/engineStandIn/main.ts', import.meta.url),
  );
  const args = ['--conditions=@flamingocourse/source', '--import=tsx', main];
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] });
  const [line] = (await once(child.stdout, 'data')) as [Buffer];
  const { url } = JSON.parse(line.toString()) as { url: string };
  const ended = once(child, 'exit');
  assert.equal((await readStream(url, userPrompt('crash-the-engine'))).done, false);
  assert.deepEqual(await ended, [70, null]);
});
