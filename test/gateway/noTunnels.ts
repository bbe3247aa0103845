/** Tunnels of an instance without peers. */

import type { Socket } from 'node:net';
import type { TunnelFault } from '../../packages/gateway/src/types/tunnelCalls.js';
import { Result } from 'true-myth';
import { TunnelCalls } from '../../packages/gateway/src/types/tunnelCalls.js';

/** Refuses each tunnel. */
export class NoTunnels extends TunnelCalls {
  override open(): Promise<Result<Socket, TunnelFault>> {
    return Promise.resolve(Result.err('refused'));
  }
}
