import type { PlainServiceStandIn } from '@flamingocourse/lab';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { EntryBench } from './fixtures/entryBench.js';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { afterEach, describe, test } from 'node:test';
import { createPlainServiceStandIn, createServiceRecords } from '@flamingocourse/lab';
import { HmacTicketCodec } from '@flamingocourse/router';
import { call, startBench } from './fixtures/entryBench.js';

const cleanUps: (() => Promise<void>)[] = [];
const PATH = '/services/ledger/reservations';

afterEach(async () => {
  for (const cleanUp of cleanUps.splice(0).reverse()) await cleanUp();
});

async function startAll(count: number): Promise<{
  router: EntryBench;
  servers: PlainServiceStandIn[];
  runs: () => number;
}> {
  const records = createServiceRecords();
  const servers = await Promise.all(
    Array.from({ length: count }, () => createPlainServiceStandIn({ records })),
  );
  const router = await startBench({ ledger: servers.map((server) => server.url) });
  cleanUps.push(...servers.map((server) => () => server.stop()), () => router.stop());
  return { router, servers, runs: () => records.runs.length };
}

interface Problem {
  reason: string;
  run: string;
}

test('a call records its intent before it is sent, and is billed as declared', async () => {
  const { router, runs } = await startAll(1);
  const res = await call(router, PATH, { body: { item: 'bed-1', key: 'a' } });
  assert.equal(res.status, 201);
  assert.equal(runs(), 1);
  assert.deepEqual(router.money.steps, ['reserve', 'intent', 'bill']);
  assert.equal(router.money.bills[0]?.cost, 3);
});

// Guards against a call that runs twice: the service ran it, the connection broke before the reply,
// and the router sent the call to another server.
const breaks = [
  { breakAt: 'after-run', ran: 1 },
  { breakAt: 'before-run', ran: 0 },
] as const;

for (const { breakAt, ran } of breaks) {
  test(`a connection that breaks ${breakAt} is not retried`, async () => {
    const { router, servers, runs } = await startAll(2);
    for (const server of servers) server.setFaults({ breakAt, breaks: 5 });
    const headers = { 'idempotency-key': 'bed-17' };
    const options = { body: { item: 'bed-17', key: 'b' }, headers };
    const res = await call(router, PATH, options);
    const problem = (await res.json()) as Problem;
    assert.deepEqual([problem.reason, problem.run], ['outcome-unknown', 'unknown']);
    assert.equal(runs(), ran);
    for (const server of servers) server.setFaults({ breakAt: null, breaks: 0 });
    const retry = await call(router, PATH, options);
    assert.equal(((await retry.json()) as Problem).reason, 'outcome-unknown');
    assert.equal(runs(), ran);
  });
}

test('a call refused at connection is retried at another server, since nothing ran', async () => {
  const { router, servers, runs } = await startAll(2);
  await servers[0]?.stop();
  for (let index = 0; index < 4; index += 1) {
    const res = await call(router, PATH, { body: { item: `bed-${index}`, key: String(index) } });
    assert.equal(res.status, 201);
  }
  assert.equal(runs(), 4);
});

test('without an available server the refusal says not run, and the intent is withdrawn', async () => {
  const { router, servers } = await startAll(1);
  await servers[0]?.stop();
  const res = await call(router, PATH, { body: { item: 'bed-1', key: 'c' } });
  assert.equal(((await res.json()) as Problem).run, 'not-run');
  assert.notEqual(res.headers.get('retry-after'), null);
  assert.deepEqual(router.money.notRun, [1]);
});

// Guards against drains that the router ignores: calls still reached a drained server.
test('a drained server gets no new work until the drain is removed', async () => {
  const { router, servers } = await startAll(2);
  const send = async (): Promise<number[]> => {
    const before = servers.map((server) => server.served);
    for (let index = 0; index < 6; index += 1) {
      await call(router, PATH, { body: { item: `bed-${index}`, key: String(index) } });
    }
    return servers.map((server, index) => server.served - (before[index] ?? 0));
  };
  router.drain([{ service: 'ledger', server: 'ledger-0' }]);
  assert.deepEqual(await send(), [0, 6]);
  router.drain([]);
  assert.ok(((await send())[0] ?? 0) > 0);
});

// Guards against two retries that arrive at the same time, both wait for the claim, and both run.
test('the same key sent twice at once runs once and both get the answer', async () => {
  const { router, runs } = await startAll(2);
  const options = { body: { item: 'bed-3', key: 'd' }, headers: { 'idempotency-key': 'bed-3' } };
  const both = await Promise.all([call(router, PATH, options), call(router, PATH, options)]);
  const texts = await Promise.all(both.map((res) => res.text()));
  assert.equal(texts[0], texts[1]);
  assert.equal(runs(), 1);
});

