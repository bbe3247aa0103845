import type { RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { test } from 'node:test';
import { ObjectsDialect } from '@flamingocourse/platform-adapter';
import { connect, notes } from './fixtures.js';

/** Calls of a list after which a store that never ends has shown the fault. */
const MAX_CALLS = 1_000;

async function listen(t: TestContext, answer: RequestListener): Promise<string> {
  const server = createServer(answer).listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return `http://127.0.0.1:${String((server.address() as AddressInfo).port)}`;
}

// Guards against a list that never ends and keeps all pages: a store that ignores where a page begins
// sends the same one for ever.
test('a list whose pages do not advance fails', async (t) => {
  let calls = 0;
  const item = { metadata: { name: 'a', revision: 1 }, spec: { text: 'b' } };
  const url = await listen(t, (_req, res) => {
    calls += 1;
    if (calls > MAX_CALLS) res.destroy();
    else res.end(JSON.stringify({ items: [item], has_more: true, store_revision: 1 }));
  });
  const store = connect(t, url, { dialect: new ObjectsDialect() });
  const listed = await store.list(notes);
  assert.ok(listed.isErr);
  assert.equal(listed.error.code, 'invalid');
  assert.ok(calls < MAX_CALLS, String(calls));
});
