import type { TestContext } from 'node:test';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, request } from 'node:http';
import { test } from 'node:test';
import type { PeerAnswer } from '../../packages/gateway/src/node/serverPaths.js';
import { ConnectionCheck } from '../../packages/gateway/src/node/connectionCheck.js';
import { ServerAgent } from '../../packages/gateway/src/node/serverAgent.js';

interface Case {
  name: string;
  /** What happens to the server after the connection was lost. */
  after: (server: Server) => void;
  /** Whether another request is in flight at the server. */
  isInUse: boolean;
  /** What peers say of the server. @default 'unknown' */
  peers?: PeerAnswer;
  /** Whether the server is reached through peers. */
  isTunnelled?: boolean;
  hasEnded: boolean;
  /** Number of connections that the check opens to the server. */
  opened: number;
}

// Guards against taking a lost connection for a crash, which makes all requests in flight at that
// server suspects, and against missing a crash.
const cases: Case[] = [
  {
    name: 'a process that ended',
    after: (server) => {
      server.close();
      server.closeAllConnections();
    },
    isInUse: true,
    hasEnded: true,
    opened: 0,
  },
  {
    name: 'a process that refuses only this instance, as in a partition,',
    after: (server) => {
      server.close();
      server.closeAllConnections();
    },
    isInUse: true,
    peers: 'accepted',
    hasEnded: false,
    opened: 0,
  },
  {
    name: 'a process that refuses this instance and its peers',
    after: (server) => {
      server.close();
      server.closeAllConnections();
    },
    isInUse: true,
    peers: 'refused',
    hasEnded: true,
    opened: 0,
  },
  {
    name: 'a process that is reached through peers and refuses them',
    after: () => undefined,
    isInUse: false,
    peers: 'refused',
    isTunnelled: true,
    hasEnded: true,
    opened: 0,
  },
  {
    name: 'a process that is reached through peers and accepts one',
    after: () => undefined,
    isInUse: false,
    peers: 'accepted',
    isTunnelled: true,
    hasEnded: false,
    opened: 0,
  },
  {
    name: 'a process of which no peer knows, behind a partition that refuses,',
    after: (server) => {
      server.close();
    },
    isInUse: false,
    isTunnelled: true,
    hasEnded: false,
    opened: 0,
  },
  {
    name: 'a process whose connections end one after the other',
    after: (server) => {
      server.close();
      setTimeout(() => {
        server.closeAllConnections();
      }, 10);
    },
    isInUse: true,
    hasEnded: true,
    opened: 0,
  },
  {
    name: 'a server that only lost a connection',
    after: () => undefined,
    isInUse: false,
    hasEnded: false,
    opened: 1,
  },
  {
    name: 'a server with another connection open',
    after: () => undefined,
    isInUse: true,
    hasEnded: false,
    opened: 0,
  },
];

for (const { name, after, isInUse, peers = 'unknown', isTunnelled = false, ...is } of cases) {
  const { hasEnded, opened } = is;
  test(`${name} has ${hasEnded ? '' : 'not '}ended`, async (t) => {
    const { server, url } = await listen(t);
    const agent = new ServerAgent();
    t.after(() => {
      agent.destroy();
    });
    if (isInUse) await begin(url, agent);
    let connections = 0;
    server.on('connection', () => (connections += 1));
    after(server);
    const check = new ConnectionCheck(agent, {
      askPeers: () => Promise.resolve(peers),
      isTunnelled: () => isTunnelled,
    });
    const [service, id, dataCentre, state] = ['llm', 's1', 'hall-a', 'live'] as const;
    assert.equal(await check.hasEnded({ service, id, dataCentre, state, url }), hasEnded);
    await new Promise((resolve) => setTimeout(resolve, 20));
    assert.equal(connections, opened);
  });
}

async function listen(t: TestContext): Promise<{ server: Server; url: string }> {
  const server = createServer(() => undefined);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return { server, url: `http://127.0.0.1:${String((server.address() as AddressInfo).port)}` };
}

/** Sends a request that gets no response. */
async function begin(url: string, agent: ServerAgent): Promise<void> {
  const req = request(url, { agent });
  req.on('error', () => undefined);
  req.end();
  const [socket] = (await once(req, 'socket')) as [NodeJS.EventEmitter];
  await once(socket, 'connect');
}