test('a ticket that is sent repeatedly runs once', async () => {
  const { router, runs } = await startAll(1);
  const issued = await call(router, '/v1/tickets', { body: {} });
  const { ticket } = (await issued.json()) as { ticket: string };
  const options = { body: { item: 'b', key: 'e' }, headers: { 'flamingocourse-ticket': ticket } };
  const first = await (await call(router, PATH, options)).text();
  const second = await (await call(router, PATH, options)).text();
  assert.equal(first, second);
  assert.equal(runs(), 1);
});

// Guards against a retry that always gets "outcome-unknown": its first attempt was refused as "not
// run" because no server was available, and the retry uses the same key or ticket.
for (const header of ['idempotency-key', 'flamingocourse-ticket']) {
  test(`a request refused as not run can be retried with its ${header}`, async () => {
    const { router, servers, runs } = await startAll(1);
    const issued = await call(router, '/v1/tickets', { body: {} });
    const { ticket } = (await issued.json()) as { ticket: string };
    const value = header === 'idempotency-key' ? 'bed-9' : ticket;
    const options = { body: { item: 'bed-9', key: 'g' }, headers: { [header]: value } };
    servers[0]?.setFaults({ leaving: true });
    const refused = (await (await call(router, PATH, options)).json()) as Problem;
    assert.equal(refused.run, 'not-run');
    servers[0]?.setFaults({ leaving: false });
    await servers[0]?.stop();
    const next = await createPlainServiceStandIn({ records: createServiceRecords() });
    cleanUps.push(() => next.stop());
    router.serve('ledger', [next.url]);
    await new Promise((resolve) => setTimeout(resolve, 250));
    assert.equal((await call(router, PATH, options)).status, 201);
    assert.equal(runs(), 0);
  });
}

// Guards against a retry that never gets an answer: the router that issued the ticket crashed before
// the ticket was used, so it had no claim, and the takeover kept asking for that claim.
test('a ticket of a sealed router that has not run is run once, and its retry gets the answer', async () => {
  const { router, runs } = await startAll(1);
  const codec = new HmacTicketCodec('a secret of the tests');
  const ticket = codec.format({ issuer: 'dc-b/router-9/0', number: 4 }, 'shop');
  router.money.resolution = { type: 'not-run' };
  const options = { body: { item: 'b', key: 'h' }, headers: { 'flamingocourse-ticket': ticket } };
  const first = await call(router, PATH, options);
  assert.equal(first.status, 201);
  const second = await call(router, PATH, options);
  assert.equal(await second.text(), await first.text());
  assert.equal(runs(), 1);
});

const resolutions = [
  { resolution: { type: 'started' }, reason: 'outcome-unknown', run: 'unknown' },
  { resolution: { type: 'unknown' }, reason: 'outcome-unknown', run: 'unknown' },
  { resolution: { type: 'billed' }, reason: 'answer-expired', run: 'ran' },
] as const;

for (const { resolution, reason, run } of resolutions) {
  test(`a ticket of a crashed router that is ${resolution.type} gets ${reason}`, async () => {
    const { router, runs } = await startAll(1);
    const codec = new HmacTicketCodec('a secret of the tests');
    const ticket = codec.format({ issuer: 'dc-b/router-9/0', number: 1 }, 'shop');
    router.money.resolution = resolution;
    const res = await call(router, PATH, {
      body: { item: 'b', key: 'f' },
      headers: { 'flamingocourse-ticket': ticket },
    });
    const problem = (await res.json()) as Problem;
    assert.deepEqual([problem.reason, problem.run], [reason, run]);
    assert.equal(runs(), 0);
  });
}

// Guards against half of an answer without a length that is passed on as whole, because its server ended.
describe('an answer without a length', () => {
  const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
  const cases: { name: string; end: (socket: Socket, server: Server) => void; isWhole: boolean }[] =
    [
      { name: 'is whole where its server goes on', end: (socket) => socket.end(), isWhole: true },
      {
        name: 'is not where its server has ended',
        end: (socket, server) => {
          server.close();
          socket.end();
        },
        isWhole: false,
      },
      {
        name: 'is not where its connection was reset',
        end: (socket) => socket.resetAndDestroy(),
        isWhole: false,
      },
    ];
  for (const { name, end, isWhole } of cases) {
    test(name, async () => {
      const server = createServer((socket) => {
        socket.on('error', () => undefined);
        socket.once('data', (bytes: Buffer) => {
          const isCall = bytes.toString().startsWith('POST');
          socket.write(`${head}half`, () => {
            if (isCall) end(socket, server);
            else socket.end();
          });
        });
      });
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const { port } = server.address() as AddressInfo;
      const router = await startBench({ ledger: [`http://127.0.0.1:${String(port)}`] });
      cleanUps.push(
        () => router.stop(),
        async () => {
          server.close();
          return Promise.resolve();
        },
      );
      const res = await call(router, PATH, { body: { item: 'bed-1', key: 'a' } });
      const body = await res.text();
      if (isWhole) assert.deepEqual([res.status, body], [200, 'half']);
      else assert.equal((JSON.parse(body) as Problem).run, 'unknown');
    });
  }
});
