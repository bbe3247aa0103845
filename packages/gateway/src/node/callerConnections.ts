/** Order of the requests of each caller's connection, and when the connection is closed. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { afterPendingReads } from '@flamingocourse/kernel';

interface ConnectionState {
  /** Requests read so far. */
  requests: number;
  /** Requests that were read and whose responses are not written yet; each function ends one. */
  open: Set<() => void>;
  /** Whether the connection is closed after the responses to the requests read so far. */
  isClosing: boolean;
  /** Resolves when the response to the last request read was written. */
  lastEnded: Promise<void>;
}

/** A request's place among the requests of its connection. */
export interface ConnectionTurn {
  /** Requests that were read from the connection before this one. */
  earlier: number;
  /**
   * Resolves once the responses to these were written: to false if the connection is closed after
   * them, so that this request must not run.
   */
  begins: Promise<boolean>;
}

/**
 * Lets each connection have one request in progress. Callers may send the next request before they
 * have the response; if it ran at once, its response would be lost when the response before it
 * closes the connection.
 *
 * @example
 * const connections = new CallerConnections(server, () => isStopping);
 * const { begins } = connections.read(req, res);
 * if (await begins) serve(req, res);
 */
export class CallerConnections {
  readonly #states = new Map<Socket, ConnectionState>();
  readonly #closesAfterResponse: () => boolean;
  readonly #hasAhead: (socket: Socket) => boolean;
  #closesIdle = false;

  /**
   * @param closesAfterResponse Whether a connection is to be closed once it has no request, also if
   *   its last response did not announce it, as that of a stream.
   * @param hasAhead Whether more was sent on a connection than the request in progress.
   */
  constructor(
    server: Server,
    closesAfterResponse: () => boolean,
    hasAhead: (socket: Socket) => boolean,
  ) {
    this.#closesAfterResponse = closesAfterResponse;
    this.#hasAhead = hasAhead;
    server.closeIdleConnections = () => {
      this.closeIdle();
    };
    server.on('connection', (socket: Socket) => {
      this.#track(socket);
    });
  }

  /** Number of connections with requests that have no complete response yet. */
  get busy(): number {
    return [...this.#states.values()].filter(({ open }) => open.size > 0).length;
  }

  /** Records that a request was read. */
  read({ socket }: IncomingMessage, res: ServerResponse): ConnectionTurn {
    const state = this.#states.get(socket);
    if (!state) return { earlier: 0, begins: Promise.resolve(false) };
    const { requests: earlier, lastEnded: before } = state;
    state.requests += 1;
    const end = this.#open(socket, state, res);
    const begins = before.then(() => {
      const mayBegin = !state.isClosing && !socket.destroyed;
      if (!mayBegin) end();
      return mayBegin;
    });
    return { earlier, begins };
  }

  /**
   * Closes each connection as soon as it has no request in progress. Node.js would also close those
   * whose response was handed over but not read by the caller yet, and none that was never used.
   */
  closeIdle(): void {
    this.#closesIdle = true;
    for (const [socket, state] of this.#states) this.#closeIfIdle(socket, state);
  }

  /**
   * Asks whether the response that is about to be written can be the last of its connection. It
   * can't while another request was sent after it, whose response would be lost.
   */
  closeAfterResponse({ socket }: IncomingMessage): boolean {
    const state = this.#states.get(socket);
    if (!state || state.open.size > 1 || this.#hasAhead(socket)) return false;
    state.isClosing = true;
    return true;
  }

  #track(socket: Socket): void {
    const state: ConnectionState = {
      requests: 0,
      open: new Set(),
      isClosing: false,
      lastEnded: Promise.resolve(),
    };
    this.#states.set(socket, state);
    socket.once('close', () => {
      this.#states.delete(socket);
      // a response behind another one is not told that its connection was closed.
      for (const end of state.open) end();
    });
  }

  /** Counts a request until its response is written; returns a function that ends it before. */
  #open(socket: Socket, state: ConnectionState, res: ServerResponse): () => void {
    let end = (): void => undefined;
    state.lastEnded = new Promise((resolve) => {
      end = () => {
        if (!state.open.delete(end)) return;
        resolve();
        if (this.#closesIdle || this.#closesAfterResponse()) this.#closeIfIdle(socket, state);
      };
    });
    state.open.add(end);
    res.once('finish', end);
    res.once('close', end);
    return end;
  }

  /** A request that has arrived before the close is read first, so that it is not closed away. */
  #closeIfIdle(socket: Socket, state: ConnectionState): void {
    if (state.open.size > 0) return;
    afterPendingReads(() => {
      if (state.open.size > 0 || state.isClosing || this.#hasAhead(socket)) return;
      state.isClosing = true;
      socket.end();
    });
  }
}
