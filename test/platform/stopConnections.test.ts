import type { RawRequest } from './rawCaller.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setImmediate, setTimeout as delay } from 'node:timers/promises';
import { blockEventLoop } from './blockEventLoop.js';
import { RawCaller } from './rawCaller.js';
import { World, configWith, until } from './world.js';

/** Milliseconds that callers of these tests wait; longer than the rest of a stop. */
const LONG_MS = 7_000;
/** Milliseconds from the signal at which the listener is still open, shortly before it is closed. */
const BEFORE_CLOSE_MS = 2_480;
/** Milliseconds of a block that begins before the listener is closed and ends after it. */
const BLOCK_MS = 450;

const route = { hostname: 'shop.example', priority: 1, public: true, timeout_ms: LONG_MS };
const routes = [
  { ...route, name: 'book', path_prefix: '/book/', kind: 'non_idempotent', service: 'ledger' },
  { ...route, name: 'look', path_prefix: '/look/', kind: 'idempotent', service: 'ledger' },
  { ...route, name: 'chat', path_prefix: '/chat/', kind: 'streaming', service: 'llm' },
].map((each) => ({ ...each, target_latency_ms: 200, max_attempts: 1 }));

const first: RawRequest = { id: 'first', path: '/look/first', waitMs: LONG_MS };
const stream: RawRequest = { id: 'stream', path: '/chat/1', waitMs: LONG_MS };
const late: RawRequest = { id: 'late', path: '/book/late', waitMs: LONG_MS };

function releaseStreams(world: World): void {
  for (const server of world.servers) server.release();
}

async function answerOnce(caller: RawCaller): Promise<void> {
  caller.send(first);
  await until('the first answer', () => caller.statuses.length === 1);
}

// Guards against a lagging instance that closes a connection whose request had arrived before the listener was closed.
describe('a request that arrived before the listener is closed and is read after it', () => {
  const cases: { name: string; prepare: (caller: RawCaller) => Promise<void> }[] = [
    { name: 'on a connection kept from an earlier request', prepare: answerOnce },
    { name: 'on a connection not used before', prepare: () => Promise.resolve() },
  ];
  for (const { name, prepare } of cases) {
    test(`${name}: is answered`, async (t) => {
      const world = await World.start(t, configWith({ routes }));
      const caller = await RawCaller.connect(world.entryPort);
      await prepare(caller);
      const before = caller.statuses.length;
      world.behave('e', 'hold');
      const running = await RawCaller.connect(world.entryPort);
      running.send(stream);
      await until('a stream runs', () => world.seen('e').length === 1);
      const stopped = world.stop();
      await delay(BEFORE_CLOSE_MS);
      // from here, timers that are due run before what has arrived is read.
      await setImmediate();
      caller.send(late);
      blockEventLoop(BLOCK_MS);
      await delay(100);
      releaseStreams(world);
      await Promise.all([stopped, caller.closed]);
      assert.equal(caller.statuses.length - before, 1, 'closed without an answer');
    });
  }
});

// Guards against a request that is read behind a closing answer and closed away long after it was sent.
test('a request behind a stream that announced the close is answered, or closed within 0.2 s', async (t) => {
  const world = await World.start(t, configWith({ routes }));
  world.behave('e', 'pause');
  const caller = await RawCaller.connect(world.entryPort);
  const stopped = world.stop();
  caller.send(stream);
  await until('the stream has begun', () => caller.events === 1);
  caller.send(late);
  const sentAt = performance.now();
  await delay(600);
  releaseStreams(world);
  await caller.closed;
  const closedAfterMs = performance.now() - sentAt;
  await stopped;
  assert.ok(
    caller.statuses.length === 2 || closedAfterMs <= 200,
    `closed without an answer after ${closedAfterMs.toFixed(0)} ms`,
  );
});

