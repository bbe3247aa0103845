import type { Candidate, ListedServer } from '@flamingocourse/core';
import { ServerPool } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { describe, test } from 'node:test';
import { ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { MemoryObjectStore } from '@flamingocourse/store';
import type { GatewayContext } from '../../packages/gateway/src/types/context.js';
import type { ConfigurationWatch } from '../../packages/gateway/src/node/configurationWatch.js';
import { HttpHealthCheck } from '../../packages/gateway/src/node/httpHealthCheck.js';
import { ServerAgent } from '../../packages/gateway/src/node/serverAgent.js';
import { FakeServer } from '../platform/fakeServer.js';
import { testContext } from './testContext.js';

/** What three health checks left behind. */
interface ProbedWorld {
  candidate: Candidate | undefined;
  /** Lines about unreadable load reports. */
  logged: number;
  isOn: boolean;
}

/** A health check over its own connections, and what it reports to. */
interface Checking {
  check: HttpHealthCheck;
  pool: ServerPool;
  context: GatewayContext;
  clock: ManualClock;
  log: MemoryEventLog;
}

function checking(t: TestContext): Checking {
  const clock = new ManualClock();
  const log = new MemoryEventLog();
  const context = testContext(clock, log, new MemoryObjectStore());
  const agent = new ServerAgent();
  t.after(() => {
    agent.destroy();
  });
  const table = { service: () => ({ healthPath: '/health' }) };
  const configuration = { table } as unknown as ConfigurationWatch;
  const pool = new ServerPool({ dataCentre: 'hall-a', concurrencyPerServer: 8 });
  const check = new HttpHealthCheck(context, configuration, agent, () => pool);
  return { check, pool, context, clock, log };
}

function listedAt({ address }: FakeServer): ListedServer {
  const url = `http://${address}`;
  return { service: 'ledger', dataCentre: 'hall-a', url, state: 'live', slots: 4 };
}

// guards against health checks above the rate limit: each instance checked a server twice a second
// although the server accepts fewer requests from all instances together.
test('health checks count towards the rate limit of the server', async (t) => {
  const server = await new FakeServer('p1').listen(t);
  const { check, context, clock } = checking(t);
  const listed = listedAt(server);
  context.rules.notices.rateLimits.setSharers(1, clock.now());
  context.rules.notices.rateLimits.record('p1', { type: 'limit', perSecond: 0.5 }, clock.now());
  server.rateLimit = '0.5';
  assert.equal(await check.probe('p1', listed), 'unknown', 'no health check is due yet');
  assert.equal(server.healthProbes, 0);
  clock.advance(context.rules.notices.rateLimits.nextAt('p1', clock.now()) - clock.now());
  assert.equal(await check.probe('p1', listed), 'staying');
  assert.equal(await check.probe('p1', listed), 'unknown', 'the next is not due yet');
  assert.equal(server.healthProbes, 1);
  server.rateLimit = undefined;
  clock.advance(context.rules.notices.rateLimits.nextAt('p1', clock.now()) - clock.now());
  assert.equal(await check.probe('p1', listed), 'staying');
  assert.equal(await check.probe('p1', listed), 'staying', 'the limit has ended');
  assert.equal(server.healthProbes, 3);
});

describe('a health check reports the load and speed of its server', () => {
  async function probe(t: TestContext, load: string): Promise<ProbedWorld> {
    const server = await new FakeServer('p1').listen(t);
    server.load = load;
    const { check, pool, context, clock, log } = checking(t);
    const listed = listedAt(server);
    pool.applyList([{ ...listed, id: 'p1' }], clock.now());
    for (let n = 0; n < 3; n += 1) assert.equal(await check.probe('p1', listed), 'staying');
    const logged = log.events.filter(({ event }) => event === 'server-load-invalid');
    const candidate = pool.candidates({}, clock.now())[0];
    return { candidate, logged: logged.length, isOn: context.adaptiveLoad.isOn };
  }
  const cases = [
    { load: '3,1,4', expected: { load: 4, slowdown: undefined, logged: 0, isOn: false } },
    { load: '3,1,4,250', expected: { load: 4, slowdown: 2.5, logged: 0, isOn: true } },
    { load: '3,1,4,0', expected: { load: 4, slowdown: undefined, logged: 1, isOn: false } },
    { load: 'busy', expected: { load: 0, slowdown: undefined, logged: 1, isOn: false } },
  ];
  for (const { load, expected } of cases) {
    // Guards against servers whose speed is unknown while they get no requests, against a line in the log
    // for each response, and against new behaviour where no server reports a speed.
    test(load, async (t) => {
      const { candidate, logged, isOn } = await probe(t, load);
      const seen = { load: candidate?.load, slowdown: candidate?.slowdown, logged, isOn };
      assert.deepEqual(seen, expected);
    });
  }
});

// Guards against a late answer to a request that makes a server look gone, leaving or overloaded.
describe('a late answer to a request is no answer to a health check', () => {
  const cases = [
    { name: 'from another server', status: 421, headers: '' },
    { name: 'of a server that leaves', status: 200, headers: 'Server-Leaving: 1\r\n' },
    { name: 'that reports a load', status: 200, headers: 'X-Server-Load: 9,9,4\r\n' },
    { name: 'a failure', status: 503, headers: '' },
  ];
  for (const { name, status, headers } of cases) {
    test(name, async (t) => {
      const server = await new FakeServer('p1').listen(t);
      const head = `HTTP/1.1 ${String(status)} Late\r\nX-Request-Id: earlier\r\n`;
      server.extra = () => `${head}X-Instance-Id: p1\r\n${headers}Content-Length: 0\r\n\r\n`;
      const { check, pool, context, clock } = checking(t);
      const listed = listedAt(server);
      pool.applyList([{ ...listed, id: 'p1' }], clock.now());
      assert.equal(await check.probe('p1', listed), 'unknown');
      assert.equal(pool.candidates({}, clock.now())[0]?.load, 0);
      assert.equal(context.rules.closedBy({ ...listed, id: 'p1', bornAt: undefined }), undefined);
      server.extra = () => '';
      assert.equal(await check.probe('p1', listed), 'staying');
    });
  }
});

/** Responses that a server sent earlier to a check or to a question for its state; they bear no request id. */
const staying = 'HTTP/1.1 200 OK\r\nX-Instance-Id: p1\r\nContent-Length: 0\r\n\r\n';
const state =
  'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 10\r\n\r\n{"born":7}';

// Guards against a duplicate of an earlier check that hides for longer than one check that a server is leaving.
describe('a late duplicate without an id in front of the response to a health check', () => {
  const cases = [
    { name: 'of an earlier check delays the news by one check', bytes: staying, first: 'staying' },
    { name: 'of a state tells nothing', bytes: state, first: 'unknown' },
  ];
  for (const { name, bytes, first } of cases) {
    test(name, async (t) => {
      const server = await new FakeServer('p1').listen(t);
      const { check } = checking(t);
      const listed = listedAt(server);
      assert.equal(await check.probe('p1', listed), 'staying');
      server.leaving = true;
      server.extra = () => bytes;
      assert.equal(await check.probe('p1', listed), first);
      server.extra = () => '';
      assert.equal(await check.probe('p1', listed), 'leaving');
    });
  }
});
