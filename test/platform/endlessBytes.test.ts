import type { Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { describe, test } from 'node:test';
import { World, until } from './world.js';

/** Time limit of the routes, and how much later an answer may come, in milliseconds. */
const ROUTE_MS = 1_500;
const SLACK_MS = 500;
const MB = 1024 * 1024;
/** Bytes of one answer that an instance may take, with those in the buffers of its connection. */
const MOST_BYTES = 24 * MB;
const CHUNK = Buffer.alloc(16 * 1024, 'x');
/** Calls at a time to servers that send without end. */
const AT_ONCE = 12;

/** What a server sends, for the id of the request; then the unit without end. */
interface Flood {
  head: (id: string) => string;
  unit: Buffer;
}

const own = (id: string): string => `X-Request-Id: ${id}\r\nX-Response-Signature: s\r\n`;
const chunked = Buffer.concat([Buffer.from('4000\r\n'), CHUNK, Buffer.from('\r\n')]);
const STREAM = 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n';

/** A server that answers whatever it is asked with bytes that do not end until it is closed. */
class EndlessServer {
  bytes = 0;
  /** Ids of the requests that it got. */
  readonly ids = new Set<string>();
  readonly open = new Set<Socket>();
  #url = '';

  constructor(readonly flood: Flood) {}

  get address(): string {
    return this.#url;
  }

  async listen(t: TestContext): Promise<this> {
    const server = createServer((socket) => {
      this.open.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.open.delete(socket));
      socket.once('data', (request: Buffer) => {
        const id = /x-request-id: (\S+)/i.exec(request.toString())?.[1] ?? 'none';
        this.ids.add(id);
        socket.write(this.flood.head(id));
        this.#send(socket);
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    t.after(() => {
      server.close();
      for (const socket of this.open) socket.destroy();
    });
    this.#url = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
    return this;
  }

  #send(socket: Socket): void {
    if (socket.destroyed) return;
    this.bytes += this.flood.unit.length;
    socket.write(this.flood.unit, () => {
      setImmediate(() => {
        this.#send(socket);
      });
    });
  }
}

/** Replaces all servers of a service by endless ones. */
async function startWith(
  t: TestContext,
  service: string,
  flood: Flood,
): Promise<[World, EndlessServer]> {
  const world = await World.start(t);
  world.behave('e', 'stream');
  const server = await new EndlessServer(flood).listen(t);
  const [first, second] = service === 'ledger' ? (['p1', 'p2'] as const) : (['e1', 'e2'] as const);
  world.store.remove('servers', first);
  const entry = world.server(second).entry(service, { address: server.address });
  world.store.put('servers', second, entry);
  await until('listed', () => {
    return (
      world.log.events.findLast(({ event }) => event === 'servers-changed')?.fields.servers === 3
    );
  });
  return [world, server];
}

const text = (value: string): Buffer => Buffer.from(value);

// Guards against servers whose bytes never end: they would hold memory, connections and callers.
describe('bytes without end', () => {
  const cases: { name: string; service: 'ledger' | 'llm'; path: string; flood: Flood }[] = [
    {
      name: 'that are no answer',
      service: 'ledger',
      path: '/book/1',
      flood: { head: () => '', unit: CHUNK },
    },
    {
      name: 'in one field of a head',
      service: 'ledger',
      path: '/book/1',
      flood: { head: () => 'HTTP/1.1 200 OK\r\nX-Long: ', unit: CHUNK },
    },
    {
      name: 'in many fields of a head',
      service: 'ledger',
      path: '/look/1',
      flood: { head: () => 'HTTP/1.1 200 OK\r\n', unit: text('X-Field: value\r\n'.repeat(50)) },
    },
    {
      name: 'as interim answers',
      service: 'ledger',
      path: '/book/1',
      flood: { head: () => '', unit: text('HTTP/1.1 102 Processing\r\n\r\n'.repeat(20)) },
    },
    {
      name: 'in a chunked body',
      service: 'ledger',
      path: '/book/1',
      flood: {
        head: (id) => `HTTP/1.1 200 OK\r\n${own(id)}Transfer-Encoding: chunked\r\n\r\n`,
        unit: chunked,
      },
    },
    {
      name: 'in a body without a length',
      service: 'ledger',
      path: '/look/1',
      flood: { head: (id) => `HTTP/1.1 200 OK\r\n${own(id)}\r\n`, unit: CHUNK },
    },
    {
      name: 'in the body of a rejection',
      service: 'ledger',
      path: '/book/1',
      flood: {
        head: (id) =>
          `HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n${own(id)}Transfer-Encoding: chunked\r\n\r\n`,
        unit: chunked,
      },
    },
    {
      name: 'in the body of another server',
      service: 'ledger',
      path: '/book/1',
      flood: {
        head: (id) => `HTTP/1.1 421 No\r\n${own(id)}Transfer-Encoding: chunked\r\n\r\n`,
        unit: chunked,
      },
    },
    {
      name: 'in the body of a failure',
      service: 'ledger',
      path: '/look/1',
      flood: {
        head: (id) => `HTTP/1.1 500 Failed\r\n${own(id)}Transfer-Encoding: chunked\r\n\r\n`,
        unit: chunked,
      },
    },
    {
      name: 'after an answer',
      service: 'ledger',
      path: '/book/1',
      flood: {
        head: (id) => `HTTP/1.1 200 OK\r\n${own(id)}Content-Length: 2\r\n\r\nok`,
        unit: CHUNK,
      },
    },
    {
      name: 'in a stream that never has an event',
      service: 'llm',
      path: '/chat/1',
      flood: { head: (id) => `HTTP/1.1 200 OK\r\n${own(id)}${STREAM}`, unit: chunked },
    },
    {
      name: 'in an event that never ends, after one',
      service: 'llm',
      path: '/draft/1',
      flood: {
        head: (id) => `HTTP/1.1 200 OK\r\n${own(id)}${STREAM}13\r\nid: 1\ndata: piece\n\n\r\n`,
        unit: chunked,
      },
    },
  ];
  for (const { name, service, path, flood } of cases) {
    test(`${name} end with a closed connection and a true answer`, async (t) => {
      const [world, server] = await startWith(t, service, flood);
      const others = service === 'ledger' ? '/chat/1' : '/look/1';
      const sentAt = performance.now();
      const calls = Array.from({ length: AT_ONCE }, async (_, at) => {
        const id = `endless-${String(at)}`;
        return { id, ...(await world.generate(path, 100, { 'x-request-id': id })) };
      });
      const beside = Array.from({ length: AT_ONCE }, () => world.generate(others, 100));
      const answers = await Promise.all(calls);
      const tookMs = performance.now() - sentAt;
      assert.ok(tookMs < ROUTE_MS + SLACK_MS, `${String(Math.round(tookMs))} ms`);
      const saysNotRun = /X-Not-Executed|421/.test(flood.head('r'));
      for (const { id, status, body, complete } of answers) {
        if (status === 200) assert.ok(!complete || body === 'ok', 'an answer that is not whole');
        // only the server's own word shows that a request which it got did not run.
        if (status === 503) assert.ok(saysNotRun || !server.ids.has(id), `${id} was sent`);
      }
      for (const { status } of await Promise.all(beside)) assert.equal(status, 200);
      await until('closed', () => server.open.size === 0);
      assert.ok(server.bytes < AT_ONCE * MOST_BYTES, `${String(server.bytes)} bytes`);
    });
  }
});
