/** Many connections that send, never read an answer, and stay open until the test ends them. */

import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

/** Milliseconds between two looks at how much was sent. */
const LOOK_MS = 250;
/** Looks without progress after which nothing more is expected to be sent. */
const QUIET_LOOKS = 4;
/** Maximum number of looks; a process that reads on for ever must not hold the test. */
const MAX_LOOKS = 40;
/** Connections that are opened at a time, so that the process has read each before the crowd sends. */
const OPENED_AT_ONCE = 20;
/** Milliseconds between them. */
const OPEN_MS = 50;

/** What each connection of a crowd sends. */
export interface Sent {
  /** Sent once, at the start. */
  head: string;
  /** Sent again and again after it, up to `totalBytes`. */
  unit: Buffer;
  totalBytes: number;
}

/**
 * Connections to one listener.
 *
 * @example
 * const crowd = await Crowd.open(port, 300, { head: '', unit, totalBytes: 65_536 });
 * await crowd.settled();
 * crowd.close();
 */
export class Crowd {
  readonly #sockets: Socket[] = [];
  #bytes = 0;

  /** Opens all connections, and lets all of them send once they are open. */
  static async open(port: number, size: number, sent: Sent): Promise<Crowd> {
    const crowd = new Crowd();
    while (crowd.#sockets.length < size) {
      const count = Math.min(OPENED_AT_ONCE, size - crowd.#sockets.length);
      await Promise.all(Array.from({ length: count }, () => crowd.#add(port)));
      await delay(OPEN_MS);
    }
    for (const socket of crowd.#sockets) crowd.#send(socket, sent);
    return crowd;
  }

  /** Number of connections that the process has not closed. */
  get connected(): number {
    return this.#sockets.filter(({ destroyed }) => !destroyed).length;
  }

  /** Resolves when nothing more is taken, or after the maximum number of looks. */
  async settled(): Promise<void> {
    let quiet = 0;
    for (let looks = 0; looks < MAX_LOOKS && quiet < QUIET_LOOKS; looks += 1) {
      const before = this.#bytes;
      await delay(LOOK_MS);
      quiet = this.#bytes === before ? quiet + 1 : 0;
    }
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  async #add(port: number): Promise<void> {
    const socket = connect(port, '127.0.0.1');
    this.#sockets.push(socket);
    socket.on('error', () => undefined);
    await new Promise((resolve) => socket.once('connect', resolve).once('close', resolve));
  }

  /** Without a listener for data, nothing of an answer is read. */
  #send(socket: Socket, { head, unit, totalBytes }: Sent): void {
    let bytes = 0;
    const send = (): void => {
      if (socket.destroyed || bytes >= totalBytes) return;
      bytes += unit.length;
      socket.write(unit, () => {
        this.#bytes += unit.length;
        setImmediate(send);
      });
    };
    if (socket.destroyed) return;
    if (head === '') send();
    else socket.write(head, send);
  }
}
