import type { Socket } from 'node:net';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { describe, test } from 'node:test';
import { HOST, KEY, World, configWith, until } from './world.js';

const MAX_BODY_BYTES = 512 * 1024;
const MAX_HEAD_BYTES = 16_384;
const limits = {
  max_body_bytes: MAX_BODY_BYTES,
  max_header_bytes: MAX_HEAD_BYTES,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

function head(id: string, ...more: string[]): string {
  const lines = [
    'POST /look/1 HTTP/1.1',
    `Host: ${HOST}`,
    `X-Request-Id: ${id}`,
    'X-Deadline-Ms: 10000',
    `Authorization: Token ${KEY}`,
    ...more,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

/** Opens a connection whose answers are collected. */
async function open(port: number): Promise<{ socket: Socket; received: () => string }> {
  const socket = connect(port, '127.0.0.1');
  await once(socket, 'connect');
  let text = '';
  socket.on('error', () => undefined);
  socket.on('data', (chunk: Buffer) => (text += chunk.toString()));
  return { socket, received: () => text };
}

function statusesIn(text: string): string[] {
  return [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status ?? '');
}

async function startWorld(t: Parameters<typeof World.start>[0]): Promise<World> {
  const { routes } = configWith() as { routes: object[] };
  const slow = routes.map((route) => ({ ...route, timeout_ms: 10_000 }));
  return World.start(t, configWith({ limits, routes: slow }));
}

const body = 'x'.repeat(MAX_BODY_BYTES);
const cases: { name: string; text: string; sent: string }[] = [
  {
    name: 'the largest body, in chunks of one byte',
    text: `${head('r-1', 'Transfer-Encoding: chunked')}${'1\r\nx\r\n'.repeat(MAX_BODY_BYTES)}0\r\n\r\n`,
    sent: body,
  },
  {
    name: 'the largest body, of a stated length',
    text: `${head('r-1', `Content-Length: ${String(MAX_BODY_BYTES)}`)}${body}`,
    sent: body,
  },
  {
    name: 'a head of many short fields',
    text: head('r-1', ...Array.from({ length: 900 }, () => 'a: bbbbbbbbbb'), 'Content-Length: 0'),
    sent: '',
  },
  {
    name: 'extensions and trailers',
    text: `${head('r-1', 'Transfer-Encoding: chunked')}2;a=b\r\nok\r\n0\r\nx-y: z\r\n\r\n`,
    sent: 'ok',
  },
];

// Guards against limits that refuse what the configuration allows.
describe('a single request is served in calm', () => {
  for (const { name, text, sent } of cases) {
    test(`with ${name}`, async (t) => {
      const world = await startWorld(t);
      const { socket, received } = await open(world.entryPort);
      t.after(() => socket.destroy());
      socket.write(text);
      await until('answered', () => statusesIn(received()).length > 0 || socket.destroyed);
      assert.deepEqual(statusesIn(received()), ['200']);
      assert.equal(world.seen('p')[0]?.body, sent);
    });
  }
});

test('requests that are sent ahead are answered in their order', async (t) => {
  const world = await startWorld(t);
  const { socket, received } = await open(world.entryPort);
  t.after(() => socket.destroy());
  const ids = Array.from({ length: 200 }, (_, at) => `r-${String(at)}`);
  socket.write(ids.map((id) => `${head(id, 'Content-Length: 3')}x=1`).join(''));
  await until('answered', () => statusesIn(received()).length === ids.length);
  const answered = [...received().matchAll(/^x-request-id: (\S+)\r$/gim)].map(([, id]) => id);
  assert.deepEqual(answered, ids);
});

// Guards against a refusal of bytes sent ahead that is taken for the answer to the request before them.
describe('the answer to a request is its own', () => {
  const faults = [
    { name: 'what is no request', text: 'NONSENSE\r\n\r\n' },
    { name: 'a head without its host and id', text: 'GET /look/1 HTTP/1.1\r\n\r\n' },
    { name: 'a head that expects what nobody knows', text: head('r-2', 'Expect: magic') },
    { name: 'a head that is too large', text: `GET /${'x'.repeat(70_000)}` },
  ];
  for (const { name, text } of faults) {
    test(`although ${name} was sent ahead`, async (t) => {
      const world = await startWorld(t);
      world.behave('p', 'slow-answer');
      const { socket, received } = await open(world.entryPort);
      t.after(() => socket.destroy());
      socket.write(`${head('r-1', 'x-asked-ms: 300', 'Content-Length: 3')}x=1${text}`);
      await until('answered', () => statusesIn(received()).length > 0 || socket.destroyed);
      assert.equal(statusesIn(received())[0], '200');
    });
  }
});

// Guards against a reset that takes a refusal away from a caller that still sends.
describe('a refusal reaches a caller that sends on', () => {
  const refused = [
    {
      name: 'an unknown route',
      status: '404',
      start: head('r-1', 'Transfer-Encoding: chunked').replace('/look/', '/none/'),
    },
    {
      name: 'no id',
      status: '400',
      start: `POST /look/1 HTTP/1.1\r\nHost: ${HOST}\r\nTransfer-Encoding: chunked\r\n\r\n`,
    },
    {
      name: 'a head that is too large',
      status: '431',
      start: `GET /${'x'.repeat(70_000)} HTTP/1.1\r\n`,
    },
  ];
  for (const { name, status, start } of refused) {
    test(`after ${name}, and its connection is closed`, async (t) => {
      const world = await startWorld(t);
      const { socket, received } = await open(world.entryPort);
      t.after(() => socket.destroy());
      socket.write(start);
      const unit = `1000\r\n${'x'.repeat(0x1000)}\r\n`;
      const timer = setInterval(() => {
        if (!socket.destroyed && socket.writable) socket.write(unit);
      }, 5);
      t.after(() => {
        clearInterval(timer);
      });
      await until('closed', () => socket.destroyed);
      assert.deepEqual(statusesIn(received()), [status]);
    });
  }
});
