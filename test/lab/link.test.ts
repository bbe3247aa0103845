import type { Server, Socket } from 'node:net';
import type { TestContext } from 'node:test';
import type { CutMode, Link } from '../../packages/lab/src/node/link/index.js';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createLink } from '../../packages/lab/src/node/link/index.js';

/** Milliseconds after which a connection counts as silent. */
const SILENT_MS = 150;
const LOOPBACK = '127.0.0.1';

/** What a client of the link sees when it sends a byte. */
type Outcome = 'echo' | 'silence' | 'closed' | 'refused';

async function startEcho(t: TestContext): Promise<number> {
  const server: Server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.pipe(socket);
  });
  t.after(() => server.close());
  await once(server.listen(0, LOOPBACK), 'listening');
  const address = server.address();
  assert.ok(address !== null && typeof address === 'object', 'listens on a port');
  return address.port;
}

async function startLink(t: TestContext): Promise<Link> {
  const link = await createLink({ target: { host: LOOPBACK, port: await startEcho(t) } });
  t.after(() => link.close());
  return link;
}

function exchange(socket: Socket): Promise<Outcome> {
  return new Promise((resolve) => {
    if (socket.destroyed) resolve('closed');
    const timer = setTimeout(() => {
      resolve('silence');
    }, SILENT_MS);
    const end = (outcome: Outcome): void => {
      clearTimeout(timer);
      resolve(outcome);
    };
    socket.once('data', () => {
      end('echo');
    });
    socket.once('error', (err: NodeJS.ErrnoException) => {
      end(err.code === 'ECONNREFUSED' ? 'refused' : 'closed');
    });
    socket.once('close', () => {
      end('closed');
    });
    socket.write('x');
  });
}

function openSocket(t: TestContext, { port }: Link): Socket {
  const socket = connect(port, LOOPBACK);
  socket.on('error', () => undefined);
  t.after(() => socket.destroy());
  return socket;
}

// Guards against a cut that lets pass what it should stop, or stops what it should let pass.
describe('a cut of a link', () => {
  const cases: { mode: CutMode; from?: string; open: Outcome; fresh: Outcome; later: Outcome }[] = [
    { mode: 'none', open: 'echo', fresh: 'echo', later: 'echo' },
    { mode: 'silent', open: 'silence', fresh: 'silence', later: 'closed' },
    { mode: 'reset', open: 'closed', fresh: 'closed', later: 'closed' },
    { mode: 'refuse-new', open: 'echo', fresh: 'refused', later: 'echo' },
    { mode: 'silent', from: LOOPBACK, open: 'silence', fresh: 'silence', later: 'closed' },
    { mode: 'reset', from: LOOPBACK, open: 'closed', fresh: 'closed', later: 'closed' },
    { mode: 'refuse-new', from: LOOPBACK, open: 'echo', fresh: 'closed', later: 'echo' },
  ];
  for (const { mode, from, open, fresh, later } of cases) {
    const source = from === undefined ? '' : ' from one address';
    test(`${mode}${source}: an open connection sees ${open}, a new one ${fresh}`, async (t) => {
      const link = await startLink(t);
      const existing = openSocket(t, link);
      assert.equal(await exchange(existing), 'echo');
      link.setCut(mode, from);
      assert.equal(await exchange(existing), open);
      assert.equal(await exchange(openSocket(t, link)), fresh);
      link.setCut('none', from);
      await delay(0);
      assert.equal(await exchange(openSocket(t, link)), 'echo');
      assert.equal(await exchange(existing), later);
    });
  }
});

// Guards against a listener that is lost or opened twice when one cut follows another.
describe('cuts in series', () => {
  const cases: { modes: CutMode[]; fresh: Outcome }[] = [
    { modes: ['refuse-new', 'refuse-new'], fresh: 'refused' },
    { modes: ['refuse-new', 'silent'], fresh: 'silence' },
    { modes: ['reset', 'refuse-new'], fresh: 'refused' },
    { modes: ['refuse-new', 'none', 'refuse-new', 'none'], fresh: 'echo' },
  ];
  for (const { modes, fresh } of cases) {
    test(`${modes.join(', then ')}: a new connection sees ${fresh}`, async (t) => {
      const link = await startLink(t);
      for (const mode of modes) link.setCut(mode);
      await delay(10);
      assert.equal(await exchange(openSocket(t, link)), fresh);
    });
  }
});

// Guards against a link that is never closed because it refuses connections at that moment.
test('a link that refuses new connections can be closed', async (t) => {
  const link = await startLink(t);
  assert.equal(await exchange(openSocket(t, link)), 'echo');
  link.setCut('refuse-new');
  await link.close();
});
