/** Opens connections to backend servers through other instances. */

import type { FleetInstance, ServerId } from '@flamingocourse/core';
import type { Socket } from 'node:net';
import type { Result } from 'true-myth';

/**
 * Why there is no tunnel. `server-refused`: the peer answered that the server's address refuses its
 * connections; `server-unreachable`: that it can't connect for another reason; `refused`: that it
 * opens no tunnel.
 */
export type TunnelFault = 'server-refused' | 'server-unreachable' | 'refused' | 'peer-unreachable';

/** Calls to peers for tunnels. */
export abstract class TunnelCalls {
  /** Opens a connection to a server through a peer. Never rejects; takes a bounded time. */
  abstract open(peer: FleetInstance, server: ServerId): Promise<Result<Socket, TunnelFault>>;
}
