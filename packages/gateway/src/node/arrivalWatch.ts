/** Watches how far the callers' listener is behind. */

import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import type { GatewayContext } from '../types/context.js';
import { ArrivalBounds } from '../runtime/arrivalBounds.js';

const MS_PER_SECOND = 1_000;
/** Milliseconds between marks while nothing comes. */
const MARK_MS = 100;
/** Milliseconds that a request may have lain unread from which on the instance counts as behind. */
const BEHIND_MS = 500;

/** A connection on which nothing was read yet. */
interface Opened {
  /** Earliest time at which it can have been opened. */
  earliest: number;
  /** The same if no others waited to be accepted before it, which nobody can tell. */
  ifNoneWaited: number;
}

/** When a request was read. */
export interface Arrival {
  readAt: number;
  /** Milliseconds for which it lay unread before, at most. */
  unreadMs: number;
  /** From when its time counts: its reading, or in an instance that is behind the turn in which it came. */
  countsFrom: number;
}

/**
 * Bounds on how long callers' requests lay unread.
 *
 * @example
 * const arrivals = new ArrivalWatch(context, server);
 * arrivals.start();
 * server.on('request', (req) => log(arrivals.read(req).unreadMs));
 */
export class ArrivalWatch {
  readonly #context: GatewayContext;
  readonly #bounds: ArrivalBounds;
  /** Connections on which nothing was read yet. */
  readonly #unread = new WeakMap<Socket, Opened>();
  #timer: NodeJS.Timeout | undefined;
  #isMarking = false;
  #behindSince: number | undefined;
  #worstMs = 0;

  constructor(context: GatewayContext, server: Server) {
    this.#context = context;
    this.#bounds = new ArrivalBounds(context.clock.now());
    server.on('connection', (socket: Socket) => {
      this.#bounds.accepted();
      const { connectionsFrom, requestsFrom } = this.#bounds;
      this.#unread.set(socket, { earliest: connectionsFrom, ifNoneWaited: requestsFrom });
      this.#markSoon();
    });
  }

  start(): void {
    this.#timer = setInterval(() => {
      this.#markSoon();
    }, MARK_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Takes in a request that was just read, once. */
  read({ socket }: IncomingMessage): Arrival {
    const readAt = this.#context.clock.now();
    const { requestsFrom } = this.#bounds;
    const opened = this.#unread.get(socket) ?? {
      earliest: requestsFrom,
      ifNoneWaited: requestsFrom,
    };
    this.#unread.delete(socket);
    const unreadMs = readAt - opened.earliest;
    this.#markSoon();
    this.#observe(unreadMs, readAt);
    const isLate = readAt - opened.ifNoneWaited >= BEHIND_MS;
    return { readAt, unreadMs, countsFrom: isLate ? opened.ifNoneWaited : readAt };
  }

  /** Marks the end of this turn of the event loop: the next look for news comes right after it. */
  #markSoon(): void {
    if (this.#isMarking) return;
    this.#isMarking = true;
    setImmediate(() => {
      this.#isMarking = false;
      const wasAccepting = this.#bounds.isAccepting;
      this.#bounds.beforePoll(this.#context.clock.now());
      // whether more connections wait shows in the next turn.
      if (wasAccepting) this.#markSoon();
      else this.#endBehind();
    });
  }

  #observe(unreadMs: number, now: number): void {
    this.#context.metrics.unread(unreadMs / MS_PER_SECOND);
    if (unreadMs < BEHIND_MS) return;
    this.#worstMs = Math.max(this.#worstMs, unreadMs);
    if (this.#behindSince !== undefined) return;
    this.#behindSince = now;
    this.#context.log.write('entry-behind', { unreadMs: Math.round(unreadMs) });
  }

  #endBehind(): void {
    if (this.#behindSince === undefined) return;
    const now = this.#context.clock.now();
    if (now - this.#bounds.requestsFrom >= BEHIND_MS) return;
    const forMs = Math.round(now - this.#behindSince);
    this.#context.log.write('entry-caught-up', { forMs, worstMs: Math.round(this.#worstMs) });
    this.#behindSince = undefined;
    this.#worstMs = 0;
  }
}
