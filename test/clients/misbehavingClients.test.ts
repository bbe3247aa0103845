import type { TestContext } from 'node:test';
import type { SoakProcess } from '../soak/soakProcess.js';
import type { Listener, MisbehaviourName } from './misbehaviour.js';
import assert from 'node:assert/strict';
import { readdirSync } from 'node:fs';
import { request } from 'node:http';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { findFreePorts } from '../../packages/lab/src/node/freePorts.js';
import { MAX_INSTANCE_BYTES, MemoryFleet, call, peakMemory } from '../platform/memoryFleet.js';
import { HOST } from '../platform/world.js';
import { Crowd } from './crowd.js';
import { MAX_BODY_BYTES, sentBy } from './misbehaviour.js';

/** Connections of a crowd. */
const CROWD = 300;
/** Connections that a listener takes at a time, as the settings of these tests say. */
const CONNECTIONS = { entry: 100, ready: 16, metrics: 16, mesh: 32 };
/** Open descriptors that an instance may have: its connections, and as many others as half of these. */
const MAX_DESCRIPTORS = 250;
/** Longer than a crowd stays, so that no time limit ends its requests. */
const ROUTE_MS = 30_000;
/** Bytes of a request's head that the configuration allows. */
const MAX_HEAD_BYTES = 16_384;
/** Milliseconds between two tries of an ordinary request, and the number of tries. */
const RETRY_MS = 250;
const TRIES = 100;

interface Fleet {
  instance: SoakProcess;
  ports: Record<Listener, number>;
}

async function startFleet(t: TestContext): Promise<Fleet> {
  const [entry = 0, ready = 0, metrics = 0, mesh = 0] = await findFreePorts(4);
  const ports = { entry, ready, metrics, mesh };
  const addresses = Object.entries(ports).map(([name, port]) => [
    name,
    `127.0.0.1:${String(port)}`,
  ]);
  const listen: unknown = Object.fromEntries(addresses);
  const limits = { max_body_bytes: MAX_BODY_BYTES, max_header_bytes: MAX_HEAD_BYTES };
  const settings = { listen, limits: { connections: CONNECTIONS } };
  const fleet = await MemoryFleet.start(t, limits, { routeMs: ROUTE_MS, settings });
  const [instance] = fleet.instances;
  assert.ok(instance);
  return { instance, ports };
}

/** Status of a GET request; 0 if its connection ended without an answer. */
function getStatus(port: number, path: string): Promise<number> {
  return new Promise((resolve) => {
    const options = { host: '127.0.0.1', port, path, agent: false, headers: { host: HOST } };
    const req = request(options, (res) => {
      res.resume();
      res.on('error', () => undefined);
      res.on('close', () => {
        resolve(res.complete ? (res.statusCode ?? 0) : 0);
      });
    });
    req.on('error', () => {
      resolve(0);
    });
    req.end();
  });
}

/** Sends one ordinary request to a listener, and again as callers do while it is refused. */
async function isAnswered({ instance, ports }: Fleet, listener: Listener): Promise<boolean> {
  const paths = { ready: '/api/ready', metrics: '/metrics', mesh: '/status' };
  for (let tries = 0; tries < TRIES; tries += 1) {
    if (instance.unexpectedExits.length > 0) return false;
    const port = ports[listener];
    const status =
      listener === 'entry'
        ? (await call(port, { path: '/sound/1', id: `ordinary-${String(tries)}` })).status
        : await getStatus(port, paths[listener]);
    // both say so with an answer if the instance is not ready.
    const mayBeUnready = listener === 'ready' || listener === 'mesh';
    if (status === 200 || (mayBeUnready && status === 503)) return true;
    await delay(RETRY_MS);
  }
  return false;
}

function openDescriptors({ pid = 0 }: SoakProcess): number {
  try {
    return readdirSync(`/proc/${String(pid)}/fd`).length;
  } catch {
    return 0;
  }
}

function assertAlive({ unexpectedExits, output }: SoakProcess, when: string): void {
  const end = output.trimEnd().split('\n').slice(-3).join('\n').slice(-1_000);
  assert.deepEqual(unexpectedExits, [], `${when}: ${end}`);
}

async function assertBears(
  t: TestContext,
  listener: Listener,
  name: MisbehaviourName,
  isUsual: boolean,
): Promise<void> {
  const fleet = await startFleet(t);
  const { instance, ports } = fleet;
  const crowd = await Crowd.open(ports[listener], CROWD, sentBy(name, listener, isUsual));
  t.after(() => {
    crowd.close();
  });
  let descriptors = openDescriptors(instance);
  await crowd.settled();
  descriptors = Math.max(descriptors, openDescriptors(instance));
  assertAlive(instance, 'beside the crowd');
  const beside = await isAnswered(fleet, listener);
  const entryBeside = await isAnswered(fleet, 'entry');
  descriptors = Math.max(descriptors, openDescriptors(instance));
  const { connected } = crowd;
  crowd.close();
  const after = await isAnswered(fleet, listener);
  const entryAfter = await isAnswered(fleet, 'entry');
  assertAlive(instance, 'after the crowd');
  const bytes = peakMemory(instance.pid ?? 0);
  const mb = Math.round(bytes / 1024 / 1024);
  t.diagnostic(
    `${String(mb)} MB, ${String(descriptors)} descriptors, ${String(connected)} connected`,
  );
  assert.ok(bytes < MAX_INSTANCE_BYTES, `${String(mb)} MB`);
  assert.ok(descriptors < MAX_DESCRIPTORS, `${String(descriptors)} descriptors`);
  const answered = { beside, entryBeside, after, entryAfter };
  assert.deepEqual(
    answered,
    { beside: true, entryBeside: true, after: true, entryAfter: true },
    'an ordinary request is answered',
  );
}

const ofEachListener: MisbehaviourName[] = [
  'bodies in large chunks that stop short of their end',
  'bodies in chunks of one byte that stop short of their end',
  'bodies of a stated length that stop short of it',
  'bodies whose trailers never end',
  'heads that never end',
  'requests sent ahead',
  'requests sent ahead of which each has a body',
];

// Guards against a process that runs out of memory or of descriptors, or serves nobody, because of what its
// clients make it hold.
describe('an instance lives within its limits beside clients', () => {
  for (const listener of ['entry', 'ready', 'metrics', 'mesh'] as const) {
    describe(`at the ${listener} listener`, () => {
      for (const name of ofEachListener) {
        for (const isUsual of [true, false]) {
          const headers = isUsual ? 'with' : 'without';
          test(`${listener}: ${name}, ${headers} the usual headers`, (t) =>
            assertBears(t, listener, name, isUsual));
        }
      }
      test(`${listener}: connections with no request at all`, (t) =>
        assertBears(t, listener, 'no request at all', false));
    });
  }

  test('entry: requests whose large answers are left unread', (t) =>
    assertBears(t, 'entry', 'requests whose large answers are left unread', true));
});
