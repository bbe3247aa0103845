import type { FloodName } from './floods.js';
import type { MemoryFleet as Fleet } from './memoryFleet.js';
import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import {
  MAX_INSTANCE_BYTES,
  MemoryFleet,
  ROUTE_MS,
  call,
  callRaw,
  peakMemory,
} from './memoryFleet.js';

/** Faulty responses at a time. */
const AT_ONCE = 100;
/** How much later than its time limit a response may come, in milliseconds. */
const SLACK_MS = 500;
/** Milliseconds for which sound requests go on after the last faulty response. */
const AFTER_MS = 500;

/** Runs something faulty beside sound requests and checks all instances. */
async function assertUnharmed(
  t: TestContext,
  fleet: Fleet,
  run: () => Promise<unknown>,
): Promise<void> {
  const controller = new AbortController();
  const sound = fleet.callSound(controller.signal);
  await run();
  await delay(AFTER_MS);
  controller.abort();
  const { statuses, worstMs } = await sound;
  const failed = statuses.filter((status) => status !== 200);
  const peaks = fleet.instances.map(({ pid = 0, unexpectedExits }) =>
    unexpectedExits.length > 0 ? Infinity : peakMemory(pid),
  );
  const mb = peaks.map((bytes) => Math.round(bytes / 1024 / 1024)).join(', ');
  t.diagnostic(
    `${mb} MB, ${String(statuses.length)} sound, ${String(failed.length)} failed (${[...new Set(failed)].join()}), ${String(fleet.repeated)} repeated, worst ${String(Math.round(worstMs))} ms`,
  );
  for (const instance of fleet.instances) {
    const end = instance.output.trimEnd().split('\n').slice(-3).join('\n');
    assert.deepEqual(instance.unexpectedExits, [], end);
  }
  assert.deepEqual(failed, []);
  assert.ok(worstMs < ROUTE_MS, `${String(worstMs)} ms`);
  assert.ok(Math.max(...peaks) < MAX_INSTANCE_BYTES, `${mb} MB`);
}

// Guards against an instance that ends, or serves nobody in time, because servers send without end.
describe('a process of an instance stays within its memory and serves others beside responses without end', () => {
  const cases: { path: string; flood: FloodName }[] = [
    { path: '/book/1', flood: 'large chunks' },
    { path: '/book/1', flood: 'chunks of one byte' },
    { path: '/book/1', flood: 'bytes without a length' },
    { path: '/book/1', flood: 'header section' },
    { path: '/book/1', flood: 'interim responses' },
    { path: '/book/1', flood: 'trailers' },
    { path: '/chat/1', flood: 'one event' },
    { path: '/chat/1', flood: 'one event in chunks of one byte' },
    { path: '/chat/1', flood: 'one event of many lines' },
    { path: '/draft/1', flood: 'one event of short lines in short chunks' },
    { path: '/chat/1', flood: 'events' },
    { path: '/chat/1', flood: 'events in short chunks' },
    { path: '/chat/1', flood: 'comment lines' },
    { path: '/chat/1', flood: 'large events' },
  ];
  for (const { path, flood } of cases) {
    test(`${flood} (${path})`, async (t) => {
      const fleet = await MemoryFleet.start(t);
      await fleet.addFaulty(t, path === '/book/1' ? 'ledger' : 'llm');
      const { port = 0 } = fleet.instances[0] ?? {};
      await assertUnharmed(t, fleet, async () => {
        const calls = Array.from({ length: AT_ONCE }, (_, at) =>
          call(port, { path, flood, id: `flood-${String(at)}` }),
        );
        const ended = await Promise.all(calls);
        const statuses = [...new Set(ended.map(({ status }) => status))].join(', ');
        const worstMs = Math.max(...ended.map(({ tookMs }) => tookMs));
        t.diagnostic(`statuses ${statuses}, worst ${String(Math.round(worstMs))} ms`);
        assert.ok(worstMs < ROUTE_MS + SLACK_MS, `${String(worstMs)} ms`);
      });
    });
  }
});

