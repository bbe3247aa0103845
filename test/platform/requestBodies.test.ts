import type { Socket } from 'node:net';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { describe, test } from 'node:test';
import { HOST, KEY, World, until } from './world.js';

/** Time limit of the requests, in milliseconds. */
const LIMIT_MS = 400;
/** Milliseconds in which a connection is closed after its response, with slack. */
const CLOSED_MS = 1_500;

const cases: { name: string; framing: string; unit: string }[] = [
  {
    name: 'a chunked body over the limit without end',
    framing: 'Transfer-Encoding: chunked',
    unit: `400\r\n${'x'.repeat(0x400)}\r\n`,
  },
  {
    name: 'a chunked body that trickles',
    framing: 'Transfer-Encoding: chunked',
    unit: '1\r\nx\r\n',
  },
  { name: 'a body whose end never comes', framing: 'Content-Length: 900', unit: '' },
  { name: 'trailers without end', framing: 'Transfer-Encoding: chunked', unit: '0\r\nX-A: b\r\n' },
];

// Guards against connections and memory that a caller occupies for ever by a body without end.
describe('the connection of a request is closed after its response', () => {
  for (const { name, framing, unit } of cases) {
    test(`that has ${name}`, async (t) => {
      const world = await World.start(t);
      const socket = connect(world.entryPort, '127.0.0.1');
      await once(socket, 'connect');
      t.after(() => socket.destroy());
      const seen = { text: '', closed: false };
      socket.on('error', () => undefined);
      socket.on('data', (chunk: Buffer) => (seen.text += chunk.toString()));
      socket.on('close', () => (seen.closed = true));
      const head = [
        'POST /look/1 HTTP/1.1',
        `Host: ${HOST}`,
        'X-Request-Id: r-1',
        `X-Deadline-Ms: ${String(LIMIT_MS)}`,
        `Authorization: Token ${KEY}`,
        framing,
      ];
      socket.write(`${head.join('\r\n')}\r\n\r\n`);
      const sentAt = performance.now();
      trickle(socket, unit);
      await until('answered', () => seen.text.includes('\r\n\r\n') || seen.closed);
      await until('closed', () => seen.closed || performance.now() - sentAt > 3_000);
      const status = /HTTP\/1.1 (\d+)/.exec(seen.text)?.[1];
      t.diagnostic(`${String(status)}, closed ${String(seen.closed)}`);
      assert.ok(status === '413' || status === '503' || status === '400', status);
      assert.ok(seen.closed, 'the connection is open');
      assert.ok(performance.now() - sentAt < LIMIT_MS + CLOSED_MS);
    });
  }
});

function trickle(socket: Socket, unit: string): void {
  const timer = setInterval(() => {
    if (!socket.destroyed) socket.write(unit);
  }, 5);
  socket.on('close', () => {
    clearInterval(timer);
  });
}
