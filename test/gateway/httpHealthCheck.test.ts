import type { ListedServer } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { MemoryObjectStore } from '@flamingocourse/store';
import type { ConfigurationWatch } from '../../packages/gateway/src/node/configurationWatch.js';
import { HttpHealthCheck } from '../../packages/gateway/src/node/httpHealthCheck.js';
import { ServerAgent } from '../../packages/gateway/src/node/serverAgent.js';
import { FakeServer } from '../platform/fakeServer.js';
import { testContext } from './testContext.js';

// guards against health checks above the rate limit: each instance checked a server twice a second
// although the server accepts fewer requests from all instances together.
test('health checks count towards the rate limit of the server', async (t) => {
  const server = await new FakeServer('p1').listen(t);
  const clock = new ManualClock();
  const context = testContext(clock, new MemoryEventLog(), new MemoryObjectStore());
  const table = { service: () => ({ healthPath: '/health' }) };
  const agent = new ServerAgent();
  t.after(() => {
    agent.destroy();
  });
  const check = new HttpHealthCheck(context, { table } as unknown as ConfigurationWatch, agent);
  const listed: ListedServer = {
    service: 'ledger',
    dataCentre: 'hall-a',
    url: `http://${server.address}`,
    state: 'live',
    slots: 4,
  };
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
