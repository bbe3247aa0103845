/** Counts the bytes of all TCP sockets of this process, at both ends of each connection. */

import type { Socket } from 'node:net';
import { subscribe, unsubscribe } from 'node:diagnostics_channel';

/** Diagnostics channels of Node that publish each new socket; documented with `node:net`. */
const socketChannels = ['net.client.socket', 'net.server.socket'] as const;

/**
 * Counts the bytes of all sockets opened after its construction.
 *
 * @example
 * const counter = new SocketBytes();
 * const before = counter.total;
 */
export class SocketBytes {
  readonly #open = new Set<Socket>();
  #closed = 0;
  readonly #onSocket = (message: unknown): void => {
    const { socket } = message as { socket: Socket };
    this.#open.add(socket);
    socket.once('close', () => {
      this.#open.delete(socket);
      this.#closed += countBytes(socket);
    });
  };

  constructor() {
    for (const channel of socketChannels) subscribe(channel, this.#onSocket);
  }

  /** Bytes sent and received so far by the counted sockets. */
  get total(): number {
    return [...this.#open].reduce((sum, socket) => sum + countBytes(socket), this.#closed);
  }

  /** Stops counting new sockets. */
  stop(): void {
    for (const channel of socketChannels) unsubscribe(channel, this.#onSocket);
  }
}

function countBytes(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}
