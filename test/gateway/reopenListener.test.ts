import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer as createNetServer } from 'node:net';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { reopenListener } from '../../packages/gateway/src/node/reopenListener.js';

const CALLERS = 20;
const noFailure = (err: Error): void => {
  assert.fail(err.message);
};

async function listen(t: TestContext): Promise<{ server: Server; port: number }> {
  const server = createServer((_req, res) => res.end('served'));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return { server, port: (server.address() as AddressInfo).port };
}

function callerOf(port: number): { socket: Socket; ended: Promise<string> } {
  const socket = connect(port, '127.0.0.1');
  let text = '';
  socket.on('data', (bytes: Buffer) => (text += bytes.toString()));
  const ended = new Promise<string>((resolve) => {
    socket.on('error', (err: NodeJS.ErrnoException) => {
      resolve(err.code ?? '');
    });
    socket.on('close', () => {
      resolve(text);
    });
  });
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  return { socket, ended };
}

// Guards against callers who wait for an overloaded instance until it has accepted those before them.
test('connections that wait to be accepted are closed at once, accepted ones stay', async (t) => {
  const { server, port } = await listen(t);
  const accepted = callerOf(port);
  const [first] = (await once(accepted.socket, 'data')) as [Buffer];
  assert.match(first.toString(), /served/);
  const waiting = Array.from({ length: CALLERS }, () => callerOf(port));
  // by then the operating system has their connections, and this process has accepted none.
  await new Promise<void>((resolve) => {
    process.nextTick(resolve);
  });
  reopenListener(server, { isWanted: () => true, onFailure: noFailure });
  const ends = await Promise.all(waiting.map(({ ended }) => ended));
  assert.deepEqual([...new Set(ends)], ['ECONNRESET']);
  accepted.socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  const [second] = (await once(accepted.socket, 'data')) as [Buffer];
  assert.match(second.toString(), /served/);
  accepted.socket.destroy();
});

// Guards against an instance that no longer listens after it has closed the connections that waited.
test('new connections are accepted afterwards, however often it happens', async (t) => {
  const { server, port } = await listen(t);
  for (let times = 0; times < 3; times += 1) {
    reopenListener(server, { isWanted: () => true, onFailure: noFailure });
    await once(server, 'listening');
    const caller = callerOf(port);
    const [answer] = (await once(caller.socket, 'data')) as [Buffer];
    assert.match(answer.toString(), /served/);
    caller.socket.destroy();
  }
});

// Guards against an unhandled error, or an instance that gives up, while another process has the address.
test('an address that is taken meanwhile is tried until it is free', async (t) => {
  const { server, port } = await listen(t);
  const other = createNetServer();
  const failures: string[] = [];
  const listenAgain = server.listen.bind(server) as (options: object) => Server;
  // another process takes the address between the close and the next attempt.
  server.listen = ((options: object) => {
    server.listen = listenAgain as Server['listen'];
    other.listen(port, '127.0.0.1', () => listenAgain(options));
    return server;
  }) as Server['listen'];
  reopenListener(server, {
    isWanted: () => true,
    onFailure: (err) => {
      failures.push((err as NodeJS.ErrnoException).code ?? '');
      other.close();
    },
  });
  await new Promise<void>((resolve) => server.once('listening', resolve));
  assert.deepEqual(failures, ['EADDRINUSE']);
});

// Guards against an instance that accepts callers again while it stops.
test('a server that is stopped meanwhile does not listen again', async (t) => {
  const { server } = await listen(t);
  reopenListener(server, { isWanted: () => false, onFailure: noFailure });
  await new Promise((resolve) => setTimeout(resolve, 100));
  assert.equal(server.listening, false);
});
