/**
 * Entry of a process that begins each answer without a length and never ends it. The test ends the
 * process, and with it the connections of the answers.
 */

import type { AddressInfo } from 'node:net';
import { createServer } from 'node:http';
import { event } from './fakeServer.js';

const [name = ''] = process.argv.slice(2);

const server = createServer((req, res) => {
  const id = String(req.headers['x-request-id']);
  // read to its end, because the kernel resets a connection with unread bytes when its process ends.
  req.resume();
  req.on('end', () => {
    const isStream = req.url?.startsWith('/chat/') === true || req.url?.startsWith('/draft/');
    const type = isStream ? 'Content-Type: text/event-stream\r\n' : '';
    const own = `X-Request-Id: ${id}\r\nX-Response-Signature: proof-of-${name}\r\n${type}`;
    const part = isStream ? event(1) : 'half of ';
    res.socket?.write(`HTTP/1.1 200 OK\r\n${own}Connection: close\r\n\r\n${part}`);
    process.send?.({ began: id });
  });
});
server.listen(0, '127.0.0.1', () => {
  process.send?.({ port: (server.address() as AddressInfo).port });
});
