/** Sends copies of the responses of one connection at its server. */

import type { Socket } from 'node:net';
import type { ServerResponse } from 'node:http';
import type { CopyPlan } from './soakDuplicates.js';
import { writesOf } from './soakDuplicates.js';

type Write = () => void;

/**
 * Records what a server writes to a connection, and writes each response again as planned. A copy
 * never interrupts a response that has begun, because that would break its framing.
 *
 * @example
 * const copies = new ResponseCopies(socket, () => planCopy(random));
 * copies.begin(res);
 */
export class ResponseCopies {
  /** Number of copies whose first bytes were written. */
  sent = 0;
  readonly #write: (bytes: Buffer) => void;
  /** Writes of the response in progress. */
  #recorded: Buffer[] = [];
  #isResponding = false;
  /** Whether the second part of a copy is due, and the writes that wait for it. */
  #isHeld = false;
  readonly #waiting: Write[] = [];
  /** Copies that wait for the arrival of the next request, or for the end of the next response. */
  #beforeNext: Write[] = [];
  #afterNext: Write[] = [];

  constructor(
    readonly socket: Socket,
    readonly plan: () => CopyPlan | undefined,
  ) {
    const write = socket.write.bind(socket) as (...args: unknown[]) => boolean;
    this.#write = (bytes) => {
      if (!socket.destroyed && socket.writable) write(bytes);
    };
    socket.write = (...args: unknown[]) => {
      this.#record(args);
      if (!this.#isHeld) return write(...args);
      this.#waiting.push(() => write(...args));
      return true;
    };
  }

  /** A request has arrived, whose body may still be on its way. */
  begin(res: ServerResponse): void {
    this.#recorded = [];
    this.#isResponding = true;
    for (const send of this.#beforeNext.splice(0)) send();
    res.on('finish', () => {
      this.#finish();
    });
  }

  #record([chunk, encoding]: unknown[]): void {
    if (!this.#isResponding) return;
    const bytes =
      typeof chunk === 'string'
        ? Buffer.from(chunk, typeof encoding === 'string' ? (encoding as BufferEncoding) : 'utf8')
        : Buffer.from(chunk as Uint8Array);
    if (bytes.length > 0) this.#recorded.push(bytes);
  }

  #finish(): void {
    const response = Buffer.concat(this.#recorded);
    this.#recorded = [];
    this.#isResponding = false;
    for (const send of this.#afterNext.splice(0)) send();
    const plan = this.plan();
    if (!plan || response.length === 0) return;
    const send = (): void => {
      this.#send(response, plan);
    };
    switch (plan.moment) {
      case 'later':
        setTimeout(() => {
          if (this.#recorded.length === 0) send();
          else this.#afterNext.push(send);
        }, plan.delayMs);
        return;
      case 'before-next':
        this.#beforeNext.push(send);
        return;
      case 'after-next':
        this.#afterNext.push(send);
        return;
    }
  }

  #send(response: Buffer, plan: CopyPlan): void {
    if (this.#isHeld) {
      this.#waiting.push(() => {
        this.#send(response, plan);
      });
      return;
    }
    const [first, second] = writesOf(response, plan.splitAt);
    if (!first || this.socket.destroyed) return;
    this.sent += 1;
    this.#write(first);
    if (!second) return;
    this.#isHeld = true;
    setTimeout(() => {
      this.#write(second);
      this.#isHeld = false;
      this.#flush();
    }, plan.gapMs);
  }

  #flush(): void {
    if (this.#isHeld) return;
    const write = this.#waiting.shift();
    if (!write) return;
    write();
    this.#flush();
  }
}
