/** Follows the store through instances over the mesh. */

import type { FleetInstance, FollowAnswer, FollowRequest } from '@flamingocourse/core';
import type { MeshClient } from '@flamingocourse/mesh';
import { Result } from 'true-myth';
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
  ): Promise<Result<FollowAnswer, string>> {
    if (meshUrl === undefined) return Result.err('it serves no peers');
    const options = { timeoutMs, signal };
    const answer = await this.#mesh.call({ meshUrl }, 'followStore', request, options);
    if (answer.isErr) return Result.err(answer.error.message);
    const parsed = followAnswerSchema.safeParse(answer.value);
    return parsed.success ? Result.ok(parsed.data) : Result.err('its answer is malformed');
  }
}
