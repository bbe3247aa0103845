import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import { describe, test } from 'node:test';
import { World, until } from './world.js';

const MANY_DIGITS = '9'.repeat(320);
const ID = 'odd';
const BODY = 'hello';

/** Headers of answers that an instance reads or passes on. */
const names = [
  'X-Request-Id',
  'X-Response-Signature',
  'X-Weight-Versions',
  'X-Server-Load',
  'X-Not-Executed',
  'X-Cold-Ms',
  'Server-Limit',
  'Server-Leaving',
  'Server-Brittle',
  'Retry-After',
  'Keep-Alive',
  'Connection',
  'Content-Type',
  'Content-Length',
  'Set-Cookie',
  '__proto__',
  'constructor',
];

const values = [
  '',
  '__proto__',
  '\xff\xfe',
  '-1',
  MANY_DIGITS,
  `timeout=${MANY_DIGITS}`,
  `1,1,${MANY_DIGITS}`,
  'x'.repeat(7_000),
];

// Guards against one answer of a server that ends the process, and with it all requests in flight.
describe('an answer with an odd header', { concurrency: 4 }, () => {
  for (const name of names) {
    test(`${name} costs at most its own request`, async (t) => {
      const world = await World.start(t);
      const server = await startOddServer(t, world, name);
      for (const value of values) {
        server.value = value;
        const before = server.answered;
        for (let sent = 0; sent < 6 && server.answered === before; sent += 1) {
          const { status } = await world.call({ path: '/look/1' });
          assert.ok([200, 502, 503, 504].includes(status), `${value}: ${String(status)}`);
        }
      }
      assert.ok(server.answered > 0);
      world.store.remove('servers', ID);
      await until('an ordinary request is served', async () => {
        return (await world.call({ path: '/book/1' })).status === 200;
      });
      assert.ok(!world.events.includes('service-failed'));
    });
  }
});

interface OddServer {
  value: string;
  /** Requests answered so far. */
  answered: number;
}

/** Starts one more server of plain requests, whose answers have an odd header. */
async function startOddServer(t: TestContext, world: World, name: string): Promise<OddServer> {
  const odd: OddServer = { value: '', answered: 0 };
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    t.after(() => socket.destroy());
    socket.on('data', (bytes) => {
      const id = /x-request-id: (\S+)/i.exec(bytes.toString('latin1'))?.[1];
      const lines = {
        'X-Instance-Id': ID,
        'X-Response-Signature': 's',
        'Content-Length': String(BODY.length),
        ...(id === undefined ? {} : { 'X-Request-Id': id }),
      };
      if (id !== undefined) odd.answered += 1;
      const others = Object.entries(lines).filter(([line]) => id === undefined || line !== name);
      const all = id === undefined ? others : [...others, [name, odd.value]];
      const head = all.map((line) => `${line.join(': ')}\r\n`).join('');
      socket.write(Buffer.from(`HTTP/1.1 200 OK\r\n${head}\r\n${BODY}`, 'latin1'));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const [first] = world.servers;
  assert.ok(first);
  const address = `127.0.0.1:${String(port)}`;
  world.store.put('servers', ID, first.entry('ledger', { address }));
  await until('the server is used', async () => {
    await world.call({ path: '/look/1' });
    return odd.answered > 0;
  });
  return odd;
}
