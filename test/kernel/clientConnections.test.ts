import type { ClientClose, ListenerLimits } from '@flamingocourse/kernel';
import type { ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import { describe, test } from 'node:test';
import { BodyBuffers, ClientConnections, boundedServerOptions } from '@flamingocourse/kernel';

const LONG_MS = 60_000;
const MB = 1024 * 1024;
const usual: ListenerLimits = {
  connections: 2,
  headBytes: 8_192,
  headMs: LONG_MS,
  bodyMs: LONG_MS,
  idleMs: LONG_MS,
  unreadMs: LONG_MS,
};
const GET = 'GET /now HTTP/1.1\r\nHost: a\r\n\r\n';
const WAIT = 'GET /wait HTTP/1.1\r\nHost: a\r\n\r\n';

interface Client {
  socket: Socket;
  text: () => string;
  closed: Promise<unknown>;
}

/** A listener that answers at once, or holds the requests to `/wait`. */
class Listener {
  readonly closes: ClientClose[] = [];
  readonly held: ServerResponse[] = [];
  #port = 0;

  static async start(t: TestContext, change: Partial<ListenerLimits> = {}): Promise<Listener> {
    const listener = new Listener();
    const limits = { ...usual, ...change };
    const server = createServer(boundedServerOptions(limits), (req, res) => {
      req.resume();
      if (req.url === '/wait') listener.held.push(res);
      else res.end('ok');
    });
    const clients = new ClientConnections(server, {
      limits: () => limits,
      bytes: new BodyBuffers(MB, Infinity),
      now: () => performance.now(),
      onClose: (cause) => listener.closes.push(cause),
    });
    clients.start();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    listener.#port = (server.address() as AddressInfo).port;
    t.after(() => {
      clients.stop();
      server.close();
      server.closeAllConnections();
    });
    return listener;
  }

  /** Opens a connection and sends a text; resolves when an answer has begun, if one is expected. */
  async open(t: TestContext, text: string, isAnswered = false): Promise<Client> {
    const socket = connect(this.#port, '127.0.0.1');
    t.after(() => socket.destroy());
    let received = '';
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => (received += chunk.toString()));
    const closed = new Promise((resolve) => socket.once('close', resolve));
    await once(socket, 'connect');
    if (text !== '') socket.write(text);
    if (isAnswered) await once(socket, 'data');
    return { socket, text: () => received, closed };
  }

  /** Opens a connection whose request is held. */
  async openWaiting(t: TestContext, more = ''): Promise<Client> {
    const before = this.held.length;
    const client = await this.open(t, WAIT + more);
    while (this.held.length === before) await new Promise((resolve) => setImmediate(resolve));
    return client;
  }
}

// Guards against ordinary clients that find no place beside connections that wait for their own clients.
describe('a new connection above the limit', () => {
  test('takes the place of the one that waits longest for its client', async (t) => {
    const listener = await Listener.start(t);
    const first = await listener.open(t, GET, true);
    const second = await listener.open(t, GET, true);
    const third = await listener.open(t, GET, true);
    await first.closed;
    assert.deepEqual(listener.closes, ['taken-over']);
    assert.equal(second.socket.destroyed, false);
    assert.match(third.text(), /200 OK/);
  });

  test('takes no place of a client that waits for its answer', async (t) => {
    const listener = await Listener.start(t);
    const waiting = [await listener.openWaiting(t), await listener.openWaiting(t)];
    const third = await listener.open(t, GET);
    await third.closed;
    assert.equal(third.text(), '');
    assert.deepEqual(listener.closes, ['no-room']);
    for (const res of listener.held) res.end('late');
    for (const { socket, text } of waiting) {
      await once(socket, 'data');
      assert.match(text(), /late$/);
    }
  });

  test('ends one that sends ahead after its current answer', async (t) => {
    const listener = await Listener.start(t, { connections: 10 });
    const ahead = await listener.openWaiting(t, GET);
    for (let at = 1; at < 10; at += 1) await listener.openWaiting(t);
    const last = await listener.open(t, GET, true);
    assert.match(last.text(), /200 OK/);
    assert.deepEqual(listener.closes, ['sent-ahead']);
    listener.held[0]?.end('first');
    await ahead.closed;
    assert.equal([...ahead.text().matchAll(/HTTP\/1\.1 200/g)].length, 1);
    assert.match(ahead.text(), /connection: close/i);
  });
});

// Guards against connections that are held for ever by clients that send nothing more.
describe('a connection is closed', () => {
  const cases: {
    name: string;
    change: Partial<ListenerLimits>;
    text: string;
    status: string;
    cause: ClientClose;
  }[] = [
    { name: 'without a request', change: { idleMs: 1 }, text: '', status: '', cause: 'idle' },
    {
      name: 'with a head that never ends',
      change: { headMs: 1 },
      text: 'GET / HTTP/1.1\r\n',
      status: '408',
      cause: 'head-too-late',
    },
    {
      name: 'with a body that never ends',
      change: { bodyMs: 1 },
      text: 'POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nx',
      status: '',
      cause: 'body-too-late',
    },
  ];
  for (const { name, change, text, status, cause } of cases) {
    test(name, async (t) => {
      const listener = await Listener.start(t, change);
      const client = await listener.open(t, text);
      await client.closed;
      assert.equal(/HTTP\/1\.1 (\d+)/.exec(client.text())?.[1] ?? '', status);
      assert.deepEqual(listener.closes, [cause]);
    });
  }

  test('whose answer is not read', async (t) => {
    const listener = await Listener.start(t, { unreadMs: 50 });
    const client = await listener.openWaiting(t);
    client.socket.pause();
    const [res] = listener.held;
    assert.ok(res);
    res.end(Buffer.alloc(32 * MB));
    await once(res, 'close');
    client.socket.resume();
    await client.closed;
    assert.ok(client.text().length < 32 * MB, 'the answer was read whole');
  });
});
