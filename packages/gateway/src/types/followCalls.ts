/** Interface for following the store through another instance. */

import type { FleetInstance, FollowAnswer, FollowRequest } from '@flamingocourse/core';
import type { Result } from 'true-myth';

/** Why there is no answer. */
export interface FollowFault {
  /** Whether the instance answered that it passes nothing on. */
  isRefusal: boolean;
  reason: string;
}

/** Asks another instance what it hears from the store. */
export abstract class FollowCalls {
  /** Never rejects and returns within `timeoutMs`. */
  abstract follow(
    peer: FleetInstance,
    request: FollowRequest,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<FollowAnswer, FollowFault>>;
}
