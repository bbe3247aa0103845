import type { TestContext } from 'node:test';
import type { SeenAnswer } from './soakCallers.js';
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
import { PORTS_PER_INSTANCE, STOP_GRACE_MS, settingsOf, untilReady } from './soakFleet.js';
import { SoakProcess } from './soakProcess.js';

/** Milliseconds after SIGTERM from which a request that may outlast the stop must not be sent on. */
const SENT_ON_UNTIL_MS = 3_000;
/** Milliseconds that a server takes for an answer; longer than the stop. */
const SLOW_MS = STOP_GRACE_MS + 1_000;

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
  running.send(slowCall('running'));
  await until('the first request has arrived', () => server.seen.length === 1);
  const { pid = 0 } = instance;
  process.kill(pid, 'SIGSTOP');
  process.kill(pid, 'SIGTERM');
  const signalledAt = performance.now();
  await delay(behindMs);
  const exited = instance.end('SIGTERM');
  await delay(signalledAt + SENT_ON_UNTIL_MS - performance.now());
  late.send(slowCall('late'));
  await delay(signalledAt + STOP_GRACE_MS - performance.now());
  await instance.end('SIGKILL');
  await exited;
  await Promise.all([running.closed(), late.closed()]);
  const arrived = server.seen.map(idOf);
  return { running: running.answers[0], late: late.answers[0], arrived };
}

async function startInstance(
  t: TestContext,
): Promise<{ instance: SoakProcess; server: FakeServer }> {
  const directory = await mkdtemp(join(tmpdir(), 'flamingocourse-late-signal-'));
  const store = await new FakeStore().listen(t);
  const server = await new FakeServer('p1').listen(t);
  store.put('servers', server.id, server.entry('ledger'));
  new SoakConfiguration(store, [], 'ample').write();
  const ports = await findFreePorts(PORTS_PER_INSTANCE);
  const instance = new SoakProcess('edge-1', directory, settingsOf(ports, store.url, 0));
  t.after(async () => {
    await instance.end('SIGKILL');
    await rm(directory, { recursive: true, force: true });
  });
  await instance.start();
  await untilReady(instance);
  return { instance, server };
}

function slowCall(id: string): Parameters<SoakConnection['send']>[0] {
  return { id, kind: 'book', asks: { behaviour: 'slow-answer', forMs: SLOW_MS } };
}

function idOf({ headers }: SeenRequest): string {
  return String(headers['x-request-id']);
}

// Guards against an instance that counts its grace period from when it handles the signal, and is killed before its last answers.
describe('an instance that handles SIGTERM late', () => {
  before(() => {
    execFileSync(process.execPath, ['scripts/bundle.mjs']);
  });

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
