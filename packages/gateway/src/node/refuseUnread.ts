/** Answers a caller's connection from which nothing was read. */

import type { Socket } from 'node:net';
import type { EncodedRefusal } from '../types/dialects.js';
import { STATUS_CODES } from 'node:http';

/** Milliseconds that a caller has to read the response before its connection is closed. */
const READ_MS = 1_000;

/**
 * Writes a refusal to a connection and closes it. What the caller sends is read and thrown away, since
 * closing a connection with unread bytes resets it, and the caller may lose the response.
 *
 * @example
 * refuseUnread(socket, dialects.callers.encodeRefusal(overloaded(random())));
 */
export function refuseUnread(socket: Socket, refusal: EncodedRefusal): void {
  socket.setTimeout(READ_MS, () => socket.destroy());
  socket.end(responseText(refusal));
  socket.resume();
}

function responseText({ status, headers, body }: EncodedRefusal): string {
  const all = { ...headers, 'content-length': Buffer.byteLength(body), connection: 'close' };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${String(value)}`);
  const statusLine = `HTTP/1.1 ${String(status)} ${STATUS_CODES[status] ?? ''}`;
  return [statusLine, ...lines, '', body].join('\r\n');
}
