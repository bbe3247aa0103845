import type { Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import type { MeshClientOptions, MeshServerOptions, TunnelRequest } from '@flamingocourse/mesh';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { Kernel } from '@flamingocourse/kernel';
import { MeshClient, MeshServer, acceptTunnel, refuseTunnel } from '@flamingocourse/mesh';
import { Result } from 'true-myth';

const TIMEOUT_MS = 2_000;
/** Timeout of a call to a peer that never answers, in milliseconds. */
const SHORT_TIMEOUT_MS = 60;

interface Peer {
  server: MeshServer;
  kernel: Kernel;
}

async function startPeer(t: TestContext, options: Partial<MeshServerOptions> = {}): Promise<Peer> {
  const server = new MeshServer({ host: '127.0.0.1', port: 0, ...options });
  const kernel = new Kernel().register(server);
  await kernel.start();
  t.after(() => kernel.stop());
  return { server, kernel };
}

function createClient(t: TestContext, options: MeshClientOptions = {}): MeshClient {
  const client = new MeshClient(options);
  t.after(() => {
    client.close();
  });
  return client;
}

/** Opens a tunnel that has to be opened. */
async function openOne(t: TestContext, peerUrl: string, target = 's1'): Promise<Socket> {
  const opened = await createClient(t).openTunnel({ peerUrl, target, timeoutMs: TIMEOUT_MS });
  if (opened.isErr) throw opened.error;
  t.after(() => opened.value.destroy());
  return opened.value;
}

function echo({ socket, head }: TunnelRequest): void {
  acceptTunnel(socket);
  socket.write(head);
  socket.pipe(socket);
}

/** Listens with a raw server; returns its URL and the connections that it accepted. */
async function startRawPeer(
  t: TestContext,
  onConnection: (socket: Socket) => void,
): Promise<{ peerUrl: string; sockets: Socket[] }> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    onConnection(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  const { port } = server.address() as AddressInfo;
  return { peerUrl: `http://127.0.0.1:${String(port)}`, sockets };
}

/** Sends text as a caller that knows nothing of tunnels; returns all that comes back. */
async function sendRaw(url: string, text: string): Promise<string> {
  const socket = connect(Number(new URL(url).port), '127.0.0.1');
  let answer = '';
  socket.on('error', () => undefined);
  socket.on('data', (chunk: Buffer) => (answer += chunk.toString('latin1')));
  socket.write(text);
  await once(socket, 'close');
  return answer;
}

// Guards against ids that change on their way, or that make the request malformed.
const targets = ['s1', 'hall-a/s 1', 'sérver', '100%', 'a?b#c', '[::1]:80', 'http://s1'];
for (const target of targets) {
  test(`a tunnel is asked for the server ${target}`, async (t) => {
    const { server } = await startPeer(t);
    const asked: string[] = [];
    server.handleConnect((request) => {
      asked.push(request.target);
      echo(request);
    });
    const socket = await openOne(t, server.url, target);
    socket.write('ping');
    const [answer] = (await once(socket, 'data')) as [Buffer];
    assert.deepEqual([asked, answer.toString()], [[target], 'ping']);
  });
}

// Guards against the loss of bytes that arrive together with the request.
test('bytes behind the request reach the handler as head', async (t) => {
  const { server } = await startPeer(t);
  server.handleConnect(({ socket, head }) => {
    acceptTunnel(socket);
    socket.end(head);
  });
  const answer = await sendRaw(server.url, 'CONNECT s1 HTTP/1.1\r\nHost: s1\r\n\r\nearly');
  assert.match(answer, /^HTTP\/1\.1 200 .*\r\n\r\nearly$/s);
});

// Guards against the loss of bytes that arrive together with the answer.
test('bytes behind the answer are read from the socket', async (t) => {
  const { peerUrl } = await startRawPeer(t, (socket) => {
    socket.once('data', () => socket.write('HTTP/1.1 200 OK\r\n\r\nearly'));
  });
  const socket = await openOne(t, peerUrl);
  const [answer] = (await once(socket, 'data')) as [Buffer];
  assert.equal(answer.toString(), 'early');
});

// Guards against a reset that reads as an orderly end because bytes were unread when it came.
test('a reset behind unread bytes is an error of the socket, not its end', async (t) => {
  const { peerUrl, sockets } = await startRawPeer(t, (socket) => {
    socket.once('data', () => socket.write('HTTP/1.1 200 OK\r\n\r\n'));
  });
  const socket = await openOne(t, peerUrl);
  socket.pause();
  const events: string[] = [];
  socket.on('end', () => events.push('end'));
  socket.on('error', ({ code }: NodeJS.ErrnoException) => events.push(String(code)));
  const closed = new Promise((resolve) => socket.once('close', resolve));
  const [peer] = sockets;
  peer?.write(Buffer.alloc(1024 * 1024));
  await delay(50);
  peer?.resetAndDestroy();
  await delay(50);
  socket.resume();
  await closed;
  assert.deepEqual(events, ['ECONNRESET']);
});

/** Requests for a tunnel that the peer refuses. */
const refusals: {
  name: string;
  refusal: string;
  server?: Partial<MeshServerOptions>;
  client?: MeshClientOptions;
  handler?: (request: TunnelRequest) => void;
}[] = [
  { name: 'by a peer that opens none', refusal: 'not-listed' },
  {
    name: 'by a peer without room',
    refusal: 'unavailable',
    handler: ({ socket }) => {
      refuseTunnel(socket, 'unavailable');
    },
  },
  {
    name: 'by a peer whose connection the server refused',
    refusal: 'server-refused',
    handler: ({ socket }) => {
      refuseTunnel(socket, 'server-refused');
    },
  },
  {
    name: 'by a peer that cannot reach the server',
    refusal: 'server-unreachable',
    handler: ({ socket }) => {
      refuseTunnel(socket, 'server-unreachable');
    },
  },
  {
    name: 'by a peer that answers with an unknown status',
    refusal: 'other',
    handler: ({ socket }) => {
      socket.end('HTTP/1.1 418 Teapot\r\n\r\n');
    },
  },
  {
    name: 'because the secret is missing',
    refusal: 'not-trusted',
    server: { secret: 'a' },
    handler: echo,
  },
  {
    name: 'because the secret is another',
    refusal: 'not-trusted',
    server: { secret: 'a' },
    client: { secret: 'b' },
    handler: echo,
  },
];
for (const { name, refusal, server: serverOptions, client, handler } of refusals) {
  // Guards against refusals that don't say whether another peer can help.
  test(`a tunnel is refused ${name}`, async (t) => {
    const { server } = await startPeer(t, serverOptions);
    if (handler) server.handleConnect(handler);
    const mesh = createClient(t, client);
    const options = { peerUrl: server.url, target: 's1', timeoutMs: TIMEOUT_MS };
    const asked = await mesh.openTunnel(options);
    const error = asked.isErr ? asked.error : undefined;
    assert.deepEqual([error?.code, error?.refusal], ['refused', refusal]);
  });
}

// Guards against connections that a refused caller keeps open.
test('the connection of a refused caller is closed even if the caller does not close it', async (t) => {
  const { server } = await startPeer(t);
  const options = { port: Number(new URL(server.url).port), host: '127.0.0.1' };
  const socket = connect({ ...options, allowHalfOpen: true });
  t.after(() => socket.destroy());
  const closed = new Promise((resolve) => socket.once('close', resolve));
  const errors: Error[] = [];
  socket.on('error', (err) => errors.push(err));
  socket.write('CONNECT s1 HTTP/1.1\r\nHost: s1\r\n\r\n');
  await once(socket.resume(), 'end');
  const writes = setInterval(() => socket.write('more'), 5);
  await Promise.race([closed, delay(TIMEOUT_MS)]);
  clearInterval(writes);
  assert.equal(errors.length, 1);
});

// Guards against a caller with the secret who is not trusted.
test('a tunnel is opened for a caller with the secret', async (t) => {
  const { server } = await startPeer(t, { secret: 'a' });
  server.handleConnect(echo);
  const options = { peerUrl: server.url, target: 's1', timeoutMs: TIMEOUT_MS };
  const asked = await createClient(t, { secret: 'a' }).openTunnel(options);
  if (asked.isErr) throw asked.error;
  asked.value.destroy();
});

// Guards against requests that end the process.
for (const path of ['%zz', '%', '%c3%28', '/', 's1?%ff', '%00']) {
  test(`a request for the malformed target ${path} leaves the listener serving`, async (t) => {
    const { server } = await startPeer(t);
    server.handleConnect(({ socket }) => {
      refuseTunnel(socket, 'not-listed');
    });
    const answer = await sendRaw(server.url, `CONNECT ${path} HTTP/1.1\r\nHost: a\r\n\r\n`);
    assert.match(answer, /^HTTP\/1\.1 40[04] /);
    server.handleConnect(echo);
    await openOne(t, server.url);
  });
}

/** Peers that don't answer a request for a tunnel in order. */
const failures: {
  name: string;
  code: string;
  timeoutMs: number;
  onConnection: (socket: Socket) => void;
}[] = [
  {
    name: 'that is silent',
    code: 'timeout',
    timeoutMs: SHORT_TIMEOUT_MS,
    onConnection: (socket) => socket.resume(),
  },
  {
    name: 'that answers half a head',
    code: 'timeout',
    timeoutMs: SHORT_TIMEOUT_MS,
    onConnection: (socket) => socket.resume().write('HTTP/1.1 200 O'),
  },
  {
    name: 'that resets the connection',
    code: 'unreachable',
    timeoutMs: TIMEOUT_MS,
    onConnection: (socket) => socket.once('data', () => socket.resetAndDestroy()),
  },
  {
    name: 'that closes the connection',
    code: 'unreachable',
    timeoutMs: TIMEOUT_MS,
    onConnection: (socket) => socket.once('data', () => socket.end()),
  },
  {
    name: 'that does not speak HTTP',
    code: 'unreachable',
    timeoutMs: TIMEOUT_MS,
    onConnection: (socket) => socket.resume().write('hello\r\n\r\n'),
  },
];
for (const { name, code, timeoutMs, onConnection } of failures) {
  // Guards against calls that never end, and against sockets that stay open after them.
  test(`a tunnel through a peer ${name} ends with ${code} and leaves no socket`, async (t) => {
    const { peerUrl, sockets } = await startRawPeer(t, onConnection);
    const mesh = createClient(t);
    const asked = await mesh.openTunnel({ peerUrl, target: 's1', timeoutMs });
    assert.equal(asked.isErr && asked.error.code, code);
    await delay(20);
    assert.deepEqual(
      sockets.filter((socket) => !socket.destroyed),
      [],
    );
  });
}

// Guards against an exception instead of a result.
test('a tunnel through a peer that does not listen is unreachable', async (t) => {
  const options = { peerUrl: 'http://127.0.0.1:1', target: 's1', timeoutMs: TIMEOUT_MS };
  const asked = await createClient(t).openTunnel(options);
  assert.equal(asked.isErr && asked.error.code, 'unreachable');
});

// Guards against tunnels that keep calls between routers from being served, and the reverse.
test('open tunnels do not count as calls', async (t) => {
  const { server } = await startPeer(t, { maxConcurrent: 1 });
  server.handleConnect(echo);
  server.setIncarnationCheck(() => true);
  server.handle('recall', ({ amount }) => Result.ok({ amount }));
  await openOne(t, server.url);
  await openOne(t, server.url);
  const target = { meshUrl: server.url, incarnation: 'a' };
  const input = { account: 'a', amount: 3, forDataCentre: 'dc-a' };
  const answer = await createClient(t).call(target, 'recall', input);
  assert.deepEqual(answer.unwrapOr(null), { amount: 3 });
});

// Guards against a stop that waits for tunnels, and against answers that its end makes look complete.
test('a stop of the listener resets the tunnels that are left', async (t) => {
  const { server, kernel } = await startPeer(t);
  server.handleConnect(echo);
  const socket = await openOne(t, server.url);
  const errored = once(socket, 'error');
  const ended: string[] = [];
  socket.on('end', () => ended.push('end')).resume();
  await kernel.stop();
  const [error] = (await errored) as [NodeJS.ErrnoException];
  assert.deepEqual([error.code, ended], ['ECONNRESET', []]);
});

// Guards against an error of a socket that ends the process of the peer or of the caller.
for (const side of ['caller', 'peer'] as const) {
  test(`a reset by the ${side} in the middle of a tunnel ends neither process`, async (t) => {
    const { server } = await startPeer(t);
    const accepted: Socket[] = [];
    server.handleConnect(({ socket }) => {
      acceptTunnel(socket);
      accepted.push(socket.resume());
    });
    const caller = await openOne(t, server.url);
    const [peer] = accepted;
    assert.ok(peer);
    const ends = { caller, peer };
    const other = side === 'caller' ? peer : caller.resume();
    const closed = new Promise((resolve) => other.once('close', resolve));
    ends[side].resetAndDestroy();
    await closed;
    await openOne(t, server.url);
  });
}

// Guards against small writes that wait for the acknowledgement of earlier ones.
test('both ends of a tunnel send without delay', async (t) => {
  const { server } = await startPeer(t);
  server.handleConnect(echo);
  const socket = await openOne(t, server.url);
  const from = performance.now();
  for (let turn = 0; turn < 20; turn += 1) {
    socket.write('a');
    socket.write('b');
    let arrived = 0;
    while (arrived < 2) arrived += ((await once(socket, 'data')) as [Buffer])[0].length;
  }
  // with Nagle's algorithm and delayed acknowledgements, each turn takes 40 ms.
  assert.ok(performance.now() - from < 400);
});

// Guards against connections that are opened after the client was closed.
test('a closed client opens no tunnel', async (t) => {
  const { server } = await startPeer(t);
  server.handleConnect(echo);
  const mesh = createClient(t);
  mesh.close();
  const options = { peerUrl: server.url, target: 's1', timeoutMs: TIMEOUT_MS };
  const asked = await mesh.openTunnel(options);
  assert.equal(asked.isErr && asked.error.code, 'unreachable');
});
