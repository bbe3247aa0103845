/** Interface for following the store through another instance. */

import type { FleetInstance, FollowAnswer, FollowRequest } from '@flamingocourse/core';
import type { Result } from 'true-myth';

/** Asks another instance what it hears from the store. */
export abstract class FollowCalls {
  /** Never rejects and returns within `timeoutMs`. The error says why there is no answer. */
  abstract follow(
    peer: FleetInstance,
    request: FollowRequest,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<FollowAnswer, string>>;
}
