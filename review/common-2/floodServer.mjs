/**
 * A faulty server: it answers each stream with events in small chunks, without end, until the caller
 * closes. Its health checks are sound. It says its port to its parent.
 */

import { createServer } from 'node:net';
import { setImmediate } from 'node:timers';

const [id, host] = process.argv.slice(2);
const WRITE_BYTES = 16_384;
const CHUNK = '9\r\ndata: x\n\n\r\n';
const UNIT = CHUNK.repeat(Math.ceil(WRITE_BYTES / CHUNK.length));

const server = createServer((socket) => {
  let head = '';
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => {
    head += bytes.toString('latin1');
    if (!head.includes('\r\n\r\n')) return;
    answer(socket, head);
    head = '';
  });
});
server.listen(0, host, () => process.send?.({ port: server.address().port }));
process.on('disconnect', () => process.exit());

function answer(socket, head) {
  if (head.startsWith('GET /health ')) {
    socket.write(`HTTP/1.1 200 OK\r\nX-Instance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
    return;
  }
  const request = /x-request-id: (\S+)/i.exec(head)?.[1] ?? 'none';
  process.send?.({ what: 'runs', request });
  const own = `X-Request-Id: ${request}\r\nX-Response-Signature: proof.${id}.${request}`;
  const type = 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked';
  socket.write(`HTTP/1.1 200 OK\r\n${own}\r\n${type}\r\n\r\n`);
  const flood = () => {
    if (!socket.destroyed) socket.write(UNIT, () => setImmediate(flood));
  };
  flood();
}
