import type { PlainServiceStandIn } from '@flamingocourse/lab';
import type { EntryBench } from './fixtures/entryBench.js';
import assert from 'node:assert/strict';
import { afterEach, describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createPlainServiceStandIn, createServiceRecords } from '@flamingocourse/lab';
import { until } from '../platform/world.js';
import { call, startBench } from './fixtures/entryBench.js';

const PATH = '/services/ledger/reservations';
/** Milliseconds for which the routers of these tests wait for requests, and for slow readers. */
const STOP_MS = 200;

const cleanUps: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const cleanUp of cleanUps.splice(0).reverse()) await cleanUp();
});

// Guards against a stop that closes a connection whose request was read, without an answer.
describe('a request that has not ended when the time of a stop is over', () => {
  const cases: {
    name: string;
    key: string | undefined;
    prepare: (router: EntryBench, server: PlainServiceStandIn) => void;
    /** Whether the router works on the request. */
    hasBegun: (router: EntryBench) => boolean;
  }[] = [
    {
      name: 'because its server is slow',
      key: undefined,
      prepare: (_router, server) => {
        server.setFaults({ slowMs: 1_000 });
      },
      hasBegun: ({ money }) => money.intents.length > 0,
    },
    {
      name: 'because the claim of its key is not answered yet',
      key: 'bed-1',
      prepare: (router) => {
        router.money.claimed = delay(1_000);
      },
      hasBegun: ({ money }) => money.claimsAsked > 0,
    },
  ];
  for (const { name, key, prepare, hasBegun } of cases) {
    test(`${name}: is answered, and sends nothing afterwards`, async () => {
      const records = createServiceRecords();
      const server = await createPlainServiceStandIn({ records });
      const limits = { slowReaderMs: STOP_MS, stopTimeoutMs: STOP_MS };
      const router = await startBench({ ledger: [server.url] }, limits);
      cleanUps.push(
        () => server.stop(),
        () => router.stop(),
      );
      prepare(router, server);
      const headers = key === undefined ? {} : { 'idempotency-key': key };
      const answer = call(router, PATH, { body: { item: 'bed-1', key: 'a' }, headers }).then(
        ({ status }) => status,
        () => 'closed without an answer',
      );
      await until('the request has begun', () => hasBegun(router));
      await router.stop();
      const stepsAtStop = router.money.steps.length;
      const got = await answer;
      await delay(1_200);
      const after = router.money.steps.slice(stepsAtStop);
      assert.deepEqual(
        { answered: typeof got === 'number', sends: after.includes('intent') },
        { answered: true, sends: false },
      );
    });
  }
});
