/** Closes all connections that wait to be accepted, in one step. */

import type { AddressInfo } from 'node:net';
import { Server } from 'node:net';

/** Connections that may wait to be accepted. */
export const LISTEN_BACKLOG = 1_024;
/** Milliseconds between two attempts to listen again. */
const RETRY_MS = 50;

/** Options of {@link reopenListener}. */
export interface ReopenOptions {
  /** Whether the server is still to listen; asked before each attempt. */
  isWanted: () => boolean;
  /** Called when the address cannot be opened again; it is tried until it can. */
  onFailure: (err: Error) => void;
}

/**
 * Closes the listening socket of a server and opens it again at the same address. The operating
 * system then resets the connections that wait to be accepted, so that their callers can go
 * elsewhere at once; to accept and close them takes an iteration of the event loop for each.
 * Accepted connections are not affected. Does nothing if the server does not listen.
 *
 * @example
 * reopenListener(server, { isWanted: () => !isStopping, onFailure: (err) => log(err.message) });
 */
export function reopenListener(server: Server, { isWanted, onFailure }: ReopenOptions): void {
  if (!server.listening) return;
  const { address: host, port } = server.address() as AddressInfo;
  // `close` of an HTTP server would also end the idle connections of callers.
  Server.prototype.close.call(server);
  const listen = (): void => {
    if (isWanted()) server.listen({ host, port, backlog: LISTEN_BACKLOG });
    else stopRetrying();
  };
  const retry = (err: Error): void => {
    onFailure(err);
    setTimeout(listen, RETRY_MS);
  };
  const stopRetrying = (): void => {
    server.off('error', retry).off('listening', stopRetrying);
  };
  server.on('error', retry).on('listening', stopRetrying);
  listen();
}
