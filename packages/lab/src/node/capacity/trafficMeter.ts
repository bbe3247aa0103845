/** Counts the bytes of all connections that listeners of this process accept. */

import type { Socket } from 'node:net';
import { subscribe, unsubscribe } from 'node:diagnostics_channel';

const ACCEPTED = 'net.server.socket';

/** Bytes of accepted connections, both ways, without the headers of TCP and IP. */
export class TrafficMeter {
  readonly #sockets = new Set<Socket>();
  readonly #onAccepted = (message: unknown): void => {
    this.#sockets.add((message as { socket: Socket }).socket);
  };

  /** Begins to count connections that are accepted from now on. */
  start(): void {
    subscribe(ACCEPTED, this.#onAccepted);
  }

  stop(): void {
    unsubscribe(ACCEPTED, this.#onAccepted);
  }

  get bytes(): number {
    let sum = 0;
    for (const socket of this.#sockets) sum += socket.bytesRead + socket.bytesWritten;
    return sum;
  }
}
