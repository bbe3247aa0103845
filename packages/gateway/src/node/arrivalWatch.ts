/** Measures the lag of the callers' listener in reading requests after they arrive. */

import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import type { GatewayContext } from '../types/context.js';
import { ArrivalBounds } from '../runtime/arrivalBounds.js';

const MS_PER_SECOND = 1_000;
/** Milliseconds between measurements while no request arrives. */
const MARK_INTERVAL_MS = 100;
/** Unread time of a request, in milliseconds, from which the instance counts as lagging. */
const LAG_THRESHOLD_MS = 500;

/** A connection from which no request was read yet. */
interface NewConnection {
  /** Earliest time at which it can have been opened. */
  earliest: number;
  /**
   * The same, on the assumption that no other connection was waiting to be accepted before it, which
   * cannot be verified.
   */
  ifNoneWaited: number;
}

/** When a request was read. */
export interface Arrival {
  readAt: number;
  /** Upper bound of the milliseconds between its arrival and its reading. */
  unreadMs: number;
  /**
   * Start of its time limit: when it was read, or in a lagging instance the event loop iteration in
   * which it arrived.
   */
  timeLimitStartsAt: number;
}

/**
 * Computes how long callers' requests may have been unread, and logs when the instance lags.
 *
 * @example
 * const arrivals = new ArrivalWatch(context, server);
 * arrivals.start();
 * server.on('request', (req) => log(arrivals.read(req).unreadMs));
 */
export class ArrivalWatch {
  readonly #context: GatewayContext;
  readonly #bounds: ArrivalBounds;
  /** Connections from which no request was read yet. */
  readonly #newConnections = new WeakMap<Socket, NewConnection>();
  #timer: NodeJS.Timeout | undefined;
  #isMarkScheduled = false;
  #laggingSince: number | undefined;
  #worstMs = 0;

  constructor(context: GatewayContext, server: Server) {
    this.#context = context;
    this.#bounds = new ArrivalBounds(context.clock.now());
    server.on('connection', (socket: Socket) => {
      this.#bounds.accepted();
      const { connectionsFrom, requestsFrom } = this.#bounds;
      this.#newConnections.set(socket, { earliest: connectionsFrom, ifNoneWaited: requestsFrom });
      this.#scheduleMark();
    });
  }

  start(): void {
    this.#timer = setInterval(() => {
      this.#scheduleMark();
    }, MARK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Records that a request was read. Call it once per request, immediately. */
  read({ socket }: IncomingMessage): Arrival {
    const readAt = this.#context.clock.now();
    const { requestsFrom } = this.#bounds;
    const opened = this.#newConnections.get(socket) ?? {
      earliest: requestsFrom,
      ifNoneWaited: requestsFrom,
    };
    this.#newConnections.delete(socket);
    const unreadMs = readAt - opened.earliest;
    this.#scheduleMark();
    this.#observe(unreadMs, readAt);
    const isLate = readAt - opened.ifNoneWaited >= LAG_THRESHOLD_MS;
    return { readAt, unreadMs, timeLimitStartsAt: isLate ? opened.ifNoneWaited : readAt };
  }

  /** Records the end of this event loop iteration, right before the next poll for I/O. */
  #scheduleMark(): void {
    if (this.#isMarkScheduled) return;
    this.#isMarkScheduled = true;
    setImmediate(() => {
      this.#isMarkScheduled = false;
      const wasAccepting = this.#bounds.isAccepting;
      this.#bounds.beforePoll(this.#context.clock.now());
      // the next iteration shows whether more connections are waiting.
      if (wasAccepting) this.#scheduleMark();
      else this.#endLag();
    });
  }

  #observe(unreadMs: number, now: number): void {
    this.#context.metrics.unread(unreadMs / MS_PER_SECOND);
    if (unreadMs < LAG_THRESHOLD_MS) return;
    this.#worstMs = Math.max(this.#worstMs, unreadMs);
    if (this.#laggingSince !== undefined) return;
    this.#laggingSince = now;
    this.#context.log.write('entry-behind', { unreadMs: Math.round(unreadMs) });
  }

  #endLag(): void {
    if (this.#laggingSince === undefined) return;
    const now = this.#context.clock.now();
    if (now - this.#bounds.requestsFrom >= LAG_THRESHOLD_MS) return;
    const forMs = Math.round(now - this.#laggingSince);
    this.#context.log.write('entry-caught-up', { forMs, worstMs: Math.round(this.#worstMs) });
    this.#laggingSince = undefined;
    this.#worstMs = 0;
  }
}
