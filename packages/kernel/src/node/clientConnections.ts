/** Bounds what all clients of a listener make the process hold. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { BodyBuffers } from '../runtime/heldBytes.js';
import type { ListenerLimits } from '../types/listenerLimits.js';
import type { ClientFault } from './clientConnection.js';
import { ClientConnection } from './clientConnection.js';

/** Milliseconds between two checks of the time limits of connections. */
const CHECK_MS = 1_000;
/** Bytes by which the parser's own bound on a head is above ours, which is met first. */
const PARSER_MARGIN_BYTES = 1024;
/** Connections above the limit, as a share of it, while others are about to be closed. */
const MAX_EXCESS = 0.1;
const STATUS_BAD_REQUEST = 400;
const STATUS_EXPECTATION_FAILED = 417;
const STATUS_UNAVAILABLE = 503;
const CLOSE = { connection: 'close', 'content-length': 0 } as const;

/** Why a connection was closed before its client had closed it. */
export type ClientClose = ClientFault | 'taken-over' | 'sent-ahead' | 'no-room';

/** Options of {@link ClientConnections}. */
export interface ClientConnectionsOptions {
  /** Limits of connections that begin now. */
  limits: () => ListenerLimits;
  /** Counts the bytes held for the clients of all listeners. */
  bytes: BodyBuffers;
  now: () => number;
  /** Called when a connection is closed because of a limit. */
  onClose?: (cause: ClientClose) => void;
}

/** Options for `createServer` of a server whose connections are bounded here. */
export function boundedServerOptions({ headBytes }: Pick<ListenerLimits, 'headBytes'>): {
  maxHeaderSize: number;
  requireHostHeader: boolean;
} {
  // an answer of the server itself would not be known here.
  return { maxHeaderSize: headBytes + PARSER_MARGIN_BYTES, requireHostHeader: false };
}

/**
 * Bounds connections, heads, bodies on their way, requests sent ahead and unread answers of one HTTP
 * server. Each connection has one request in progress at a time. At the limit of connections, a new one
 * takes the place of the one that waits longest for its client: for a request, for the rest of one, or for
 * an answer to be read. A connection whose client waits is not closed for that before its answer.
 *
 * @example
 * const server = createServer(boundedServerOptions(limits), handle);
 * const clients = new ClientConnections(server, { limits: () => limits, bytes, now });
 * clients.start();
 * server.listen(8_080);
 */
export class ClientConnections {
  readonly #server: Server;
  readonly #options: ClientConnectionsOptions;
  readonly #open = new Map<Socket, ClientConnection | undefined>();
  /** Requests that must be refused because of what clients make the process hold. */
  readonly #surplus = new WeakSet<IncomingMessage>();
  #timer: NodeJS.Timeout | undefined;

  /** @param server A server that has no listeners for connections but its own. */
  constructor(server: Server, options: ClientConnectionsOptions) {
    this.#server = server;
    this.#options = options;
    // the time limits of connections are checked here.
    server.headersTimeout = 0;
    server.requestTimeout = 0;
    server.on('connection', (socket: Socket) => {
      this.#read(socket);
    });
    server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
      this.#begin(req, res);
    });
    server.on('checkExpectation', (req: IncomingMessage, res: ServerResponse) => {
      this.#begin(req, res);
      res.writeHead(STATUS_EXPECTATION_FAILED, CLOSE).end();
    });
    server.prependListener('connect', ({ socket }: IncomingMessage) => {
      this.#letGo(socket);
    });
  }

  /** Begins to count accepted connections; call it when the server has all its other listeners. */
  start(): void {
    this.#server.prependListener('connection', (socket: Socket) => {
      this.#accept(socket);
    });
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  /** Whether a request must be refused because clients make the process hold too much. */
  isSurplus(req: IncomingMessage): boolean {
    return this.#surplus.has(req);
  }

  /** Whether the client has sent something ahead of the answer to its current request. */
  hasAhead(socket: Socket): boolean {
    return this.#open.get(socket)?.hasAhead ?? false;
  }

  /** Time at which a request had arrived that was held back until the one before it was answered. */
  heldBackAt(req: IncomingMessage): number | undefined {
    return this.#open.get(req.socket)?.heldBackAt;
  }

  #accept(socket: Socket): void {
    const { connections } = this.#options.limits();
    if (this.#open.size >= connections && !this.#makeRoom() && !this.#mayExceed(connections)) {
      socket.destroy();
      this.#options.onClose?.('no-room');
      return;
    }
    this.#open.set(socket, undefined);
    this.#scheduleCheck();
    socket.once('close', () => {
      this.#open.delete(socket);
    });
  }

  /** Checks are made only while there are connections: each wakes the process. */
  #scheduleCheck(): void {
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.#check();
      if (this.#open.size > 0) this.#scheduleCheck();
    }, CHECK_MS);
  }

  /**
   * Makes room for a connection that is above the limit, while all clients wait for answers: one that has
   * sent requests ahead is closed after its current answer. Returns false if it must be closed instead.
   */
  #mayExceed(connections: number): boolean {
    if (this.#open.size >= connections * (1 + MAX_EXCESS)) return false;
    for (const connection of this.#open.values()) {
      if (!connection?.hasAhead) continue;
      connection.dropAhead();
      this.#options.onClose?.('sent-ahead');
      return true;
    }
    return false;
  }

  /** Closes the connection that waits longest for its client. Returns false if all clients wait. */
  #makeRoom(): boolean {
    let longest: { socket: Socket; since: number } | undefined;
    for (const [socket, connection] of this.#open) {
      const since = connection?.waitsSince;
      if (since !== undefined && since < (longest?.since ?? Infinity)) longest = { socket, since };
    }
    if (!longest) return false;
    this.#open.get(longest.socket)?.close();
    this.#open.delete(longest.socket);
    this.#options.onClose?.('taken-over');
    return true;
  }

  #read(socket: Socket): void {
    const { limits, bytes, now } = this.#options;
    if (socket.destroyed) return;
    this.#open.set(socket, new ClientConnection({ socket, limits: limits(), bytes, now }));
  }

  #begin(req: IncomingMessage, res: ServerResponse): void {
    const connection = this.#open.get(req.socket);
    if (connection && !connection.begin(req, res)) this.#surplus.add(req);
  }

  /** The socket of a CONNECT request belongs to its handler; without one, it is closed. */
  #letGo(socket: Socket): void {
    if (this.#server.listenerCount('connect') === 1) socket.destroy();
    this.#open.get(socket)?.detach();
    this.#open.set(socket, undefined);
  }

  #check(): void {
    const now = this.#options.now();
    for (const connection of this.#open.values()) {
      const fault = connection?.check(now);
      if (fault !== undefined) this.#options.onClose?.(fault);
    }
  }
}

/**
 * Answers a request that lacks the host which it has to name (RFC 9112, section 3.2), or for which there
 * is no room. Returns whether it did.
 */
export function answerUnservable(
  req: IncomingMessage,
  res: ServerResponse,
  clients: ClientConnections,
): boolean {
  const { httpVersion, headers } = req;
  if (httpVersion === '1.1' && headers.host === undefined) {
    res.writeHead(STATUS_BAD_REQUEST, CLOSE).end();
  } else if (clients.isSurplus(req)) {
    res.writeHead(STATUS_UNAVAILABLE, { ...CLOSE, 'retry-after': '1' }).end();
  } else return false;
  return true;
}