/** Body of a request without end, or of the maximum size but for its end. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;
const bodies: { name: string; framing: string; unit: Buffer; totalBytes: number }[] = [
  {
    name: 'in large chunks, without end',
    framing: 'Transfer-Encoding: chunked',
    unit: Buffer.concat([Buffer.from('4000\r\n'), Buffer.alloc(0x4000, 'x'), Buffer.from('\r\n')]),
    totalBytes: Infinity,
  },
  {
    name: 'in chunks of one byte, without end',
    framing: 'Transfer-Encoding: chunked',
    unit: Buffer.from('1\r\nx\r\n'.repeat(2_000)),
    totalBytes: Infinity,
  },
  {
    name: 'of the maximum size that never end',
    framing: `Content-Length: ${String(MAX_BODY_BYTES)}`,
    unit: Buffer.alloc(0x4000, 'x'),
    totalBytes: MAX_BODY_BYTES - 0x4000,
  },
];

// Guards against an instance that ends, or serves nobody in time, because callers send without end.
describe('a process of an instance stays within its memory and serves others beside requests', () => {
  for (const { name, framing, unit, totalBytes } of bodies) {
    test(`with bodies ${name}`, async (t) => {
      const fleet = await MemoryFleet.start(t, { max_body_bytes: MAX_BODY_BYTES });
      const { port = 0 } = fleet.instances[0] ?? {};
      await assertUnharmed(t, fleet, async () => {
        const ended = await Promise.all(
          Array.from({ length: AT_ONCE }, (_, at) => {
            return callRaw({ port, framing, unit, totalBytes, id: `raw-${String(at)}` });
          }),
        );
        const worstMs = Math.max(...ended.map(({ tookMs }) => tookMs));
        const statuses = [...new Set(ended.map(({ status }) => status))].join(', ');
        t.diagnostic(`statuses ${statuses}, worst ${String(Math.round(worstMs))} ms`);
        assert.ok(worstMs < ROUTE_MS + SLACK_MS, `${String(worstMs)} ms`);
      });
    });
  }
});

/** Milliseconds for which the store answers without end. */
const STORE_FAULT_MS = 3_000;

// Guards against an instance that ends because its store answers without end.
describe('a process of an instance stays within its memory beside a store', () => {
  for (const fault of ['endless-body', 'endless-small-chunks'] as const) {
    test(`with the fault ${fault}`, async (t) => {
      const fleet = await MemoryFleet.start(t);
      await assertUnharmed(t, fleet, async () => {
        fleet.store.fault = fault;
        await delay(STORE_FAULT_MS);
        fleet.store.fault = 'none';
      });
    });
  }
});

// Guards against an instance that ends because servers answer health checks and questions for their state
// without end.
describe('a process of an instance stays within its memory beside servers whose checks never end', () => {
  const checks: FloodName[] = [
    'header section',
    'state in large chunks',
    'state in chunks of one byte',
    'state that trickles',
  ];
  for (const checkFlood of checks) {
    test(`with ${checkFlood}`, async (t) => {
      const fleet = await MemoryFleet.start(t);
      await fleet.addFaulty(t, 'llm', { checkFlood, entry: { born: 1 } });
      const { port = 0 } = fleet.instances[0] ?? {};
      await assertUnharmed(t, fleet, async () => {
        const calls = Array.from({ length: AT_ONCE }, (_, at) =>
          call(port, { path: '/draft/1', id: `draft-${String(at)}` }),
        );
        const ended = await Promise.all(calls);
        const statuses = [...new Set(ended.map(({ status }) => status))].join(', ');
        const worstMs = Math.max(...ended.map(({ tookMs }) => tookMs));
        t.diagnostic(`statuses ${statuses}, worst ${String(Math.round(worstMs))} ms`);
        assert.ok(worstMs < ROUTE_MS + SLACK_MS, `${String(worstMs)} ms`);
      });
    });
  }
});
