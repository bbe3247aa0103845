/** A caller that decides itself when it sends, reads and closes on one connection. */

import type { Socket } from 'node:net';
import { once } from 'node:events';
import { connect } from 'node:net';
import { HOST, KEY } from './world.js';

/** Request as the caller sends it. */
export interface RawRequest {
  id: string;
  path: string;
  /** Milliseconds for which the caller waits. */
  waitMs: number;
}

/**
 * One connection to the entry of an instance.
 *
 * @example
 * const caller = await RawCaller.connect(world.entryPort);
 * caller.send({ id: 'r-1', path: '/look/1', waitMs: 1_200 });
 * await caller.closed;
 * assert.deepEqual(caller.statuses, [200]);
 */
export class RawCaller {
  readonly socket: Socket;
  /** Resolves when the connection is closed. */
  readonly closed: Promise<unknown>;
  /** Resolves when the first answer has begun or the connection is closed. */
  readonly ended: Promise<unknown>;
  #received = '';
  #bytes = 0;

  private constructor(socket: Socket) {
    this.socket = socket;
    this.closed = new Promise((resolve) => socket.once('close', resolve));
    const answered = new Promise((resolve) => socket.once('data', resolve));
    this.ended = Promise.race([this.closed, answered]);
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      this.#bytes += chunk.length;
      this.#received += chunk.toString('latin1');
    });
  }

  /** @param allowHalfOpen whether the caller keeps its side open when the instance ends its own. */
  static async connect(port: number, { allowHalfOpen = false } = {}): Promise<RawCaller> {
    const socket = connect({ port, host: '127.0.0.1', allowHalfOpen });
    await once(socket, 'connect');
    return new RawCaller(socket);
  }

  /** Statuses of the answers so far. */
  get statuses(): number[] {
    return [...this.#received.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status]) => Number(status));
  }

  /** Ids of the answered requests. */
  get answeredIds(): string[] {
    return [...this.#received.matchAll(/^x-request-id: (\S+)\r$/gim)].map(([, id]) => id ?? '');
  }

  /** Number of stream events received. */
  get events(): number {
    return [...this.#received.matchAll(/^data: piece/gm)].length;
  }

  /** Whether the last chunk of a stream has arrived. */
  get hasStreamEnd(): boolean {
    return this.#received.includes('\r\n0\r\n\r\n');
  }

  /** Number of bytes received. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Sends requests in one write. */
  send(...requests: RawRequest[]): void {
    this.socket.write(requests.map(encode).join(''));
  }
}

function encode({ id, path, waitMs }: RawRequest): string {
  const head = [
    `POST ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Request-Id: ${id}`,
    `X-Deadline-Ms: ${String(waitMs)}`,
    `Authorization: Token ${KEY}`,
    'Content-Length: 3',
  ];
  return `${head.join('\r\n')}\r\n\r\nx=1`;
}
