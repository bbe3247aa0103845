/** Exchanges gossip messages over the mesh. */

import type { FleetInstance, GossipMessage } from '@flamingocourse/core';
import type { MeshClient } from '@flamingocourse/mesh';
import { Result } from 'true-myth';
import { GossipCalls } from '../types/gossipCalls.js';

/** Timeout of a call in milliseconds. It covers the network latency and a CPU pause of 100 ms on a machine. */
const CALL_TIMEOUT_MS = 300;

/** Sends to the address of an instance's mesh listener. */
export class MeshGossipCalls extends GossipCalls {
  readonly #mesh: MeshClient;

  constructor(mesh: MeshClient) {
    super();
    this.#mesh = mesh;
  }

  override async exchange(
    { meshUrl }: FleetInstance,
    message: GossipMessage,
  ): Promise<Result<GossipMessage, string>> {
    if (meshUrl === undefined) return Result.err('it serves no peers');
    const options = { timeoutMs: CALL_TIMEOUT_MS };
    const answer = await this.#mesh.call({ meshUrl }, 'exchangeNews', message, options);
    return answer.mapErr(({ message: reason }) => reason);
  }
}
