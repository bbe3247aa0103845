import type { AddressInfo, Server, Socket } from 'node:net';
import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { MeshClient } from '@flamingocourse/mesh';
import { Result } from 'true-myth';
import { AnswerEndCheck } from '../../packages/gateway/src/node/answerEndCheck.js';
import { listedServer, startPaths } from './pathsWorld.js';

const REFUSED_URL = 'http://127.0.0.1:1';

/** A server that keeps its connections open until the test ends them. */
class RawServer {
  readonly accepted: Socket[] = [];
  readonly #server: Server;

  private constructor(server: Server) {
    this.#server = server;
    server.on('connection', (socket) => {
      socket.on('error', () => undefined).resume();
      this.accepted.push(socket);
    });
  }

  static async listen(t: TestContext): Promise<RawServer> {
    const server = createServer();
    const raw = new RawServer(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    t.after(() => {
      raw.end();
    });
    return raw;
  }

  get url(): string {
    return `http://127.0.0.1:${String((this.#server.address() as AddressInfo).port)}`;
  }

  /** Refuses new connections. */
  close(): void {
    this.#server.close();
  }

  /** Ends as a killed process does. */
  end(): void {
    this.close();
    for (const socket of this.accepted) socket.destroy();
  }
}

/** Connects directly; the returned connection is the one that ends. */
async function startDirect(
  t: TestContext,
): Promise<{ check: AnswerEndCheck; server: RawServer; isOwnEnd: () => Promise<boolean> }> {
  const server = await RawServer.listen(t);
  const listed = listedServer('s1', server.url);
  const { paths, agent } = await startPaths(t, [listed], () => Result.err('peer-unreachable'));
  const check = new AnswerEndCheck(agent, paths);
  const { hostname: host, port } = new URL(server.url);
  const opened = await paths.connect({ host, port: Number(port) });
  if (opened.isErr) throw opened.error;
  const connection = opened.value;
  connection.on('error', () => undefined).resume();
  while (server.accepted.length === 0) await delay(1);
  const isOwnEnd = async (): Promise<boolean> => {
    if (!connection.destroyed) await once(connection, 'close');
    return check.isOwnEnd(connection, listed);
  };
  return { check, server, isOwnEnd };
}

// Guards against a response without a length that looks whole because its server's process has ended.
describe('the end of a direct connection', () => {
  const cases: { name: string; end: (server: RawServer) => void; isOwn: boolean }[] = [
    {
      name: 'is the own end of a server that goes on',
      end: ({ accepted }) => accepted[0]?.end(),
      isOwn: true,
    },
    {
      name: 'is not that of a process that ended with it',
      end: (server) => {
        server.end();
      },
      isOwn: false,
    },
    {
      name: 'is not that of a process whose listener is closed last',
      end: (server) => {
        for (const socket of server.accepted) socket.destroy();
        setTimeout(() => {
          server.end();
        }, 10);
      },
      isOwn: false,
    },
  ];
  for (const { name, end, isOwn } of cases) {
    test(name, async (t) => {
      const { server, isOwnEnd } = await startDirect(t);
      end(server);
      assert.equal(await isOwnEnd(), isOwn);
    });
  }
});

// Guards against a response that looks whole because the peer that carried it was killed.
describe('the end of a connection through a peer', () => {
  const cases = [
    { name: 'is the own end of a server that goes on', isPeerKilled: false, isOwn: true },
    { name: 'is not that of a server whose peer was killed', isPeerKilled: true, isOwn: false },
  ];
  for (const { name, isPeerKilled, isOwn } of cases) {
    test(name, async (t) => {
      const server = await RawServer.listen(t);
      const peer = fork(new URL('tunnelPeerProcess.ts', import.meta.url), [server.url]);
      t.after(() => peer.kill('SIGKILL'));
      const [peerUrl] = (await once(peer, 'message')) as [string];
      const mesh = new MeshClient();
      t.after(() => {
        mesh.close();
      });
      const listed = listedServer('s1', REFUSED_URL);
      const { paths, agent } = await startPaths(t, [listed], async () => {
        const options = { peerUrl, target: 's1', timeoutMs: 1_000, allowHalfOpen: false };
        return (await mesh.openTunnel(options)).mapErr(() => 'peer-unreachable' as const);
      });
      const opened = await paths.connect({ host: '127.0.0.1', port: 1 });
      if (opened.isErr) throw opened.error;
      const connection = opened.value;
      connection.resume();
      while (server.accepted.length === 0) await delay(1);
      if (isPeerKilled) peer.kill('SIGKILL');
      else for (const socket of server.accepted) socket.end();
      await once(connection, 'close');
      assert.equal(await new AnswerEndCheck(agent, paths).isOwnEnd(connection, listed), isOwn);
    });
  }
});
