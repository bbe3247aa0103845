/**
 * Entry of a process that serves requests as the backend server of its first argument, and ends or pauses in the
 * middle of its responses. It sends its address, and a message when it starts a response that its parent may pause.
 */

import type { IncomingMessage } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { createServer } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { event } from './fakeServer.js';

/** What the server does in its first response to a caller's request. */
export type ServerFate =
  /** Its process ends by SIGKILL between two events, or in the middle of a plain body. */
  | 'killed'
  /** Closes the connection after the last event; its process stays. */
  | 'closes'
  /** Reports to its parent before its head, and answers after `PAUSE_MS`. */
  | 'waits-before-head'
  /** Reports to its parent after its first event, and sends the others after `PAUSE_MS`. */
  | 'waits-in-stream';

const LAST_EVENT = 4;
/** Milliseconds between the beginning of a response and its end. */
const PAUSE_MS = 50;
const WHOLE_BODY = 'the whole body';

const [id = '', fate = 'killed'] = process.argv.slice(2) as [string?, ServerFate?];

/** Events after the one that the request names. */
function events(from: number, until = LAST_EVENT): string {
  return Array.from({ length: until - from }, (_, at) => event(from + 1 + at)).join('');
}

/** Head of a response that ends with its connection. */
function unframedHead({ headers }: IncomingMessage, type: string): string {
  const lines = [
    'HTTP/1.1 200 OK',
    `X-Request-Id: ${String(headers['x-request-id'])}`,
    `X-Response-Signature: proof-of-${id}`,
    `Content-Type: ${type}`,
    'Connection: close',
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

async function respond(req: IncomingMessage, socket: Socket): Promise<void> {
  const isPlain = req.headers['x-model'] === undefined;
  const from = Number(req.headers['last-event-id'] ?? 0);
  const type = isPlain ? 'text/plain' : 'text/event-stream';
  if (fate === 'waits-before-head') {
    process.send?.({ startedBy: id });
    await delay(PAUSE_MS);
  }
  socket.write(unframedHead(req, type));
  socket.write(isPlain ? WHOLE_BODY.slice(0, 5) : events(from, from + 1));
  if (fate === 'waits-in-stream') process.send?.({ startedBy: id });
  await delay(PAUSE_MS);
  if (fate === 'killed') process.kill(process.pid, 'SIGKILL');
  socket.end(isPlain ? WHOLE_BODY.slice(5) : events(from + 1));
}

const server = createServer((req, res) => {
  if (req.url === '/health') {
    res.writeHead(200, { 'x-instance-id': id }).end();
    return;
  }
  req.resume();
  req.once('end', () => void respond(req, req.socket));
});
server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as AddressInfo;
  process.send?.({ address: `127.0.0.1:${String(port)}` });
});
