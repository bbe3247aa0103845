/** Follows the store through instances over the mesh. */

import type { FleetInstance, FollowAnswer, FollowRequest } from '@flamingocourse/core';
import type { MeshClient } from '@flamingocourse/mesh';
import { Result } from 'true-myth';
import type { FollowFault } from '../types/followCalls.js';
import { FollowCalls } from '../types/followCalls.js';
import { followAnswerSchema } from '../utils/followAnswerSchema.js';

/** Asks the mesh listener of an instance. */
export class MeshFollowCalls extends FollowCalls {
  readonly #mesh: MeshClient;

  constructor(mesh: MeshClient) {
    super();
    this.#mesh = mesh;
  }

  override async follow(
    { meshUrl }: FleetInstance,
    request: FollowRequest,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<FollowAnswer, FollowFault>> {
    if (meshUrl === undefined) return fault('it serves no peers', true);
    const options = { timeoutMs, signal };
    const answer = await this.#mesh.callDirect({ meshUrl }, 'followStore', request, options);
    if (answer.isErr) {
      const { code, message } = answer.error;
      return fault(message, code === 'refused' || code === 'invalid');
    }
    const parsed = followAnswerSchema.safeParse(answer.value);
    return parsed.success ? Result.ok(parsed.data) : fault('its answer is malformed', true);
  }
}

function fault(reason: string, isRefusal: boolean): Result<FollowAnswer, FollowFault> {
  return Result.err({ reason, isRefusal });
}
