import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { KEY, World, configWith, until } from './world.js';

/** Term of deployments with scarce room, as the platform names it. */
const SCARCE_ROOM_TERM = 'pressure';
const SMALL_KEY = 'key-of-spock';
/** Requests a second of both accounts; the servers take 16 at a time, 53 a second. */
const PER_SECOND = 100;
/** Milliseconds that a request takes at a server. */
const WORK_MS = 300;

/** Starts a gateway with a large and a small account, and servers that are slow. */
async function startWorld(t: TestContext, terms: readonly string[]): Promise<World> {
  const tenants = [
    { name: 'kirk', api_keys: [KEY] },
    { name: 'spock', api_keys: [SMALL_KEY] },
  ];
  const world = await World.start(t, configWith({ tenants }));
  const { settings } = world;
  assert.ok(settings);
  world.reload({ ...settings, terms });
  world.behave('p', 'slow-answer');
  return world;
}

/** Sends a request of an account to the plain servers; returns its status. */
async function look(world: World, key: string): Promise<{ status: number; retryAfter: number }> {
  const headers = { authorization: `Token ${key}`, 'x-asked-ms': String(WORK_MS) };
  const answer = await world.call({ path: '/look/1', method: 'GET', headers });
  return { status: answer.status, retryAfter: Number(answer.headers['retry-after'] ?? 0) };
}

/** Sends for some time; returns the statuses by account. */
async function sendBoth(world: World, ms: number): Promise<Record<'kirk' | 'spock', number[]>> {
  const statuses = { kirk: [] as number[], spock: [] as number[] };
  const running: Promise<void>[] = [];
  const start = performance.now();
  for (let i = 0; performance.now() - start < ms;) {
    // on a busy machine a pause takes longer; the rate of requests must not depend on it.
    if (i >= ((performance.now() - start) * PER_SECOND) / 1_000) {
      await delay(2);
      continue;
    }
    const isSmall = i % 8 === 0;
    const sent = look(world, isSmall ? SMALL_KEY : KEY).then(({ status }) => {
      statuses[isSmall ? 'spock' : 'kirk'].push(status);
    });
    running.push(sent);
    i += 1;
  }
  await Promise.all(running);
  return statuses;
}

describe('a service without room', () => {
  // Guards against a request path that does not ask for the share, or refuses without saying so.
  test('refuses only the account above the level, at once and as not run', async (t) => {
    const world = await startWorld(t, [SCARCE_ROOM_TERM]);
    await sendBoth(world, 4_000);
    for (let more = 0; more < 4 && !world.events.includes('accounts-limited'); more += 1) {
      await sendBoth(world, 2_000);
    }
    assert.ok(world.events.includes('accounts-limited'));
    const { kirk, spock } = await sendBoth(world, 3_000);
    const answered = (all: readonly number[]): number => {
      return all.filter((status) => status === 200).length / all.length;
    };
    assert.ok(answered(spock) >= 0.9, `small: ${String(answered(spock))}`);
    assert.ok(answered(kirk) < 0.9, `large: ${String(answered(kirk))}`);
    const refused = world.log.events.filter(({ event, fields }) => {
      return event === 'request-ended' && String(fields.detail).includes('fair share');
    });
    assert.ok(refused.length > 0);
    for (const { fields } of refused) {
      assert.deepEqual([fields.reason, fields.run, fields.made], ['overloaded', 'not-run', 0]);
    }
    const metrics = await world.metrics();
    assert.match(metrics, /account_share_refused_total\{service="ledger",account="kirk"\} [1-9]/);
    assert.match(metrics, /account_level_slots\{service="ledger"\} /);
    await until('the limits end', () => world.events.includes('accounts-unlimited') || poke(world));
  });

  // Guards against limits in the deployments that are served without them.
  test('limits no account while the parts are off', async (t) => {
    const world = await startWorld(t, []);
    await sendBoth(world, 3_000);
    assert.ok(!world.events.includes('accounts-limited'));
    assert.ok(!(await world.metrics()).includes('account_level_slots{'));
  });
});

/** Levels are computed when requests arrive. */
async function poke(world: World): Promise<boolean> {
  await look(world, SMALL_KEY);
  return false;
}
