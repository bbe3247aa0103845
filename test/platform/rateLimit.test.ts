import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import { describe, test } from 'node:test';
import { World, until } from './world.js';

const INSTANCES = 4;
/** Milliseconds between two requests to one instance. */
const REQUEST_EVERY_MS = 80;
/** Milliseconds within which an instance must apply a limit that it received with an answer. */
const BINDING_MS = 600;
/** Length in milliseconds of each window in which the limit is checked. */
const WINDOW_MS = 4_000;
const MS_PER_SECOND = 1_000;

/** Maximum number of requests that may reach a server in a window, from all instances that know its limit. */
function maxAllowed(perSecond: number): number {
  return (1.5 * perSecond * WINDOW_MS) / MS_PER_SECOND + 5;
}

/** Maximum number of these times within one window. */
function maxInWindow(times: readonly number[]): number {
  const inWindow = times.map((from) => times.filter((at) => at >= from && at < from + WINDOW_MS));
  return Math.max(0, ...inWindow.map((found) => found.length));
}

/** Starts several instances, each with callers that send requests continuously. */
async function startFleet(t: TestContext): Promise<World[]> {
  const first = await World.start(t);
  const names = Array.from({ length: INSTANCES - 1 }, (_, at) => `edge-${String(at + 2)}`);
  const fleet = [first, ...(await Promise.all(names.map((name) => first.join(t, name))))];
  let stopped = false;
  t.after(() => {
    stopped = true;
  });
  for (const world of fleet) {
    const send = (): void => {
      if (stopped) return;
      void world.call({ path: '/look/1', method: 'GET' });
      setTimeout(send, REQUEST_EVERY_MS);
    };
    send();
  }
  return fleet;
}

describe('a server that reports a rate limit gets no more requests from all instances together', () => {
  // Guards against instances that do not read the limit, or that each use all of it.
  const cases = [
    { name: 'while it answers', behaviour: 'answer', perSecond: 1 },
    { name: 'while it rejects requests', behaviour: 'shed', perSecond: 0.5 },
  ] as const;
  for (const { name, behaviour, perSecond } of cases) {
    test(`limited server ${name}`, async (t) => {
      const fleet = await startFleet(t);
      const server = fleet[0]?.server('p1');
      assert.ok(server);
      server.behaviour = behaviour;
      server.rateLimit = String(perSecond);
      await until('all know the limit', () => {
        return fleet.every(({ events }) => events.includes('server-rate-limit'));
      });
      await delay(BINDING_MS);
      const from = performance.now();
      await delay(WINDOW_MS + BINDING_MS);
      const times = server.seen.map(({ at }) => at).filter((at) => at >= from);
      const most = maxInWindow(times);
      assert.ok(most <= maxAllowed(perSecond), `${String(most)} requests in a window`);
    });
  }
});

// Guards against callers that wait until their timeout for servers that are known to accept nothing now.
test('while all servers limit requests, a caller is refused at once with a retry time', async (t) => {
  const world = await World.start(t);
  for (const id of ['p1', 'p2']) world.server(id).rateLimit = '0.5';
  const call = (): ReturnType<World['call']> => world.call({ path: '/look/1', method: 'GET' });
  await until('both limits are known', async () => {
    await call();
    return world.events.filter((event) => event === 'server-rate-limit').length === 2;
  });
  const answers = [];
  for (let count = 0; count < 6; count += 1) answers.push(await call());
  const refused = answers.filter(({ status }) => status !== 200);
  assert.ok(refused.length > 0, 'no server takes six requests at once');
  for (const { status, headers } of refused) {
    assert.equal(status, 503);
    const seconds = Number(headers['retry-after']);
    assert.ok(seconds > 0 && seconds <= 7, `come back in ${String(seconds)} s`);
  }
  const reasons = world.log.events
    .filter(({ event, fields }) => event === 'request-ended' && fields.outcome === 'refused')
    .map(({ fields }) => fields.reason);
  assert.deepEqual([...new Set(reasons)], ['overloaded']);
});
