import type { GossipItem, StreamRecord } from '@flamingocourse/core';
import type { RoutedProcedure } from '@flamingocourse/mesh';
import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { Kernel, MemoryEventLog } from '@flamingocourse/kernel';
import { MeshClient, MeshServer, logUnreadable } from '@flamingocourse/mesh';
import fc from 'fast-check';
import { Result } from 'true-myth';

const ITEM: GossipItem = {
  origin: 'edge-1-1',
  seq: 1,
  ageMs: 0,
  news: { type: 'finished', fingerprint: 'f' },
};
const RECORD: StreamRecord = { key: 'k', origin: { service: 's', version: 'v' }, forMs: 1 };
const LOAN = { held: 5, remaining: 9, othersRate: 0, available: 4, gone: 0 };
const LENT = { type: 'lent', lender: 'edge-1-1', instances: 1, fetchers: 1, isStopping: false };
const MEMBER = ['hall-a/edge-1/0123456789ab', 'http://127.0.0.1:1', 'http://127.0.0.1:2', 1, 1, 1];
const REPORT = { instance: 'edge-2', incarnation: 'a', seq: 1, last: false, entries: {} };

/** Values that no entry of a message is. */
const odd: unknown[] = [
  null,
  7,
  'x',
  [],
  {},
  { type: 'a newer one' },
  JSON.parse('{"__proto__":{"key":7}}'),
];

async function start(
  t: TestContext,
): Promise<{ server: MeshServer; client: MeshClient; log: MemoryEventLog }> {
  const log = new MemoryEventLog();
  const onUnreadable = logUnreadable(log);
  const server = new MeshServer({ host: '127.0.0.1', port: 0, onUnreadable });
  server.setIncarnationCheck(() => true);
  const kernel = new Kernel().register(server);
  await kernel.start();
  const client = new MeshClient({ onUnreadable });
  t.after(async () => {
    client.close();
    await kernel.stop();
  });
  return { server, client, log };
}

// Guards against facts and streams that are lost because one beside them cannot be read, as between versions.
describe('an entry of a message that cannot be read', () => {
  for (const entry of odd) {
    test(`${JSON.stringify(entry)} costs itself alone`, async (t) => {
      const { server, client, log } = await start(t);
      const got: unknown[] = [];
      server.handle('exchangeNews', (message) => {
        got.push(message.items);
        return Result.ok(message);
      });
      server.handle('keepStreams', ({ streams }) => {
        got.push(streams);
        return Result.ok('kept');
      });
      const target = { meshUrl: server.url };
      const news = { from: 'edge-1', known: { a: 1 }, items: [entry, ITEM] as GossipItem[] };
      for (let sent = 0; sent < 2; sent += 1) {
        assert.ok((await client.call(target, 'exchangeNews', news)).isOk);
      }
      const streams = [RECORD, entry] as StreamRecord[];
      assert.ok((await client.call(target, 'keepStreams', { streams })).isOk);
      assert.deepEqual(got, [[ITEM], [ITEM], [RECORD]]);
      const lines = log.events.filter(({ event }) => event === 'peer-entry-invalid');
      assert.deepEqual(
        lines.map(({ fields }) => [fields.procedure, fields.list, fields.count, fields.entry]),
        [
          ['exchangeNews', 'items', 1, JSON.stringify(entry)],
          ['keepStreams', 'streams', 1, JSON.stringify(entry)],
        ],
      );
    });
  }
});

/** Answers that can be read, with where entries stand alone in them. */
const answers: {
  procedure: RoutedProcedure;
  input: unknown;
  answer: object;
  list?: string;
  /** Fields without which it cannot be read. @default all */
  required?: string[];
}[] = [
  {
    procedure: 'heartbeat',
    input: { i: MEMBER },
    answer: { i: MEMBER, m: [MEMBER] },
    list: 'm',
    required: ['i'],
  },
  {
    procedure: 'exchangeNews',
    input: { from: 'edge-1', known: {}, items: [] },
    answer: { from: 'edge-1', known: {}, items: [ITEM] },
    list: 'items',
  },
  {
    procedure: 'borrow',
    input: { report: REPORT, urgent: {}, typicalRequest: 1, interest: [] },
    answer: { ...LENT, accounts: { kirk: LOAN } },
    list: 'accounts',
  },
  {
    procedure: 'findStream',
    input: { key: 'k', services: [] },
    answer: { knowledge: { type: 'unknown' }, software: { s: ['v'] } },
    list: 'software',
  },
  {
    procedure: 'pullConfiguration',
    input: { since: 0 },
    answer: { asOf: 1, objects: [], complete: true },
  },
  { procedure: 'fenceHolder', input: { holder: 'h' }, answer: { lines: [] } },
  {
    procedure: 'recall',
    input: { account: 'kirk', amount: 1, forDataCentre: 'd' },
    answer: { amount: 1 },
  },
];

// Guards against the work of an instance that ends, or a stream that counts as unknown everywhere, because of what
// a peer answers.
describe('an answer of a peer', () => {
  for (const { procedure, input, answer, list, required = Object.keys(answer) } of answers) {
    test(`to ${procedure} that cannot be read is none`, async (t) => {
      const { server, client } = await start(t);
      let output: unknown = answer;
      server.handle(procedure, () => Result.ok(output as never));
      const call = (): Promise<Result<unknown, Error>> => {
        const target = { meshUrl: server.url, incarnation: 'a' };
        return client.call(target, procedure, input as never);
      };
      assert.deepEqual((await call()).unwrapOr(undefined), answer);
      for (output of [null, 7, [], {}, ...required.map((key) => without(answer, key))]) {
        assert.equal((await call()).isErr, true, JSON.stringify(output));
      }
      await fc.assert(
        fc.asyncProperty(fc.jsonValue(), async (any) => {
          output = any;
          await call();
        }),
      );
    });

    if (list === undefined) continue;
    test(`to ${procedure} is read without the entries that cannot be`, async (t) => {
      const { server, client, log } = await start(t);
      const table = (answer as Record<string, object>)[list] ?? {};
      const withOdd = Array.isArray(table) ? [7, ...(table as unknown[])] : { ...table, odd: 7 };
      server.handle(procedure, () => Result.ok({ ...answer, [list]: withOdd } as never));
      const target = { meshUrl: server.url, incarnation: 'a' };
      const got = await client.call(target, procedure, input as never);
      assert.deepEqual(got.unwrapOr(undefined as never), answer);
      const line = log.events.find(({ event }) => event === 'peer-entry-invalid');
      assert.deepEqual([line?.fields.peer, line?.fields.list], [server.url, list]);
    });
  }
});

function without(answer: object, key: string): object {
  return Object.fromEntries(Object.entries(answer).filter(([name]) => name !== key));
}
