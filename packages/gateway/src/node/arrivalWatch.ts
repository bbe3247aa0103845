/** Reads callers' connections in order, and measures how long requests wait before they are read. */

import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import type { GatewayContext } from '../types/context.js';
import type { InstancePressure } from '../runtime/instancePressure.js';
import { ArrivalBounds } from '../runtime/arrivalBounds.js';
import { ConnectionIntake } from '../runtime/connectionIntake.js';
import { reopenListener } from './reopenListener.js';

const MS_PER_SECOND = 1_000;
/** Milliseconds between measurements while no request arrives. */
const MARK_INTERVAL_MS = 50;
/** Unread time of a request, in milliseconds, from which the instance counts as lagging. */
const LAG_THRESHOLD_MS = 500;
/**
 * Unread time of a request, in milliseconds, from which its time limit starts before it was read. In
 * an idle process the bound is up to two measurements old.
 */
const COUNTED_UNREAD_MS = 150;

/** A connection from which no request was read yet. */
interface NewConnection {
  /** Earliest time at which it can have been opened. */
  openedFrom: number;
  /** When the process began to read it; undefined before. */
  readFrom: number | undefined;
}

/** When a request was read. */
export interface Arrival {
  readAt: number;
  /** Upper bound of the milliseconds between its arrival and its reading. */
  unreadMs: number;
  /** Start of its time limit: when it was read, or the earliest time at which it can have arrived. */
  timeLimitStartsAt: number;
}

/**
 * Takes over a server's new connections, reads or closes them as {@link ConnectionIntake} decides,
 * computes how long callers' requests may have been unread, and logs when the instance lags.
 *
 * @example
 * const arrivals = new ArrivalWatch(context, server, pressure);
 * arrivals.start();
 * server.on('request', (req) => log(arrivals.read(req).unreadMs));
 */
export class ArrivalWatch {
  readonly #context: GatewayContext;
  readonly #pressure: InstancePressure;
  readonly #bounds: ArrivalBounds;
  readonly #intake = new ConnectionIntake<Socket>();
  /** Lets the server read a connection. */
  readonly #read: (socket: Socket) => void;
  /** Makes the server close new connections as soon as it accepts them, or not. */
  readonly #closeAtAccept: (closes: boolean) => void;
  /** Closes all connections that wait to be accepted, at once. */
  readonly #shedWaiting: () => void;
  /** Connections from which no request was read yet. */
  readonly #newConnections = new WeakMap<Socket, NewConnection>();
  #timer: NodeJS.Timeout | undefined;
  #isMarkScheduled = false;
  #isStopping = false;
  #laggingSince: number | undefined;
  #worstMs = 0;
  /** Connections closed unread since the lag began. */
  #closed = 0;
  /** Times at which all connections that waited to be accepted were closed since the lag began. */
  #sheds = 0;

