import type { TestContext } from 'node:test';
import type { AddressInfo } from 'node:net';
import assert from 'node:assert/strict';
import { Agent, createServer } from 'node:http';
import { connect } from 'node:net';
import { test } from 'node:test';
import { ServerAgent, openAttempt } from '@flamingocourse/gateway';
import { exchange, startTimeLimit } from '@flamingocourse/kernel';
import { blockEventLoop } from '../platform/blockEventLoop.js';

const LIMIT_MS = 100;
const HELD_UP_MS = 250;

/** Starts a server that answers at once; then the process gets no further for longer than the limit. */
async function serve(
  t: TestContext,
  heldUpAt: 'connection' | 'answer',
): Promise<{ url: string; port: number }> {
  const server = createServer((req, res) => {
    req.resume();
    res.end('{}');
    if (heldUpAt === 'answer') blockEventLoop(HELD_UP_MS);
  });
  if (heldUpAt === 'connection')
    server.on('connection', () => {
      blockEventLoop(HELD_UP_MS);
    });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${String(port)}`, port };
}

// An instance that is behind takes the store for lost, and servers for silent, whose answers it has not read yet.
test('an exchange takes an answer that had arrived when its time was over', async (t) => {
  const { url } = await serve(t, 'answer');
  const answer = await exchange({
    method: 'GET',
    url: new URL(url),
    timeoutMs: LIMIT_MS,
    maxAnswerBytes: 100,
    agent: new Agent(),
  });
  assert.equal(answer.isOk, true);
});

// The same for a backend server: a healthy one is avoided, and its request is sent to another as well.
for (const heldUpAt of ['connection', 'answer'] as const) {
  test(`an attempt takes the ${heldUpAt} that had arrived when its time was over`, async (t) => {
    const { url } = await serve(t, heldUpAt);
    const opened = await openAttempt({
      url,
      method: 'GET',
      target: '/',
      headers: ['host', 'server.example'],
      body: Buffer.alloc(0),
      agent: new ServerAgent(),
      connectMs: heldUpAt === 'connection' ? LIMIT_MS : 5_000,
      headMs: heldUpAt === 'answer' ? LIMIT_MS : undefined,
      signal: new AbortController().signal,
    });
    assert.equal(opened.isOk, true);
  });
}

test('a time limit is over only once what had arrived by then was read', async (t) => {
  const { port } = await serve(t, 'answer');
  const limit = startTimeLimit(LIMIT_MS);
  const socket = connect(port, '127.0.0.1');
  socket.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
  await new Promise((resolve) => socket.once('data', resolve));
  assert.equal(limit.signal.aborted, false);
  limit.end();
  socket.destroy();
});

test('a time limit is over for what has not arrived', async () => {
  const limit = startTimeLimit(LIMIT_MS);
  const startedAt = performance.now();
  await new Promise((resolve) => {
    limit.signal.addEventListener('abort', resolve, { once: true });
  });
  assert.ok(performance.now() - startedAt >= LIMIT_MS - 1);
});
