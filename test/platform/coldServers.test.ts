import type { TestContext } from 'node:test';
import type { Answer } from './world.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { World, configWith, until } from './world.js';

/** Requests that a cold server may get in any second: 4 x 1.5 + 5. */
const MOST = 11;
const settings = { mesh: true, coldServers: { overshoot: 1.5, slack: 5 } };
/** Milliseconds after which instances have read of each other often enough. */
const KNOWN_MS = 25_000;
const CALL_INTERVAL_MS = 10;
const COLD_MS = 2_500;

function coldConfig(): Record<string, unknown> {
  const services = [
    { name: 'ledger', health_path: '/health', cold_start_s: 3, cold_per_s: 4 },
    { name: 'llm', health_path: '/health', engine: { slots: 4 } },
  ];
  return configWith({ services });
}

async function startFleet(t: TestContext): Promise<World[]> {
  const first = await World.start(t, coldConfig(), settings);
  const others = await Promise.all(
    ['edge-2', 'edge-3'].map((instance) => first.join(t, instance, settings)),
  );
  const fleet = [first, ...others];
  await first.allKnow(fleet);
  await delay(KNOWN_MS);
  return fleet;
}

function turnCold({ store, servers }: World, id: string, ms: unknown): void {
  const server = servers.find((each) => each.id === id);
  store.put('servers', id, server?.entry('ledger', { cold_remaining_ms: ms }));
}

async function callFor(fleet: readonly World[], ms: number): Promise<Answer[]> {
  const answers: Promise<Answer>[] = [];
  const end = performance.now() + ms;
  for (let at = 0; performance.now() < end; at += 1) {
    const world = fleet[at % fleet.length];
    if (world) answers.push(world.call({ path: '/look/1' }));
    await delay(CALL_INTERVAL_MS);
  }
  return Promise.all(answers);
}

/** Most requests that a server got in any second from a time on. */
function mostInASecond(world: World, id: string, from: number, end: number): number {
  const arrivals = world.server(id).seen.map(({ at }) => at);
  const within = arrivals.filter((at) => at >= from && at < end);
  return Math.max(
    0,
    ...within.map((start) => within.filter((at) => at >= start && at < start + 1_000).length),
  );
}

// Guards against servers that crash because all instances together send them more than they take while cold.
test('a fleet keeps to the bound of cold servers, and callers are served by warm ones', async (t) => {
  const fleet = await startFleet(t);
  const [world] = fleet;
  assert.ok(world);
  const cold = (count: number): boolean =>
    fleet.every(
      ({ log }) => log.events.filter(({ event }) => event === 'server-cold').length >= count,
    );

  turnCold(world, 'p1', COLD_MS);
  await until('all know', () => cold(1));
  const from = performance.now();
  const answers = await callFor(fleet, COLD_MS - 600);
  assert.ok(mostInASecond(world, 'p1', from, from + COLD_MS - 600) <= MOST);
  const served = answers.filter(({ status }) => status === 200).length;
  assert.ok(served >= 0.98 * answers.length, `${String(served)} of ${String(answers.length)}`);

  await delay(COLD_MS);
  for (const id of ['p1', 'p2']) turnCold(world, id, COLD_MS + (id === 'p1' ? 1 : 0));
  await until('all know again', () => cold(3));
  const allFrom = performance.now();
  const sentAt = performance.now();
  const inCold = await callFor(fleet, 1_500);
  for (const id of ['p1', 'p2']) {
    assert.ok(mostInASecond(world, id, allFrom, allFrom + 1_500) <= MOST, id);
  }
  const refused = inCold.filter(({ status }) => status === 503);
  assert.ok(refused.length > 0);
  for (const { body, headers } of refused) {
    assert.match(body, /"run":"not-run"/);
    assert.ok(Number(headers['retry-after']) > 0);
  }
  assert.ok(inCold.some(({ status }) => status === 200));
  assert.ok(performance.now() - sentAt < 2_500, 'refused only at the deadline');

  // a value that is no time counts as the time of the service.
  await delay(COLD_MS);
  turnCold(world, 'p1', -5);
  await until('logged', () => fleet.every(({ events }) => events.includes('server-cold-invalid')));
});
