/**
 * Entry of a process that is a backend server of faulty responses: each request names, in the header
 * `x-flood`, the bytes that the server sends without end. Sends its port to its parent.
 */

import type { Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import type { Flood, FloodName } from './floods.js';
import { createServer } from 'node:net';
import { floods, isFloodName } from './floods.js';

/** Milliseconds between two writes of a flood that trickles. */
const TRICKLE_MS = 20;
const [, , checkFlood = 'none'] = process.argv;

const server = createServer((socket) => {
  socket.on('error', () => undefined);
  let head = '';
  socket.on('data', (chunk: Buffer) => {
    head += chunk.toString('latin1');
    if (!head.includes('\r\n\r\n')) return;
    answer(socket, head);
    head = '';
  });
});
server.listen(0, '127.0.0.1', () => {
  process.send?.((server.address() as AddressInfo).port);
});

function answer(socket: Socket, head: string): void {
  const isCheck = /^\S+ \/(?:health|api\/report) /.test(head);
  const name = isCheck ? checkFlood : (/x-flood: (.+?)\r/i.exec(head)?.[1] ?? 'none');
  if (isFloodName(name)) begin(socket, name, /x-request-id: (\S+)/i.exec(head)?.[1] ?? 'none');
  else if (isCheck) socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}');
}

function begin(socket: Socket, name: FloodName, id: string): void {
  const { head, unit, trickles = false }: Flood = floods[name];
  socket.write(head(id));
  const send = (): void => {
    if (socket.destroyed) return;
    socket.write(unit, () => {
      if (trickles) setTimeout(send, TRICKLE_MS);
      else setImmediate(send);
    });
  };
  send();
}