  /** @param server A server that does not listen yet and has all its listeners for connections. */
  constructor(context: GatewayContext, server: Server, pressure: InstancePressure) {
    this.#context = context;
    this.#pressure = pressure;
    this.#bounds = new ArrivalBounds(context.clock.now());
    const readers = server.listeners('connection');
    server.removeAllListeners('connection');
    this.#read = (socket) => {
      for (const reader of readers) reader.call(server, socket);
      socket.resume();
    };
    Object.assign(server, { pauseOnConnect: true });
    server.on('connection', (socket: Socket) => {
      this.#accept(socket);
    });
    server.on('drop', () => {
      this.#recordDropped();
    });
    this.#closeAtAccept = (closes) => {
      server.maxConnections = closes ? 1 : 0;
    };
    this.#shedWaiting = () => {
      reopenListener(server, {
        isWanted: () => !this.#isStopping,
        onFailure: ({ message }) => {
          context.log.write('entry-not-listening', { reason: message });
        },
      });
    };
  }

  start(): void {
    this.#timer = this.#context.background.every(MARK_INTERVAL_MS, 'entry', () => {
      this.#scheduleMark();
    });
  }

  /**
   * Earliest time at which a signal that is handled now can have arrived. Signals are delivered like data,
   * by the event loop's first poll after their arrival.
   */
  get signalsFrom(): number {
    return this.#bounds.requestsFrom;
  }

  /** No connections are accepted from now on. */
  beginStop(): void {
    this.#isStopping = true;
  }

  /** Whether accepted connections wait to be read. */
  get hasUnread(): boolean {
    return !this.#intake.isEmpty;
  }

  /** Closes the connections that wait to be read, since nothing would answer their requests any more. */
  stop(): void {
    clearInterval(this.#timer);
    for (const socket of this.#intake.takeAll()) socket.destroy();
  }

  /**
   * Records that a request was read. Call it once per request, immediately.
   *
   * @param heldBackAt when it had arrived, if it was held back until the one before it was answered.
   */
  read({ socket }: IncomingMessage, heldBackAt?: number): Arrival {
    const readAt = this.#context.clock.now();
    const earliest = this.#earliestArrival(this.#newConnections.get(socket));
    this.#newConnections.delete(socket);
    const unreadMs = readAt - earliest;
    this.#scheduleMark();
    this.#observe(unreadMs, readAt);
    return {
      readAt,
      unreadMs,
      timeLimitStartsAt: heldBackAt ?? (unreadMs >= COUNTED_UNREAD_MS ? earliest : readAt),
    };
  }

  /** A connection that was read in vain before the last iteration cannot have had the request then. */
  #earliestArrival(connection: NewConnection | undefined): number {
    const { requestsFrom } = this.#bounds;
    if (connection?.readFrom === undefined || connection.readFrom < requestsFrom) {
      return requestsFrom;
    }
    return Math.min(connection.openedFrom, requestsFrom);
  }

  #accept(socket: Socket): void {
    this.#bounds.accepted();
    const openedFrom = this.#bounds.connectionsFrom;
    this.#newConnections.set(socket, { openedFrom, readFrom: undefined });
    // without a listener, an error of a connection that is not read yet would end the process.
    socket.on('error', () => undefined);
    this.#intake.add(socket, openedFrom);
    this.#scheduleMark();
  }

  /** A connection was closed when it was accepted, which costs far less than to create its socket. */
  #recordDropped(): void {
    const now = this.#context.clock.now();
    const openedFrom = this.#bounds.connectionsFrom;
    this.#bounds.accepted();
    this.#intake.recordClosed(now);
    this.#recordClosed([openedFrom], now);
    this.#scheduleMark();
  }

  /** Closes the connections that wait to be accepted; how many they are is not known. */
  #shed(now: number): void {
    this.#shedWaiting();
    this.#bounds.shed(now);
    this.#intake.recordClosed(now);
    this.#sheds += 1;
    this.#pressure.observeClosed(1, now);
    this.#context.metrics.shedWaiting();
  }

  #recordClosed(openedFrom: readonly number[], now: number): void {
    this.#context.metrics.closedUnread(openedFrom.length);
    this.#closed += openedFrom.length;
    this.#pressure.observeClosed(openedFrom.length, now);
    for (const from of openedFrom) this.#recordLag(now - from, now);
  }

  /** Records the end of this event loop iteration, right before the next poll for I/O. */
  #scheduleMark(): void {
    if (this.#isMarkScheduled) return;
    this.#isMarkScheduled = true;
    setImmediate(() => {
      this.#isMarkScheduled = false;
      const now = this.#context.clock.now();
      const { isAccepting } = this.#bounds;
      this.#bounds.beforePoll(now);
      this.#readConnections(isAccepting, now);
      const next = this.#intake.judgeNext({ openedFrom: this.#bounds.connectionsFrom, now });
      this.#closeAtAccept(next === 'close');
      if (next === 'shed' && isAccepting) this.#shed(now);
      // the next iteration shows whether more connections are waiting.
      if (isAccepting || !this.#intake.isEmpty) this.#scheduleMark();
      else this.#endLag();
    });
  }

  #readConnections(isAccepting: boolean, now: number): void {
    const { read, close } = this.#intake.next({ isAccepting, now });
    for (const socket of read) this.#readConnection(socket, now);
    if (close.length === 0) return;
    const openedFrom = close.map((socket) => this.#newConnections.get(socket)?.openedFrom ?? now);
    this.#recordClosed(openedFrom, now);
    for (const socket of close) socket.destroy();
  }

  #readConnection(socket: Socket, now: number): void {
    const connection = this.#newConnections.get(socket);
    if (connection) connection.readFrom = now;
    this.#read(socket);
  }

  #observe(unreadMs: number, now: number): void {
    this.#context.metrics.unread(unreadMs / MS_PER_SECOND);
    this.#pressure.observeUnread(unreadMs, now);
    if (unreadMs >= LAG_THRESHOLD_MS) this.#recordLag(unreadMs, now);
  }

  #recordLag(unreadMs: number, now: number): void {
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
    const worstMs = Math.round(this.#worstMs);
    this.#context.log.write('entry-caught-up', {
      forMs,
      worstMs,
      closedUnread: this.#closed,
      sheds: this.#sheds,
    });
    this.#laggingSince = undefined;
    this.#worstMs = 0;
    this.#closed = 0;
    this.#sheds = 0;
  }
}
