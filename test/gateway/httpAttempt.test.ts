import type { TestContext } from 'node:test';
import type { AddressInfo, Socket } from 'node:net';
import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { describe, test } from 'node:test';
import { AnswerMemory, ServerAgent, openAttempt, readAnswer } from '@flamingocourse/gateway';
import { BodyBuffers } from '@flamingocourse/kernel';

const whole = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
const unframed = 'HTTP/1.1 200 OK\r\n\r\nok';

/** Starts a server that calls `onRequest` for each request; it is closed after the test. */
async function serve(
  t: TestContext,
  onRequest: (socket: Socket, count: number) => void,
): Promise<string> {
  let count = 0;
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      count += 1;
      onRequest(socket, count);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return `http://127.0.0.1:${String((server.address() as AddressInfo).port)}`;
}

const signal = new AbortController().signal;

function open(url: string, agent: ServerAgent): ReturnType<typeof openAttempt> {
  return openAttempt(attemptTo(url, agent));
}

function attemptTo(url: string, agent: ServerAgent): Parameters<typeof openAttempt>[0] {
  return {
    url,
    method: 'POST',
    target: '/',
    headers: ['content-length', '1'],
    body: Buffer.from('x'),
    agent,
    connectMs: 500,
    headMs: 1_000,
    signal,
  };
}

// Guards against an attempt that rejects, or blames its server, because no request can carry what was asked.
describe('an attempt that no request can carry', () => {
  const cases = [
    { name: 'a target with a line end', change: { target: '/a\r\nb' } },
    { name: 'a header beyond ISO 8859-1', change: { headers: ['x-a', 'склад'] } },
    { name: 'an address that is no URL', change: { url: 'http://a%zz:80' } },
  ];
  for (const { name, change } of cases) {
    test(`is not sent: ${name}`, async (t) => {
      const agent = new ServerAgent();
      const url = await serve(t, () => assert.fail('a request arrived'));
      const opened = await openAttempt({ ...attemptTo(url, agent), ...change });
      assert.ok(opened.isErr);
      assert.deepEqual([opened.error.reason, opened.error.sent], ['unsendable', false]);
    });
  }
});

async function send(
  url: string,
  agent: ServerAgent,
  isOwnEnd = (): Promise<boolean> => Promise.resolve(true),
): Promise<string> {
  const opened = await open(url, agent);
  if (opened.isErr) return opened.error.sent ? 'maybe run' : 'not sent';
  const end = await readAnswer({
    open: opened.value,
    signal,
    answers: new AnswerMemory(new BodyBuffers()),
    isOwnEnd,
    now: () => performance.now(),
  });
  return end.type === 'whole' ? end.body.toBuffer().toString() : end.type;
}

describe('an answer without a length', () => {
  // guards against taking half a response for a complete one: the connection was reset together
  // with its last bytes, which looks like a normal end of the connection.
  const cases = [
    { name: 'that ends with its connection is whole', end: (s: Socket) => s.end(), expected: 'ok' },
    {
      name: 'that was reset is not',
      end: (s: Socket) => s.resetAndDestroy(),
      expected: 'broken',
    },
    {
      name: 'that was reset later is not',
      end: (s: Socket) => setTimeout(() => s.resetAndDestroy(), 30),
      expected: 'broken',
    },
  ];
  for (const { name, end, expected } of cases) {
    test(name, async (t) => {
      const url = await serve(t, (socket) => {
        socket.write(unframed, () => end(socket));
      });
      assert.equal(await send(url, new ServerAgent()), expected);
    });
  }
});

// guards against a caller that gets the response to another request: the server sent a second
// response while the connection was idle, and it was read as the response to the next request.
test('a connection that received unsolicited bytes is not reused', async (t) => {
  const agent = new ServerAgent();
  const url = await serve(t, (socket, count) => {
    socket.write(whole.replace('ok', String(count).padStart(2, '0')));
    if (count === 1) setTimeout(() => socket.write(whole.replace('ok', 'no')), 10);
  });
  assert.equal(await send(url, agent), '01');
  await delay(50);
  assert.equal(await send(url, agent), '02');
  agent.destroy();
});

describe('bytes that arrive before a request is written', () => {
  // Guards against a healthy server that gets no requests for a time, as if it could not be reached.
  const cases = [
    { name: 'a response', bytes: whole },
    { name: 'the rest of a response', bytes: whole.slice(20) },
  ];
  for (const { name, bytes } of cases) {
    test(`${name}: the connection is unusable, and the server is not unreachable`, async (t) => {
      const agent = new ServerAgent();
      t.after(() => {
        agent.destroy();
      });
      let connection: Socket | undefined;
      const url = await serve(t, (socket) => {
        connection = socket;
        socket.write(whole);
      });
      assert.equal(await send(url, agent), 'ok');
      await delay(10);
      connection?.write(bytes);
      const opened = await open(url, agent);
      assert.deepEqual(opened.isErr && { reason: opened.error.reason, sent: opened.error.sent }, {
        reason: 'unusable',
        sent: false,
      });
      assert.equal(await send(url, agent), 'ok');
    });
  }
});

test('a request to a closed port was not sent', async (t) => {
  const url = await serve(t, () => undefined);
  const closed = url.replace(/\d+$/, '1');
  assert.equal(await send(closed, new ServerAgent()), 'not sent');
});

test('a request on a connection that breaks may have run', async (t) => {
  const url = await serve(t, (socket) => socket.resetAndDestroy());
  assert.equal(await send(url, new ServerAgent()), 'maybe run');
});

// Guards against answers without a body that wait for a check which only the end of a connection needs.
test('the end of an answer without a body is not checked while its connection is open', async (t) => {
  const url = await serve(t, (socket) => socket.write('HTTP/1.1 204 No Content\r\n\r\n'));
  const agent = new ServerAgent();
  const isOwnEnd = (): Promise<boolean> => Promise.resolve(false);
  assert.equal(await send(url, agent, isOwnEnd), '');
  agent.destroy();
});

// Guards against memory that a kept connection holds for each answer without a body that came on it.
test('answers without a body leave no listeners on their connection', async (t) => {
  let requests = 0;
  const url = await serve(t, (socket) => {
    requests += 1;
    socket.write('HTTP/1.1 204 No Content\r\n\r\n');
  });
  const agent = new ServerAgent();
  for (let sent = 0; sent < 20; sent += 1) {
    await send(url, agent);
    await delay(5);
  }
  const [connection] = agent.openConnections(url);
  assert.equal(requests, 20);
  assert.ok((connection?.listenerCount('end') ?? Infinity) < 5);
  agent.destroy();
});

test('an answer that is cut short is not whole', async (t) => {
  const url = await serve(t, (socket) =>
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok'),
  );
  assert.equal(await send(url, new ServerAgent()), 'broken');
});
