import type { ChildProcess } from 'node:child_process';
import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { describe, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { event } from './fakeServer.js';
import { World, until } from './world.js';

const wholeStream = [1, 2, 3, 4].map((id) => event(id)).join('');

/** Starts a process that begins answers, in place of the first server of a service. */
async function startWithPartialServer(
  t: TestContext,
  name: 'p1' | 'e1',
): Promise<{ world: World; server: ChildProcess }> {
  const entry = fileURLToPath(new URL('partialAnswerProcess.ts', import.meta.url));
  const server = fork(entry, [name]);
  t.after(() => server.kill('SIGKILL'));
  const [{ port }] = (await once(server, 'message')) as [{ port: number }];
  const world = await World.start(t);
  world.behave('e', 'stream');
  const service = name === 'p1' ? 'ledger' : 'llm';
  const other = name === 'p1' ? 'p2' : 'e2';
  world.store.put(
    'servers',
    name,
    world.server(name).entry(service, { address: `127.0.0.1:${String(port)}` }),
  );
  const elsewhere = world.store.value('servers', other);
  world.store.remove('servers', other);
  await until('one server is left', () => listed(world) === 3);
  server.once('message', () => {
    world.store.put('servers', other, elsewhere);
    void until('listed again', () => listed(world) === 4).then(() => server.kill('SIGKILL'));
  });
  return { world, server };
}

function listed({ log }: World): unknown {
  return log.events.findLast(({ event: name }) => name === 'servers-changed')?.fields.servers;
}

// Guards against an answer without a length that looks whole although its server's process was killed.
describe('an answer without a length whose server is killed', () => {
  test('is not passed on as whole, and its request is not repeated', async (t) => {
    const { world } = await startWithPartialServer(t, 'p1');
    const { status, body } = await world.call({ path: '/book/1' });
    assert.equal(status, 502, body);
    assert.equal(world.seen('p').length, 0);
  });

  test('is had whole from another server where the request may be repeated', async (t) => {
    const { world } = await startWithPartialServer(t, 'p1');
    const { status, body } = await world.call({ path: '/look/1' });
    assert.deepEqual({ status, body }, { status: 200, body: 'from p2' });
  });

  test('does not end a stream as complete', async (t) => {
    const { world } = await startWithPartialServer(t, 'e1');
    const { status, body, complete } = await world.generate('/chat/1');
    assert.deepEqual({ status, body, complete }, { status: 200, body: event(1), complete: false });
  });

  test('goes on at another server where the stream may be resumed', async (t) => {
    const { world } = await startWithPartialServer(t, 'e1');
    const { status, body, complete } = await world.generate('/draft/1');
    assert.deepEqual(
      { status, body, complete },
      { status: 200, body: wholeStream, complete: true },
    );
  });
});
