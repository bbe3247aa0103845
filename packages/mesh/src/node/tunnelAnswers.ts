/** Answers to CONNECT requests. */

import type { Socket } from 'node:net';
import type { TunnelRefusal } from '../types/tunnels.js';
import { STATUS_CODES } from 'node:http';

const statusOfRefusal: Record<TunnelRefusal, number> = {
  other: 400,
  'not-trusted': 403,
  'not-listed': 404,
  'server-refused': 424,
  'server-unreachable': 502,
  unavailable: 503,
};

/**
 * Tells the peer that its tunnel is open; all later bytes are the server's.
 *
 * @example
 * acceptTunnel(socket);
 * socket.pipe(server);
 */
export function acceptTunnel(socket: Socket): void {
  socket.write('HTTP/1.1 200 Connection Established\r\n\r\n');
}

/**
 * Tells the peer that it gets no tunnel, and closes the connection.
 *
 * @example
 * refuseTunnel(socket, 'not-listed');
 */
export function refuseTunnel(socket: Socket, refusal: TunnelRefusal): void {
  const status = statusOfRefusal[refusal];
  const line = `HTTP/1.1 ${String(status)} ${STATUS_CODES[status] ?? ''}`;
  // unread bytes would make the kernel reset the connection, and the answer might get lost.
  socket.resume();
  socket.end(`${line}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
  socket.destroySoon();
}

/** Returns the refusal that a status means. */
export function refusalOfStatus(status: number | undefined): TunnelRefusal {
  const known = Object.entries(statusOfRefusal).find(([, each]) => each === status);
  return (known?.[0] as TunnelRefusal | undefined) ?? 'other';
}
