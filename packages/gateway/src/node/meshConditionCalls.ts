/** Exchanges sums of demand and pressure over the mesh. */

import type { ConditionSums, FleetInstance } from '@flamingocourse/core';
import type { MeshClient } from '@flamingocourse/mesh';
import { packSums, packedSumsSchema, unpackSums } from '@flamingocourse/core';
import { Result } from 'true-myth';
import { ConditionCalls } from '../types/fleetConditions.js';

/**
 * Timeout of a call in milliseconds. It covers a CPU pause of 100 ms on a machine, and leaves time to
 * ask the next collector within a second of the last report.
 */
const CALL_TIMEOUT_MS = 300;

/** Calls the mesh listeners of collectors. */
export class MeshConditionCalls extends ConditionCalls {
  readonly #mesh: MeshClient;

  constructor(mesh: MeshClient) {
    super();
    this.#mesh = mesh;
  }

  override async share(
    { meshUrl }: FleetInstance,
    sums: ConditionSums,
  ): Promise<Result<ConditionSums, string>> {
    if (meshUrl === undefined) return Result.err('it serves no peers');
    const options = { timeoutMs: CALL_TIMEOUT_MS };
    const message = packSums(sums);
    const answer = await this.#mesh.callDirect({ meshUrl }, 'shareConditions', message, options);
    if (answer.isErr) return Result.err(answer.error.message);
    const parsed = packedSumsSchema.safeParse(answer.value);
    return parsed.success
      ? Result.ok(unpackSums(parsed.data))
      : Result.err('its answer is malformed');
  }
}
