import type { TestContext } from 'node:test';
import type { AddressInfo } from 'node:net';
import assert from 'node:assert/strict';
import { Agent, createServer } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'node:test';
import { ServerAgent, openAttempt } from '@flamingocourse/gateway';
import { BodyBuffers, exchange, startTimeLimit } from '@flamingocourse/kernel';
import { blockEventLoop } from '../platform/blockEventLoop.js';

const LIMIT_MS = 100;
const BLOCK_MS = 250;

/**
 * Starts a server that answers immediately; it then blocks the event loop for longer than the
 * limit.
 */
async function serve(
  t: TestContext,
  blockedAt: 'connection' | 'answer',
): Promise<{ url: string; port: number }> {
  const server = createServer((req, res) => {
    req.resume();
    res.end('{}');
    if (blockedAt === 'answer') blockEventLoop(BLOCK_MS);
  });
  if (blockedAt === 'connection')
    server.on('connection', () => {
      blockEventLoop(BLOCK_MS);
    });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${String(port)}`, port };
}

// Guards against a request that is refused at once, because its route and its caller allow it more than 25 days.
test('a time limit that no timer can have does not expire at once', async (t) => {
  for (const ms of [2 ** 31, 1e12, 1e300, Infinity]) {
    const limit = startTimeLimit(ms);
    t.after(() => {
      limit.end();
    });
    await delay(10);
    assert.equal(limit.isExpired, false, String(ms));
  }
});

// Guards against an instance with a lagging event loop that considers the store or servers
// unreachable, although their answers have arrived and are only not read yet.
test('an exchange accepts an answer that arrived before its timeout', async (t) => {
  const { url } = await serve(t, 'answer');
  const answer = await exchange({
    method: 'GET',
    url: new URL(url),
    timeoutMs: LIMIT_MS,
    maxAnswerBytes: 100,
    agent: new Agent(),
    buffers: new BodyBuffers(),
  });
  assert.equal(answer.isOk, true);
});

// The same for a backend server: otherwise a healthy one is avoided and its request is also sent to
// another.
for (const blockedAt of ['connection', 'answer'] as const) {
  test(`an attempt accepts the ${blockedAt} that arrived before its timeout`, async (t) => {
    const { url } = await serve(t, blockedAt);
    const opened = await openAttempt({
      url,
      method: 'GET',
      target: '/',
      headers: ['host', 'server.example'],
      body: Buffer.alloc(0),
      agent: new ServerAgent(),
      connectMs: blockedAt === 'connection' ? LIMIT_MS : 5_000,
      headMs: blockedAt === 'answer' ? LIMIT_MS : undefined,
      signal: new AbortController().signal,
    });
    assert.equal(opened.isOk, true);
  });
}

test('a time limit expires only after data that arrived in time was read', async (t) => {
  const { port } = await serve(t, 'answer');
  const limit = startTimeLimit(LIMIT_MS);
  const socket = connect(port, '127.0.0.1');
  socket.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
  await new Promise((resolve) => socket.once('data', resolve));
  assert.equal(limit.signal.aborted, false);
  limit.end();
  socket.destroy();
});

test('a time limit expires if no data arrived', async () => {
  const limit = startTimeLimit(LIMIT_MS);
  const startedAt = performance.now();
  await new Promise((resolve) => {
    limit.signal.addEventListener('abort', resolve, { once: true });
  });
  assert.ok(performance.now() - startedAt >= LIMIT_MS - 1);
});