// Guards against a request that waited and is sent on in the last moments of a stop, only to be given up.
describe('a request that waits for a place while its instance stops', () => {
  const cases = [
    { name: 'and gets it 60 ms before the end', beforeEndMs: 60 },
    { name: 'and gets it 20 ms before the end', beforeEndMs: 20 },
  ];
  for (const { name, beforeEndMs } of cases) {
    test(`${name}: is not sent on`, async (t) => {
      const world = await World.start(t, configWith({ routes }));
      world.behave('e', 'hold');
      const headers = { 'X-Model': 'm', 'X-Token-Usage': '1000,80', 'X-Deadline-Ms': '7000' };
      const running = Array.from({ length: 8 }, () => world.generate('/chat/1', 1_000, headers));
      await until('all places are taken', () => world.seen('e').length === 8);
      const waiting = world.generate('/chat/1', 1_000, headers);
      await delay(100);
      const endsAt = performance.now() + 4_000 - 600;
      const stopped = world.stop();
      await delay(endsAt - beforeEndMs - performance.now());
      world.server('e1').release();
      const { status } = await waiting;
      await Promise.all([stopped, ...running]);
      assert.deepEqual({ sent: world.seen('e').length, status }, { sent: 8, status: 503 });
    });
  }
});

// Guards against an answer that comes only with the rest of a body that nobody needs.
test('a request whose head cannot be decoded is refused before its body has come', async (t) => {
  const world = await World.start(t);
  const caller = await RawCaller.connect(world.entryPort);
  caller.socket.write('POST /look/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n\r\nx');
  await delay(500);
  const { statuses } = caller;
  caller.socket.destroy();
  assert.deepEqual(statuses, [400]);
});

// Guards against a stop that waits to its end for a request that it never answers.
test('a stop ends although a request came after this side of its connection was closed', async (t) => {
  const world = await World.start(t, configWith({ routes }));
  world.behave('e', 'hold');
  const running = await RawCaller.connect(world.entryPort);
  running.send(stream);
  await until('a stream runs', () => world.seen('e').length === 1);
  const caller = await RawCaller.connect(world.entryPort, { allowHalfOpen: true });
  caller.socket.once('end', () => {
    caller.send(late);
    setTimeout(() => {
      releaseStreams(world);
    }, 100);
  });
  const from = performance.now();
  await world.stop();
  const stopMs = performance.now() - from;
  caller.socket.destroy();
  assert.ok(stopMs < 3_200, `the stop took ${stopMs.toFixed(0)} ms`);
});

// Guards against a request that is sent on although its caller left, or its time passed, while it waited for its turn.
describe('a request that waits for its turn on a connection', () => {
  const cases: {
    name: string;
    behaviour: 'hold' | 'large';
    before: RawRequest;
    waitMs: number;
    meanwhile: (caller: RawCaller) => Promise<void>;
  }[] = [
    {
      name: 'and whose time passes',
      behaviour: 'hold',
      before: stream,
      waitMs: 100,
      meanwhile: () => delay(300),
    },
    {
      name: 'and whose caller closes',
      behaviour: 'hold',
      before: stream,
      waitMs: LONG_MS,
      meanwhile: async ({ socket }) => {
        socket.destroy();
        await delay(100);
      },
    },
    {
      name: 'and whose caller ends its side while the answer before is not read yet',
      behaviour: 'large',
      before: { id: 'large', path: '/look/1', waitMs: LONG_MS },
      waitMs: LONG_MS,
      meanwhile: async ({ socket }) => {
        await delay(200);
        socket.end();
        await delay(100);
        socket.resume();
      },
    },
  ];
  for (const { name, behaviour, before, waitMs, meanwhile } of cases) {
    test(`${name}: runs nowhere`, async (t) => {
      const world = await World.start(t, configWith({ routes }));
      world.behave('e', 'hold');
      if (behaviour === 'large') world.behave('p', 'large');
      const caller = await RawCaller.connect(world.entryPort, { allowHalfOpen: true });
      if (behaviour === 'large') caller.socket.pause();
      caller.send(before, { ...late, waitMs });
      await until('the one before was sent', () => {
        return world.servers.some(({ seen }) => seen.length > 0);
      });
      await meanwhile(caller);
      releaseStreams(world);
      await delay(500);
      caller.socket.destroy();
      const ran = world.seen('p').filter(({ url }) => url === late.path).length;
      assert.equal(ran, 0, `sent on, answered ${String(caller.statuses)}`);
    });
  }
});
