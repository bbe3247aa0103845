/** Order of the requests of each caller's connection, and when the connection is closed. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface ConnectionState {
  /** Requests read so far. */
  requests: number;
  /** Requests that were read and whose responses are not written yet. */
  open: number;
  /** Whether a response has announced that the connection is closed after it. */
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
 * const connections = new CallerConnections(server);
 * const { begins } = connections.read(req, res);
 * if (await begins) serve(req, res);
 */
export class CallerConnections {
  readonly #states = new Map<Socket, ConnectionState>();
  #closesIdle = false;

  constructor(server: Server) {
    server.closeIdleConnections = () => {
      this.closeIdle();
    };
    server.on('connection', (socket: Socket) => {
      const lastEnded = Promise.resolve();
      this.#states.set(socket, { requests: 0, open: 0, isClosing: false, lastEnded });
      socket.once('close', () => this.#states.delete(socket));
    });
  }

  /** Records that a request was read. */
  read({ socket }: IncomingMessage, res: ServerResponse): ConnectionTurn {
    const state = this.#states.get(socket);
    if (!state) return { earlier: 0, begins: Promise.resolve(false) };
    const { requests: earlier, lastEnded: before } = state;
    state.requests += 1;
    state.open += 1;
    state.lastEnded = onceWritten(socket, res).then(() => {
      state.open -= 1;
      if (this.#closesIdle && state.open === 0) close(socket, state);
    });
    return { earlier, begins: before.then(() => !state.isClosing && !socket.destroyed) };
  }

  /** Number of connections with requests that have no complete response yet. */
  get busy(): number {
    return [...this.#states.values()].filter(({ open }) => open > 0).length;
  }

  /**
   * Closes each connection as soon as it has no request in progress, also one whose last response
   * did not announce it. Node.js would also close those whose response was handed over but not read
   * by the caller yet, and none that was never used.
   */
  closeIdle(): void {
    this.#closesIdle = true;
    for (const [socket, state] of this.#states) if (state.open === 0) close(socket, state);
  }

  /**
   * Asks whether the response that is about to be written can be the last of its connection. It
   * can't while another request was read after it, whose response would be lost.
   */
  closeAfterResponse({ socket }: IncomingMessage): boolean {
    const state = this.#states.get(socket);
    if (!state || state.open > 1) return false;
    state.isClosing = true;
    return true;
  }
}

/** Closes this side; what the caller sends from now on is read and dropped. */
function close(socket: Socket, state: ConnectionState): void {
  state.isClosing = true;
  socket.end();
}

/** Resolves when a response was written or its connection is closed. */
function onceWritten(socket: Socket, res: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const end = (): void => {
      res.off('finish', end);
      res.off('close', end);
      // a response behind another one is not told that its connection was closed.
      socket.off('close', end);
      resolve();
    };
    res.once('finish', end);
    res.once('close', end);
    socket.once('close', end);
  });
}
