import type { AddressInfo } from 'node:net';
import assert from 'node:assert/strict';
import { Agent, createServer } from 'node:http';
import { test } from 'node:test';
import { BodyBuffers } from '@flamingocourse/kernel';
import { createPlatformDialects } from '@flamingocourse/platform-adapter';

// Guards against watches that the store refuses, each of which asks again at once.
test('a watch asks for whole milliseconds', async (t) => {
  const waits: (string | null)[] = [];
  const server = createServer((req, res) => {
    waits.push(new URL(req.url ?? '', 'http://store').searchParams.get('wait_ms'));
    res.end(JSON.stringify({ events: [], store_revision: 8 }));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const agent = new Agent();
  t.after(() => {
    agent.destroy();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const end = await createPlatformDialects().store.follow({
    url: `http://127.0.0.1:${String(port)}`,
    collection: 'config',
    version: '7',
    agent,
    buffers: new BodyBuffers(),
    signal: new AbortController().signal,
    idleMs: 1_512.357,
    onChanges: () => undefined,
  });
  assert.equal(end, 'answered');
  assert.deepEqual(waits, ['1112']);
});
