/** Records how the bytes of a socket arrive and how it ends. */

import type { Socket } from 'node:net';
import { createHash } from 'node:crypto';
import { hasLostPeer } from '@flamingocourse/kernel';

/** How a connection ended: in order, by a reset, or not yet. */
export type SocketEnd = 'open' | 'ended' | 'reset';

/** What arrived at a socket. */
export interface Received {
  bytes: number;
  end: SocketEnd;
  digest(): string;
}

/** Records what arrives from now on. */
export function receive(socket: Socket): Received {
  const hash = createHash('sha256');
  const received: Received = {
    bytes: 0,
    end: 'open',
    digest: () => hash.copy().digest('hex'),
  };
  socket.on('data', (chunk: Buffer) => {
    received.bytes += chunk.length;
    hash.update(chunk);
  });
  socket.on('end', () => (received.end = hasLostPeer(socket) ? 'reset' : 'ended'));
  socket.on('error', () => (received.end = 'reset'));
  return received;
}

/** Digest of bytes, to compare with what arrived. */
export function digestOf(bytes: Buffer): string {
  return createHash('sha256').update(bytes).digest('hex');
}
