/** State of each connection of a caller. */

import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';

/** Tracks the connections of the callers' listener. */
export class CallerConnections {
  /** Number of requests read from each connection. */
  readonly #requests = new Map<Socket, number>();

  constructor(server: Server) {
    server.on('connection', (socket: Socket) => {
      this.#requests.set(socket, 0);
      socket.once('close', () => this.#requests.delete(socket));
    });
  }

  /** Records that a request was read; returns how many its connection had before it. */
  countRequest({ socket }: IncomingMessage): number {
    const earlier = this.#requests.get(socket) ?? 0;
    this.#requests.set(socket, earlier + 1);
    return earlier;
  }
}
