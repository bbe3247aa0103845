/** Counts the bytes of all connections that the listeners of this process accept. */

import type { Socket } from 'node:net';
import { subscribe, unsubscribe } from 'node:diagnostics_channel';

const ACCEPTED = 'net.server.socket';

/** Counts bytes of accepted connections in both directions, without TCP and IP headers. */
export class TrafficMeter {
  readonly #sockets = new Set<Socket>();
  readonly #onAccepted = (message: unknown): void => {
    this.#sockets.add((message as { socket: Socket }).socket);
  };

  /** Starts to count connections that are accepted from now on. */
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
