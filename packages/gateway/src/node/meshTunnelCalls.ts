/** Opens tunnels over the mesh. */

import type { FleetInstance, ServerId } from '@flamingocourse/core';
import type { MeshClient, TunnelError } from '@flamingocourse/mesh';
import type { Socket } from 'node:net';
import type { TunnelFault } from '../types/tunnelCalls.js';
import { Result } from 'true-myth';
import { TunnelCalls } from '../types/tunnelCalls.js';

/** Milliseconds until a peer must have answered; longer than it waits for the server. */
const OPEN_MS = 220;

/** Asks the mesh listener of an instance. */
export class MeshTunnelCalls extends TunnelCalls {
  readonly #mesh: MeshClient;

  constructor(mesh: MeshClient) {
    super();
    this.#mesh = mesh;
  }

  override async open(
    { meshUrl }: FleetInstance,
    server: ServerId,
  ): Promise<Result<Socket, TunnelFault>> {
    if (meshUrl === undefined) return Result.err('refused');
    const options = { peerUrl: meshUrl, target: server, timeoutMs: OPEN_MS, allowHalfOpen: false };
    const tunnel = await this.#mesh.openTunnel(options);
    return tunnel.mapErr(toFault);
  }
}

function toFault({ code, refusal }: TunnelError): TunnelFault {
  if (code !== 'refused') return 'peer-unreachable';
  return refusal === 'server-refused' || refusal === 'server-unreachable' ? refusal : 'refused';
}
