import type { TestContext } from 'node:test';
import type { Answer } from './world.js';
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'node:test';
import { World } from './world.js';

const INSTANCES = 4;
const SERVERS = ['p1', 'p2'];
/** Fewer than the instances, so that one request of each instance is too many. */
const SLOTS = 3;
const REJECTIONS_PER_SECOND = 3;
const RUN_MS = 100;
const DOWN_MS = 2_000;
/** Milliseconds after which a brittle server lets no more requests wait. */
const STABILITY_WINDOW_MS = 3_000;
/** Length of the test after that, in milliseconds. */
const TEST_MS = 6_000;
/** Demand as a multiple of what all servers can run. */
const OVERLOAD = 3;
const MS_PER_SECOND = 1_000;

/** Maximum falls in one time in which servers are brittle. */
const MAX_FALLS = 2 + SERVERS.length / 10;

/** Makes the plain servers brittle; each is listed with a new start after a fall. */
function makeBrittle(world: World): void {
  for (const id of SERVERS) {
    const server = world.server(id);
    const list = (): void => {
      world.store.put('servers', id, server.entry('ledger', { slots: SLOTS, born: Date.now() }));
    };
    list();
    server.onRestart = list;
    server.brittle = {
      rejectionsPerSecond: REJECTIONS_PER_SECOND,
      places: Infinity,
      slots: SLOTS,
      runMs: RUN_MS,
      downMs: DOWN_MS,
    };
  }
}

/** Lets no more requests wait at the servers. */
function endWaiting(world: World): void {
  for (const id of SERVERS) {
    const server = world.server(id);
    if (server.brittle) server.brittle = { ...server.brittle, places: SLOTS };
  }
}

/** Sends requests to all instances until the test ends; returns the answers as they arrive. */
function overload(t: TestContext, fleet: readonly World[]): Answer[] {
  const answers: Answer[] = [];
  const perMs = (OVERLOAD * SERVERS.length * SLOTS) / RUN_MS;
  for (const world of fleet) {
    const timer = setInterval(() => {
      void world.call({ path: '/look/1', method: 'GET' }).then((answer) => answers.push(answer));
    }, fleet.length / perMs);
    t.after(() => {
      clearInterval(timer);
    });
  }
  return answers;
}

// Guards against instances that make brittle servers fall over one after the other while there are too many callers.
test('brittle servers with too many callers stay up, and callers that cannot be served learn when to retry', async (t) => {
  const first = await World.start(t);
  const names = Array.from({ length: INSTANCES - 1 }, (_, at) => `edge-${String(at + 2)}`);
  const fleet = [first, ...(await Promise.all(names.map((name) => first.join(t, name))))];
  await first.allKnow(fleet);
  makeBrittle(first);
  await delay(MS_PER_SECOND);
  const answers = overload(t, fleet);
  await delay(STABILITY_WINDOW_MS);
  endWaiting(first);
  const before = answers.length;
  await delay(TEST_MS);
  const falls = SERVERS.reduce((sum, id) => sum + first.server(id).falls, 0);
  assert.ok(falls <= MAX_FALLS, `${String(falls)} falls`);
  const inTime = answers.slice(before);
  const served = inTime.filter(({ status }) => status === 200).length;
  const capacity = (SERVERS.length * SLOTS * TEST_MS) / RUN_MS;
  assert.ok(served >= capacity / 2, `${String(served)} of ${String(capacity)} served`);
  const refused = inTime.filter(({ status }) => status === 503);
  assert.ok(refused.length > 0, 'more callers than places');
  const withoutTime = refused.filter(({ headers }) => !(Number(headers['retry-after']) > 0));
  assert.equal(withoutTime.length, 0);
});
