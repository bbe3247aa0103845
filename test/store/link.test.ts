import type { Socket } from 'node:net';
import type { TestContext } from 'node:test';
import type { Link } from '../../packages/lab/src/node/link/index.js';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect as connectTcp, createServer } from 'node:net';
import { describe, test } from 'node:test';
import { breakConnection, createLink } from '../../packages/lab/src/node/link/index.js';
import { connect, failTest, notes, startStandIn } from './fixtures.js';

async function linkTo(t: TestContext, url: string | undefined): Promise<Link> {
  const { hostname: host, port } = new URL(url ?? '');
  const link = await createLink({ target: { host, port: Number(port) } });
  t.after(() => link.close());
  return link;
}

for (const cut of ['silent', 'reset'] as const) {
  test(`a ${cut} cut stops calls, also on existing connections, until it is healed`, async (t) => {
    const platform = await startStandIn(t);
    const link = await linkTo(t, platform.urls['dc-a']);
    const options = { timeoutMs: 1_000, circuit: { failureLimit: 99, pauseMs: 1, maxPauseMs: 1 } };
    const store = connect(t, link.url, options);
    assert.ok((await store.create(notes, 'n', { text: 'a' })).isOk);
    link.setCut(cut);
    const cutOff = await store.get(notes, 'n');
    assert.ok(cutOff.isErr);
    const reason = cutOff.error.message.includes('timeout') ? 'timeout' : 'broken';
    assert.equal(
      reason,
      cut === 'silent' ? 'timeout' : 'broken',
      'only a silent cut waits for the timeout',
    );
    link.setCut('none');
    assert.ok((await store.get(notes, 'n')).isOk);
  });
}

test('bytes keep their order and arrive late when the latency changes', async (t) => {
  const platform = await startStandIn(t);
  const link = await linkTo(t, platform.urls['dc-a']);
  const store = connect(t, link.url, { timeoutMs: 2_000 });
  link.setLatency(30);
  const text = 'x'.repeat(500_000);
  const creating = store.create(notes, 'n', { text });
  setTimeout(() => {
    link.setLatency(1);
  }, 35);
  assert.ok((await creating).isOk);
  assert.equal((await store.get(notes, 'n')).unwrapOrElse(failTest).value.text, text);
});

// Guards against a process that never exits because a connection was reset while its own end was still being sent.
describe('a connection that is broken closes without an error', () => {
  const cases = [
    { name: 'while it is open', before: () => undefined },
    { name: 'while its end is being sent', before: (socket: Socket) => socket.end() },
    { name: 'while it is already closing', before: (socket: Socket) => socket.destroy() },
  ];
  for (const { name, before } of cases) {
    test(name, async (t) => {
      const server = createServer((socket) => socket.on('error', () => undefined).resume());
      t.after(() => server.close());
      await once(server.listen(0, '127.0.0.1'), 'listening');
      const address = server.address();
      assert.ok(address !== null && typeof address === 'object', 'listens on a port');
      const socket = connectTcp({ port: address.port, host: '127.0.0.1', allowHalfOpen: true });
      await once(socket, 'connect');
      const errors: Error[] = [];
      socket.on('error', (err) => errors.push(err));
      const closed = once(socket, 'close');
      before(socket);
      breakConnection(socket);
      await closed;
      assert.deepEqual(errors, []);
    });
  }
});
