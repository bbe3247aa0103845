import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import type { CrashMoment, FakeServer } from './fakeServer.js';
import { CRASHING_BODY } from './fakeServer.js';
import { INSTANCES, withFleet } from './crashFleet.js';
import type { World } from './world.js';
import { until } from './world.js';
import { createRandom } from '../routing/fixtures/seededRandom.js';

/** Rounds in which the caller sends the request to each instance once. */
const ROUNDS = 6;
const REPEAT_MS = 100;
/** Servers that one request may crash: three, and three more until all instances know of it. */
const MAX_CRASHED = 6;

/** Crashed servers after which the request must be stopped. */
const PROVEN_CRASHES = 3;
/** Milliseconds after that until every instance must know of it. */
const KNOWN_WITHIN_MS = 3_000;
/** Maximum number of times that the request may be sent after that. */
const MAX_SENT_LATER = 3;
/** Milliseconds for which the request is still repeated after that. */
const WATCHED_MS = 4_000;
/** Milliseconds between repeats so rare that the instances can't all find the cause on their own in time. */
const RARE_REPEAT_MS = 400;
/** Milliseconds in which each repeated request must have crashed enough servers. */
const MAX_PROOF_MS = 15_000;
/** Milliseconds between the stops of two instances. */
const STOP_INTERVAL_MS = 600;

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

/** Requests that crash servers at the same time. */
interface RepeatedCase {
  name: string;
  paths: string[];
  moment: CrashMoment;
  /** Whether instances are replaced in turn meanwhile. */
  areReplaced?: boolean;
}

const repeatedCases: RepeatedCase[] = [
  { name: 'one stream', paths: ['/chat/a'], moment: 'after-head' },
  {
    name: 'three streams',
    paths: ['/chat/a', '/chat/a', '/chat/a'],
    moment: 'after-head',
  },
  {
    name: 'requests of each kind and of two services',
    paths: ['/chat/a', '/draft/a', '/look/a', '/book/a'],
    moment: 'before-head',
  },
  {
    name: 'two streams, while instances are replaced',
    paths: ['/chat/a', '/draft/a'],
    moment: 'after-head',
    areReplaced: true,
  },
];

describe('requests that crash servers, each repeated at any instance', { concurrency: 2 }, () => {
  for (const { name, paths, moment, areReplaced } of repeatedCases) {
    // Guards against a request that is still sent to servers long after it has crashed three of them.
    test(`are sent hardly ever once all instances must know of them: ${name}`, async (t) => {
      await withFleet(t, moment, async (fleet) => {
        const requests = paths.map((path, i) => {
          return { path, body: `${CRASHING_BODY}&request=${String(i)}` };
        });
        const replaced = new AbortController();
        const replacing = areReplaced ? replaceInTurn(t, fleet, replaced.signal) : undefined;
        await Promise.all(requests.map((request, i) => repeatAnywhere(fleet, request, i + 1)));
        replaced.abort();
        await replacing;
        for (const { body } of requests) {
          const later = sentLater(fleet, body);
          assert.ok(later <= MAX_SENT_LATER, `${body}: ${String(later)} times`);
        }
      });
    });
  }
});

/** Sends the request repeatedly, each time to the next instance. */
async function sendRounds(fleet: readonly World[], path: string, rounds: number): Promise<void> {
  for (let round = 0; round < rounds; round += 1) {
    for (const instance of fleet) {
      void instance.call({ path, body: CRASHING_BODY });
      await delay(REPEAT_MS);
    }
  }
}

/** Sends a request repeatedly, each time to any instance, until the time in which it is watched has passed. */
async function repeatAnywhere(
  fleet: readonly World[],
  request: { path: string; body: string },
  seed: number,
): Promise<void> {
  const random = createRandom(seed);
  const end = performance.now() + MAX_PROOF_MS;
  await delay(random() * RARE_REPEAT_MS);
  for (;;) {
    const proofAt = provenAt(fleet, request.body);
    if (proofAt !== undefined && performance.now() > proofAt + KNOWN_WITHIN_MS + WATCHED_MS) return;
    assert.ok(proofAt !== undefined || performance.now() < end, `${request.body}: no proof`);
    void fleet[Math.floor(random() * fleet.length)]?.call(request);
    await delay(RARE_REPEAT_MS);
  }
}

/** Stops one instance after another, each when its successor is ready. */
async function replaceInTurn(t: TestContext, fleet: World[], signal: AbortSignal): Promise<void> {
  for (let i = 0; !signal.aborted; i += 1) {
    const oldest = fleet[0];
    assert.ok(oldest);
    const joined = await oldest.join(t, `edge-new-${String(i)}`, { mesh: true });
    fleet.push(joined);
    fleet.shift();
    await oldest.stop();
    await delay(STOP_INTERVAL_MS);
  }
}

/** Runs of a request at any server, in order. */
function runsOf([first]: readonly World[], body: string): FakeServer['seen'] {
  const seen = first?.servers.flatMap((server) => server.seen) ?? [];
  return seen.filter((request) => request.ran && request.body === body).sort((a, b) => a.at - b.at);
}

/** When the request reached the last of the servers whose crashes prove that it is the cause. */
function provenAt(fleet: readonly World[], body: string): number | undefined {
  const firstAt = new Map<string, number>();
  for (const { headers, at } of runsOf(fleet, body)) {
    const server = String(headers['x-expect-instance']);
    if (!firstAt.has(server)) firstAt.set(server, at);
  }
  return [...firstAt.values()][PROVEN_CRASHES - 1];
}

/** Number of times that the request was sent to a server when every instance had to know of it. */
function sentLater(fleet: readonly World[], body: string): number {
  const knownAt = (provenAt(fleet, body) ?? Infinity) + KNOWN_WITHIN_MS;
  return runsOf(fleet, body).filter(({ at }) => at > knownAt).length;
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
