import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import type { CrashMoment } from './fakeServer.js';
import { CRASHING_BODY, FakeServer } from './fakeServer.js';
import { World, until } from './world.js';

const INSTANCES = 6;
const SERVERS = 8;
/** Rounds in which the caller sends the request to each instance once. */
const ROUNDS = 6;
const REPEAT_MS = 100;
/** Servers that one request may crash: three, and three more until all instances know of it. */
const MAX_CRASHED = 6;

/** How a request crashes the servers that run it. */
interface Case {
  name: string;
  path: string;
  moment: CrashMoment;
}

const cases: Case[] = [
  { name: 'stream, after the head', path: '/chat/a', moment: 'after-head' },
  { name: 'stream, before the head', path: '/chat/a', moment: 'before-head' },
  { name: 'resumable stream, after the head', path: '/draft/a', moment: 'after-head' },
  { name: 'resumable stream, before the head', path: '/draft/a', moment: 'before-head' },
  { name: 'idempotent, after the head', path: '/look/a', moment: 'after-head' },
  { name: 'idempotent, before the head', path: '/look/a', moment: 'before-head' },
  { name: 'not idempotent, before the head', path: '/book/a', moment: 'before-head' },
];

describe('a request that crashes each server that runs it', { concurrency: 2 }, () => {
  for (const { name, path, moment } of cases) {
    // Guards against instances that each let the request crash servers until they find the cause on their own.
    test(`is stopped at all instances once three servers have crashed: ${name}`, async (t) => {
      await withFleet(t, moment, async (fleet) => {
        await sendRounds(fleet, path, ROUNDS);
        const crashed = crashedServers(fleet);
        assert.ok(crashed >= 1 && crashed <= MAX_CRASHED, `${String(crashed)} servers crashed`);
      });
    });
  }

  // Guards against a new instance that does not know of the request and lets it crash more servers.
  test('is refused by an instance that has just joined', async (t) => {
    await withFleet(t, 'after-head', async (fleet) => {
      await sendRounds(fleet, '/draft/a', ROUNDS);
      const crashed = crashedServers(fleet);
      const [first] = fleet;
      assert.ok(first);
      const joined = await first.join(t, 'edge-new', { mesh: true });
      const answer = await joined.call({ path: '/draft/a', body: CRASHING_BODY });
      assert.equal(answer.status, 503);
      // retry-after is set to a useful time.
      const retryAfter = Number(answer.headers['retry-after']);
      assert.ok(retryAfter > 30 && retryAfter <= 600, `${String(retryAfter)} s`);
      assert.equal(crashedServers(fleet), crashed);
      const lines = joined.log.events.filter(({ event }) => event === 'request-ended');
      assert.equal(lines.filter(({ fields }) => fields.fingerprint !== undefined).length, 1);
      await joined.stop();
    });
  });

  // Guards against losing the cause when all instances end, so that the request crashes servers again.
  test('is refused when all instances have restarted', async (t) => {
    await withFleet(t, 'after-head', async (fleet) => {
      await sendRounds(fleet, '/draft/a', ROUNDS);
      const crashed = crashedServers(fleet);
      const [first] = fleet;
      assert.ok(first);
      await until('the cause is stored', () => first.store.names('fleet-causes').length > 0);
      await Promise.all(fleet.map((instance) => instance.stop()));
      const joined = await first.join(t, 'edge-new', { mesh: true });
      await until('the cause is known', () => joined.events.includes('request-quarantined'));
      const answer = await joined.call({ path: '/draft/a', body: CRASHING_BODY });
      assert.equal(answer.status, 503);
      assert.equal(crashedServers(fleet), crashed);
      await joined.stop();
    });
  });

  // Guards against refusing requests that were only in flight at the same time and never crash a server.
  test('does not affect other requests in flight', async (t) => {
    await withFleet(t, 'after-head', async (fleet) => {
      const others = sendOthers(fleet, ROUNDS * INSTANCES);
      await sendRounds(fleet, '/draft/a', ROUNDS);
      await others;
      await delay(400);
      const after = await sendOthers(fleet, 1);
      assert.deepEqual(after, Array<number>(INSTANCES).fill(200));
      assert.ok(
        crashedServers(fleet) <= MAX_CRASHED,
        `${String(crashedServers(fleet))} servers crashed`,
      );
    });
  });
});

/** Runs a check with a fleet, and stops the fleet while its store still answers. */
async function withFleet(
  t: TestContext,
  moment: CrashMoment,
  check: (fleet: World[]) => Promise<void>,
): Promise<void> {
  const fleet = await startFleet(t, moment);
  try {
    await check(fleet);
  } finally {
    await Promise.all(fleet.map((instance) => instance.stop()));
  }
}

/** Starts instances in two data centres, and servers of both services that such a request crashes. */
async function startFleet(t: TestContext, moment: CrashMoment): Promise<World[]> {
  const first = await World.start(t, undefined, { mesh: true });
  for (const kind of ['p', 'e']) {
    for (let i = 3; i <= SERVERS; i += 1) {
      const server = await new FakeServer(`${kind}${String(i)}`).listen(t);
      first.servers.push(server);
    }
  }
  for (const server of first.servers) restartUnder(first, server, moment);
  const names = Array.from({ length: INSTANCES - 1 }, (_, i) => `edge-${String(i + 2)}`);
  const others = names.map((name, i) => {
    return first.join(t, name, { mesh: true, dataCentre: i % 2 === 0 ? 'hall-b' : 'hall-a' });
  });
  const fleet = [first, ...(await Promise.all(others))];
  await first.allKnow(fleet);
  return fleet;
}

/** Adds a server to the list, and adds it again under its new id after each crash. */
function restartUnder({ store }: World, server: FakeServer, moment: CrashMoment): void {
  const service = server.name.startsWith('p') ? 'ledger' : 'llm';
  let listed = server.id;
  server.behaviour = service === 'llm' ? 'stream' : 'answer';
  server.crashes = moment;
  store.put('servers', server.id, server.entry(service));
  server.onRestart = () => {
    store.remove('servers', listed);
    listed = server.id;
    store.put('servers', server.id, server.entry(service));
  };
}

/** Sends the request repeatedly, each time to the next instance. */
async function sendRounds(fleet: readonly World[], path: string, rounds: number): Promise<void> {
  for (let round = 0; round < rounds; round += 1) {
    for (const instance of fleet) {
      void instance.call({ path, body: CRASHING_BODY });
      await delay(REPEAT_MS);
    }
  }
}

/** Sends streams of other callers, one to each instance in each round. Returns their statuses. */
async function sendOthers(fleet: readonly World[], rounds: number): Promise<number[]> {
  const sent: Promise<number>[] = [];
  for (let round = 0; round < rounds; round += 1) {
    for (const [i, instance] of fleet.entries()) {
      const call = instance.call({ path: '/draft/a', body: `x=${String(i)}` });
      sent.push(call.then(({ status }) => status));
    }
    await delay(REPEAT_MS);
  }
  return Promise.all(sent);
}

/** Number of servers that the request has crashed. */
function crashedServers([first]: readonly World[]): number {
  return first ? first.servers.reduce((sum, { crashed }) => sum + crashed, 0) : 0;
}
