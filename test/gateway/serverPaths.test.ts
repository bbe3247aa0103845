import type { AddressInfo, Socket } from 'node:net';
import type { TestContext } from 'node:test';
import type { TunnelFault } from '../../packages/gateway/src/types/tunnelCalls.js';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import { describe, test } from 'node:test';
import { Result } from 'true-myth';
import { listedServer, startPaths } from './pathsWorld.js';

const REFUSED_PORT = 1;

/** Starts a server whose connections are given to `onSocket`; returns its port. */
async function listen(t: TestContext, onSocket: (socket: Socket) => void): Promise<number> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    t.after(() => socket.destroy());
    onSocket(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => server.close());
  return (server.address() as AddressInfo).port;
}

async function openTo(port: number): Promise<Result<Socket, TunnelFault>> {
  const socket = connect(port, '127.0.0.1');
  await once(socket, 'connect');
  return Result.ok(socket);
}

// Guards against a server at the default port of its scheme that no peer is ever asked for, as its URL names no port.
describe('a server that refuses only this instance is reached through a peer', () => {
  for (const port of [REFUSED_PORT, 80]) {
    test(`at port ${String(port)}`, async (t) => {
      const target = await listen(t, () => undefined);
      const servers = [listedServer('s1', `http://127.0.0.1:${String(port)}`)];
      const paths = await startPaths(t, servers, () => openTo(target));
      const opened = await paths.connect({ host: '127.0.0.1', port });
      assert.ok(opened.isOk, 'no connection');
      opened.value.destroy();
      assert.deepEqual(paths.counts, { tunnel: 1, none: 0 });
    });
  }
});
