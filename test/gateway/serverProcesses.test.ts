import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import type { BackendServer } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { describe, test } from 'node:test';
import { MemoryEventLog, MonotonicClock } from '@flamingocourse/kernel';
import { MemoryObjectStore } from '@flamingocourse/store';
import { ServerAgent } from '../../packages/gateway/src/node/serverAgent.js';
import { ServerProcesses } from '../../packages/gateway/src/node/serverProcesses.js';
import { FakeServer } from '../platform/fakeServer.js';
import { testContext } from './testContext.js';

/** Milliseconds within which a server that does not answer is given up. */
const MAX_ASK_MS = 1_000;

function create(t: TestContext, confirmedAt = -Infinity): { processes: ServerProcesses } {
  const agent = new ServerAgent();
  t.after(() => {
    agent.destroy();
  });
  const context = testContext(new MonotonicClock(), new MemoryEventLog(), new MemoryObjectStore());
  return { processes: new ServerProcesses(context, agent, () => confirmedAt) };
}

function listed(address: string, bornAt: number | undefined): BackendServer {
  const url = `http://${address}`;
  return { service: 'llm', id: 'e1', dataCentre: 'hall-a', url, state: 'live', bornAt };
}

async function find(processes: ServerProcesses, server: BackendServer): Promise<string> {
  const found = await processes.find(server, new AbortController().signal);
  return found.isOk ? found.value : `error: ${found.error.reason}`;
}

/** Starts a server that answers every request alike; returns its address and counts the requests. */
async function answering(
  t: TestContext,
  answer: (res: ServerResponse) => void,
): Promise<{ address: string; asked: () => number }> {
  let asked = 0;
  const server = createServer((_, res) => {
    asked += 1;
    answer(res);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${String(port)}`, asked: () => asked };
}

interface Case {
  name: string;
  answer: (res: ServerResponse) => void;
  bornAt: number | undefined;
  found: string;
  /** Questions after the process was looked for twice. */
  asked: number;
}

const cases: Case[] = [
  {
    name: 'a late answer to a request',
    answer: (res) => res.setHeader('x-request-id', 'earlier').end('{"born":7}'),
    bornAt: 7,
    found: 'error: broken',
    asked: 2,
  },
  {
    name: 'a server that starts under a new id each time is not asked',
    answer: (res) => res.end('{"born":8}'),
    bornAt: undefined,
    found: 'listed',
    asked: 0,
  },
  {
    name: 'the listed process',
    answer: (res) => res.end('{"stage":"unified","born":7}'),
    bornAt: 7,
    found: 'listed',
    asked: 1,
  },
  {
    name: 'another process',
    answer: (res) => res.end('{"born":8}'),
    bornAt: 7,
    found: 'other',
    asked: 2,
  },
  {
    name: 'a process that names no start',
    answer: (res) => res.end('{"stage":"unified"}'),
    bornAt: 7,
    found: 'unclear',
    asked: 1,
  },
  {
    name: 'a process that does not know the question',
    answer: (res) => res.writeHead(400, { 'x-not-executed': '1' }).end('{"born":7}'),
    bornAt: 7,
    found: 'unclear',
    asked: 1,
  },
  {
    name: 'an answer that is no JSON',
    answer: (res) => res.end('born 7'),
    bornAt: 7,
    found: 'unclear',
    asked: 1,
  },
  {
    name: 'a start of another type',
    answer: (res) => res.end('{"born":"7"}'),
    bornAt: 7,
    found: 'unclear',
    asked: 1,
  },
  {
    name: 'a server that closes each connection is asked again',
    answer: (res) => res.writeHead(200, { connection: 'close' }).end('{"born":7}'),
    bornAt: 7,
    found: 'listed',
    asked: 2,
  },
  {
    name: 'a server that does not answer',
    answer: () => undefined,
    bornAt: 7,
    found: 'error: timeout',
    asked: 2,
  },
  {
    name: 'an answer that does not end',
    answer: (res) => res.write('{"born":7'),
    bornAt: 7,
    found: 'error: broken',
    asked: 2,
  },
];

// Guards against a request that is sent to another process than the one whose entry was read.
describe('the process that the next request reaches', () => {
  for (const { name, answer, bornAt, found, asked } of cases) {
    test(`${name}: ${found}`, async (t) => {
      const server = await answering(t, answer);
      const { processes } = create(t);
      const startedAt = performance.now();
      assert.equal(await find(processes, listed(server.address, bornAt)), found);
      assert.ok(performance.now() - startedAt < MAX_ASK_MS, 'it took too long');
      assert.equal(await find(processes, listed(server.address, bornAt)), found);
      assert.equal(server.asked(), asked);
    });
  }

  test('a process that names no start is the listed one once its entry was confirmed later', async (t) => {
    const server = await answering(t, (res) => res.end('{}'));
    const { processes } = create(t, performance.now() + 60_000);
    assert.equal(await find(processes, listed(server.address, 7)), 'listed');
  });

  test('a server that started again is asked again', async (t) => {
    const server = await new FakeServer('e1').listen(t);
    server.bornAt = 7;
    const { processes } = create(t);
    assert.equal(await find(processes, listed(server.address, 7)), 'listed');
    await server.restartAs('v2');
    assert.equal(await find(processes, listed(server.address, 7)), 'other');
    assert.equal(await find(processes, listed(server.address, 8)), 'listed');
  });

  test('a connection to a process of before is closed', async (t) => {
    let bornAt = 7;
    const server = await answering(t, (res) => res.end(`{"born":${String(bornAt)}}`));
    const { processes } = create(t);
    assert.equal(await find(processes, listed(server.address, 7)), 'listed');
    bornAt = 8;
    assert.equal(await find(processes, listed(server.address, 8)), 'listed');
    assert.equal(server.asked(), 2);
  });
});
