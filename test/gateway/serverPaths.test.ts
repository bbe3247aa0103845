import type { AddressInfo, Socket } from 'node:net';
import type { TestContext } from 'node:test';
import type { TunnelFault } from '../../packages/gateway/src/types/tunnelCalls.js';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { Result } from 'true-myth';
import type { PeerAnswer } from '../../packages/gateway/src/node/serverPaths.js';
import { FakeServer } from '../platform/fakeServer.js';
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
      const { paths } = await startPaths(t, servers, () => openTo(target));
      const opened = await paths.connect({ host: '127.0.0.1', port });
      assert.ok(opened.isOk, 'no connection');
      opened.value.destroy();
      assert.deepEqual(paths.counts, { tunnel: 1, none: 0 });
    });
  }
});

// Guards against a peer behind the same partition whose failure makes all requests in flight suspects of a crash.
describe('a server that refuses connections', () => {
  type Peer = TunnelFault | 'opens';
  const cases: { name: string; peers: [Peer, Peer]; answer: PeerAnswer }[] = [
    {
      name: 'is open if the first peer connects',
      peers: ['opens', 'refused'],
      answer: 'accepted',
    },
    {
      name: 'is open if the second one does',
      peers: ['peer-unreachable', 'opens'],
      answer: 'accepted',
    },
    {
      name: 'is open if a peer connects after one that cannot',
      peers: ['server-unreachable', 'opens'],
      answer: 'accepted',
    },
    {
      name: 'is open if a peer connects after one that is refused',
      peers: ['server-refused', 'opens'],
      answer: 'accepted',
    },
    {
      name: 'has refused if it refused the only peer that answers',
      peers: ['server-refused', 'peer-unreachable'],
      answer: 'refused',
    },
    {
      name: 'is not known to be open if no peer connects',
      peers: ['server-unreachable', 'server-unreachable'],
      answer: 'unknown',
    },
  ];
  for (const { name, peers, answer } of cases) {
    test(name, async (t) => {
      const target = await listen(t, () => undefined);
      const servers = [listedServer('s1', `http://127.0.0.1:${String(REFUSED_PORT)}`)];
      const { paths } = await startPaths(t, servers, (peer) => {
        const how = peer === 'edge-2' ? peers[0] : peers[1];
        return how === 'opens' ? openTo(target) : Result.err(how);
      });
      assert.equal(await paths.askPeers({ id: 's1', dataCentre: 'hall-a' }), answer);
    });
  }
});

// Guards against servers late in the list that are never probed while many before them stay unreachable.
test('of many unreachable servers each one is probed', async (t) => {
  const ids = Array.from({ length: 1_000 }, (_, at) => `s${String(at)}`);
  const servers = ids.map((id) => listedServer(id, `http://127.0.0.1:${String(REFUSED_PORT)}`));
  const asked = new Set<string>();
  const { paths } = await startPaths(t, servers, (_, server) => {
    asked.add(server);
    return Result.err('server-unreachable');
  });
  await delay(100);
  for (const id of ids) paths.requireProbe(id);
  // 16 probes each 50 ms take 3.2 s for one round.
  await delay(6_000);
  assert.equal(asked.size, ids.length);
});

// Guards against a silent server that counts as restored by a probe that did not ask for an answer on its path.
test('a tunnel that was not asked does not count as an answer', async (t) => {
  const silent = await listen(t, () => undefined);
  let answers = true;
  const target = await listen(t, (socket) => {
    socket.on('data', () => {
      if (answers) socket.end('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
    });
  });
  const servers = [listedServer('s1', `http://127.0.0.1:${String(silent)}`)];
  const { paths } = await startPaths(t, servers, () => openTo(target));
  const causes: string[] = [];
  paths.onRestored(({ cause }) => causes.push(cause));
  await delay(100);
  paths.requireProbe('s1');
  while (causes.length === 0) await delay(20);
  answers = false;
  await delay(2_500);
  assert.deepEqual(causes, ['path-changed']);
});

// Guards against a server that starts again elsewhere and inherits what was known of the links to its old address.
describe('a server that starts again at another address has a new path', () => {
  for (const isProbed of [true, false]) {
    test(isProbed ? 'while the old one is probed' : 'after the old one was lost', async (t) => {
      const silent = await listen(t, () => undefined);
      const target = await listen(t, (socket) => {
        socket.on('data', () => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'));
      });
      const before = [listedServer('s1', `http://127.0.0.1:${String(silent)}`)];
      const { paths, list } = await startPaths(t, before, () => openTo(target));
      const restored: string[] = [];
      paths.onRestored(({ server: { url } }) => restored.push(url));
      await delay(100);
      paths.requireProbe('s1');
      while (!isProbed && paths.counts.tunnel === 0) await delay(20);
      if (isProbed) await delay(60);
      const seen = restored.length;
      list([listedServer('s1', `http://127.0.0.1:${String(target)}`)]);
      assert.equal(paths.counts.tunnel, 0);
      await delay(700);
      assert.deepEqual([paths.counts.tunnel, restored.slice(seen)], [0, []]);
    });
  }
});

// Guards against requests to a server that starts while the links are lost, on a connection that stays silent.
test('the path to a server that is listed while others are reached through a peer is probed', async (t) => {
  const silent = await listen(t, () => undefined);
  const target = await listen(t, (socket) => {
    socket.on('data', () => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'));
  });
  const first = listedServer('s1', `http://127.0.0.1:${String(silent)}`);
  const { paths, list } = await startPaths(t, [first], () => openTo(target));
  await delay(100);
  paths.requireProbe('s1');
  while (paths.counts.tunnel === 0) await delay(20);
  list([first, listedServer('s2', first.url)]);
  await delay(700);
  assert.equal(paths.counts.tunnel, 2);
});

// Guards against probes of a path above the rate limit of a server, which counts health checks as requests.
test('probes of a path count towards the rate limit of the server', async (t) => {
  const server = await new FakeServer('s1').listen(t);
  const port = Number(server.address.split(':')[1]);
  const servers = [listedServer('s1', `http://${server.address}`)];
  const { paths, context } = await startPaths(t, servers, () => openTo(port));
  const now = context.clock.now();
  context.rules.notices.rateLimits.setSharers(1, now);
  context.rules.notices.rateLimits.record('s1', { type: 'limit', perSecond: 0.5 }, now);
  await delay(100);
  for (let doubts = 0; doubts < 3; doubts += 1) {
    paths.requireProbe('s1');
    await delay(1_000);
  }
  // a request every two seconds, and the first one.
  assert.ok(server.healthProbes <= 2, `${String(server.healthProbes)} health checks in 3 s`);
});
