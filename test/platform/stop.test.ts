import type { TestContext } from 'node:test';
import type { RawRequest } from './rawCaller.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { blockEventLoop } from './blockEventLoop.js';
import { LARGE_BYTES } from './fakeServer.js';
import { RawCaller } from './rawCaller.js';
import { World, configWith, until } from './world.js';

/** Milliseconds that callers of these tests wait; longer than the rest of a stop. */
const LONG_MS = 7_000;

/** Grace period of these instances in milliseconds. */
const GRACE_MS = 4_000;
/** Milliseconds for which an instance handles nothing before it is asked to stop. */
const LAG_MS = 1_200;
/** Milliseconds from the stop until a stream goes on; just before the last sixth of the grace period. */
const RELEASE_MS = (GRACE_MS * 5) / 6 - 300;

const route = { hostname: 'shop.example', priority: 1, public: true, timeout_ms: LONG_MS };
const routes = [
  { ...route, name: 'book', path_prefix: '/book/', kind: 'non_idempotent', service: 'ledger' },
  { ...route, name: 'look', path_prefix: '/look/', kind: 'idempotent', service: 'ledger' },
  { ...route, name: 'chat', path_prefix: '/chat/', kind: 'streaming', service: 'llm' },
].map((each) => ({ ...each, target_latency_ms: 200, max_attempts: 1 }));

const stream: RawRequest = { id: 'stream', path: '/chat/1', waitMs: LONG_MS };
const late: RawRequest = { id: 'late', path: '/book/late', waitMs: LONG_MS };

/** A stopping instance whose listener is closed and in which a stream still runs. */
interface StoppingWorld {
  world: World;
  /** Connection of the stream. */
  streaming: RawCaller;
  /** Connection that was opened before the stop and on which nothing was sent. */
  unused: RawCaller;
  stopped: Promise<void>;
}

async function startStopping(t: TestContext): Promise<StoppingWorld> {
  const world = await World.start(t, configWith({ routes }));
  world.behave('e', 'pause');
  world.behave('p', 'silent');
  const streaming = await RawCaller.connect(world.entryPort);
  const unused = await RawCaller.connect(world.entryPort);
  streaming.send(stream);
  await until('the stream has begun', () => streaming.events === 1);
  const stopped = world.stop();
  await until('the listener is closed', async () => (await world.call({ path: '/' })).status === 0);
  return { world, streaming, unused, stopped };
}

function releaseStreams(world: World): void {
  for (const server of world.servers) server.release();
}

// Guards against a stopping instance that sends a request on although it ends before the answer can come.
describe('a request that reaches a stopping instance on an open connection', () => {
  const cases: {
    name: string;
    send: (stopping: StoppingWorld) => Promise<RawCaller>;
  }[] = [
    {
      name: 'sent when the stream before it has ended',
      send: async ({ world, streaming }) => {
        const { socket } = streaming;
        const sendAtEnd = (): void => {
          if (!streaming.hasStreamEnd) return;
          socket.off('data', sendAtEnd);
          streaming.send(late);
        };
        socket.on('data', sendAtEnd);
        releaseStreams(world);
        await until('the stream has ended', () => streaming.hasStreamEnd);
        return streaming;
      },
    },
    {
      name: 'sent while the stream before it runs',
      send: async ({ world, streaming }) => {
        streaming.send(late);
        await delay(50);
        releaseStreams(world);
        return streaming;
      },
    },
    {
      name: 'the first one on its connection',
      send: ({ unused }) => {
        unused.send(late);
        return Promise.resolve(unused);
      },
    },
  ];
  for (const { name, send } of cases) {
    test(`${name}: is refused or left unread, and runs nowhere`, async (t) => {
      const stopping = await startStopping(t);
      const caller = await send(stopping);
      await stopping.stopped;
      await caller.closed;
      const answers = caller.statuses.slice(caller === stopping.streaming ? 1 : 0);
      assert.equal(stopping.world.seen('p').length, 0, `sent on, answered ${String(answers)}`);
      assert.ok(answers.every((status) => status === 503));
    });
  }
});

// Guards against a request that runs and whose answer is lost, because the answer before it closes the connection.
test('a request behind one whose answer closes the connection is answered or runs nowhere', async (t) => {
  const world = await World.start(t, configWith({ routes }));
  world.behave('e', 'hold');
  world.behave('p', 'answer');
  const caller = await RawCaller.connect(world.entryPort);
  caller.send(stream, late);
  await until('the stream was sent', () => world.seen('e').length === 1);
  // long enough for the second request to be sent as well, if it does not wait for the first.
  await delay(100);
  const stopped = world.stop();
  releaseStreams(world);
  await Promise.all([stopped, caller.closed]);
  const ran = world.seen('p').length;
  assert.equal(caller.statuses[0], 200);
  assert.ok(ran <= caller.statuses.length - 1, `${String(ran)} ran, ${String(caller.statuses)}`);
});

// Guards against a caller that learns nothing of its request when the instance's time to stop is over.
test('a request that runs at the end of a stop gets an answer that promises nothing', async (t) => {
  const world = await World.start(t, configWith({ routes }));
  world.behave('p', 'silent');
  const caller = await RawCaller.connect(world.entryPort);
  caller.send(late);
  await until('running', () => world.seen('p').length === 1);
  await world.stop();
  await caller.closed;
  assert.equal(caller.statuses.length, 1);
  assert.ok([502, 504].includes(caller.statuses[0] ?? 0), String(caller.statuses));
});

// Guards against an answer that is cut off because its caller reads slowly while the instance stops.
test('a large answer is delivered whole to a caller that reads slowly', async (t) => {
  const world = await World.start(t, configWith({ routes }));
  world.behave('p', 'large');
  const caller = await RawCaller.connect(world.entryPort);
  caller.socket.pause();
  caller.send({ id: 'large', path: '/look/1', waitMs: LONG_MS });
  await until('answered', () => world.ended('answered') === 1);
  const stopped = world.stop();
  await until('the listener is closed', async () => (await world.call({ path: '/' })).status === 0);
  await delay(200);
  caller.socket.resume();
  await Promise.all([stopped, caller.closed]);
  assert.ok(caller.bytes > LARGE_BYTES, `${String(caller.bytes)} bytes received`);
});

// Guards against a stream that is cut before the last sixth of the grace period, because the instance can't tell when in a lag it was asked to stop.
test('an instance that lags when it is asked to stop lets streams go on, and answers the others', async (t) => {
  const world = await World.start(t, configWith({ routes }));
  world.behave('e', 'pause');
  world.behave('p', 'silent');
  const streaming = await RawCaller.connect(world.entryPort);
  const waiting = await RawCaller.connect(world.entryPort);
  streaming.send(stream);
  waiting.send(late);
  await until('both were sent', () => streaming.events === 1 && world.seen('p').length === 1);
  const from = performance.now();
  blockEventLoop(LAG_MS);
  const stopped = world.stop();
  await delay(RELEASE_MS);
  const { statuses } = waiting;
  releaseStreams(world);
  await Promise.all([stopped, streaming.closed]);
  const stoppedMs = performance.now() - from;
  assert.deepEqual(
    { statuses, hasStreamEnd: streaming.hasStreamEnd },
    { statuses: [502], hasStreamEnd: true },
  );
  assert.ok(stoppedMs < GRACE_MS + LAG_MS, `the stop took ${stoppedMs.toFixed(0)} ms`);
});
