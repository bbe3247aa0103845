import type { TestContext } from 'node:test';
import type { SeenAnswer } from './soakCallers.js';
import type { LongCall } from './soakConnection.js';
import type { SeenRequest } from '../platform/fakeServer.js';
import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { before, describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { findFreePorts } from '../../packages/lab/src/node/freePorts.js';
import { FakeServer } from '../platform/fakeServer.js';
import { FakeStore } from '../platform/fakeStore.js';
import { until } from '../platform/world.js';
import { SoakConfiguration } from './soakConfiguration.js';
import { SoakConnection } from './soakConnection.js';
import { LONG_MS, PORTS_PER_INSTANCE, STOP_GRACE_MS, settingsOf, untilReady } from './soakFleet.js';
import { SoakProcess } from './soakProcess.js';

/** Milliseconds after SIGTERM from which a request that may outlast the stop must not be sent on. */
const SENT_ON_UNTIL_MS = 3_000;
/** Milliseconds that a server takes for an answer; longer than the stop. */
const SLOW_MS = STOP_GRACE_MS + 1_000;

/** Grace period in which a request with the usual time limit can end, also if it is read late. */
const LONG_GRACE_MS = LONG_MS + 3_000;
/** Milliseconds by which an instance is behind whose listener is closed as soon as it handles the signal. */
const BEHIND_AT_CLOSE_MS = 2_700;
/** Callers that connect and send while the instance is behind. */
const WAITING_CALLERS = 8;
/** Milliseconds of a short answer; longer than an instance without requests takes to exit. */
const QUICK_MS = 400;

interface StoppedRequests {
  /** A request that ran when the signal was sent. */
  running: SeenAnswer | undefined;
  /** The first request of its connection, sent after the time in which callers still come. */
  late: SeenAnswer | undefined;
  /** Ids of the requests that reached the server. */
  arrived: string[];
}

/** Stops an instance that handles the signal late, and kills it at the end of its grace period. */
async function stopBehind(t: TestContext, behindMs: number): Promise<StoppedRequests> {
  const { instance, server } = await startInstance(t);
  const running = new SoakConnection(instance);
  const late = new SoakConnection(instance);
  running.send(call('running', SLOW_MS));
  await until('the first request has arrived', () => server.seen.length === 1);
  const { pid = 0 } = instance;
  process.kill(pid, 'SIGSTOP');
  process.kill(pid, 'SIGTERM');
  const signalledAt = performance.now();
  await delay(behindMs);
  const exited = instance.end('SIGTERM');
  await delay(signalledAt + SENT_ON_UNTIL_MS - performance.now());
  late.send(call('late', SLOW_MS));
  await delay(signalledAt + STOP_GRACE_MS - performance.now());
  await instance.end('SIGKILL');
  await exited;
  await Promise.all([running.closed(), late.closed()]);
  const arrived = server.seen.map(idOf);
  return { running: running.answers[0], late: late.answers[0], arrived };
}

async function startInstance(
  t: TestContext,
  stopGraceMs = STOP_GRACE_MS,
): Promise<{ instance: SoakProcess; server: FakeServer }> {
  const directory = await mkdtemp(join(tmpdir(), 'flamingocourse-late-signal-'));
  const store = await new FakeStore().listen(t);
  const server = await new FakeServer('p1').listen(t);
  store.put('servers', server.id, server.entry('ledger'));
  new SoakConfiguration(store, [], 'ample').write();
  const ports = await findFreePorts(PORTS_PER_INSTANCE);
  const settings = { ...settingsOf(ports, store.url, 0), stopGraceMs };
  const instance = new SoakProcess('edge-1', directory, settings);
  t.after(async () => {
    await instance.end('SIGKILL');
    await rm(directory, { recursive: true, force: true });
  });
  await instance.start();
  await untilReady(instance);
  return { instance, server };
}

function call(id: string, forMs: number): LongCall {
  return { id, kind: 'book', asks: { behaviour: 'slow-answer', forMs } };
}

function idOf({ headers }: SeenRequest): string {
  return String(headers['x-request-id']);
}

before(() => {
  execFileSync(process.execPath, ['scripts/bundle.mjs']);
});

// Guards against an instance that counts its grace period from when it handles the signal, and is killed before its last answers.
describe('an instance that handles SIGTERM late', () => {
  const cases = [{ behindMs: 0 }, { behindMs: 700 }, { behindMs: 1_200 }];
  for (const { behindMs } of cases) {
    test(`by ${String(behindMs)} ms answers what runs, and sends on nothing it can't answer`, async (t) => {
      const { running, late, arrived } = await stopBehind(t, behindMs);
      assert.deepEqual([running?.status, running?.complete], [502, true]);
      assert.deepEqual(arrived, ['running']);
      assert.ok([0, 503].includes(late?.status ?? 0), String(late?.status));
    });
  }
});

// Guards against a connection that is accepted before a stop, read after it, and cut with its running request.
test('an instance sends on nothing that it reads after it has stopped serving', async (t) => {
  const { instance, server } = await startInstance(t, LONG_GRACE_MS);
  // its exit takes longer once it has tokens to return.
  await until('the instance has joined', () => instance.output.includes('prepaid-group-joined'));
  // with an open connection to the server, it sends a request on as soon as it has read it.
  const first = new SoakConnection(instance);
  first.send(call('first', 0));
  await first.answered();
  const { pid = 0 } = instance;
  process.kill(pid, 'SIGSTOP');
  process.kill(pid, 'SIGTERM');
  const callers = Array.from({ length: WAITING_CALLERS }, () => new SoakConnection(instance));
  for (const [at, caller] of callers.entries())
    caller.send(call(`waiting-${String(at)}`, QUICK_MS));
  await delay(BEHIND_AT_CLOSE_MS);
  await instance.end('SIGTERM');
  await Promise.all(callers.map((caller) => caller.closed()));
  const answers = [first, ...callers].flatMap((caller) => caller.answers);
  const answered = answers.filter(({ complete }) => complete).map(({ id }) => id);
  const unanswered = server.seen.map(idOf).filter((id) => !answered.includes(id));
  assert.deepEqual(unanswered, []);
});
