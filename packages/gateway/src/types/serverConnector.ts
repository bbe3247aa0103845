/** Opens connections to backend servers. */

import type { NetConnectOpts, Socket } from 'node:net';
import type { Result } from 'true-myth';

/**
 * Opens a connection for the agent; `host` and `port` are those of the server's address. Never
 * rejects. An error is one of the network, with its code if it has one.
 */
export type ServerConnector = (
  options: NetConnectOpts,
) => Promise<Result<Socket, NodeJS.ErrnoException>>;
