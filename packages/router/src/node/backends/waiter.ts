/** A request that waits in a lane, and what follows from its properties. */

import type { EpochMs, Fingerprint, Refusal } from '@flamingocourse/core';
import type { Result } from 'true-myth';
import type { Placement, PlacementRequest } from '../../types/backends.js';
import { ANY_SERVER, hasBegun } from '@flamingocourse/core';

/** A waiting request. */
export interface Waiter {
  request: PlacementRequest;
  exclusive: boolean;
  /** Whether it was last looked at because its importance is due by its minimum share. */
  isMinimumShareTurn?: boolean;
  arrivedAt: EpochMs;
  resolve(placed: Result<Placement, Refusal>): void;
}

/** What may crash a server that runs the request: the whole of it, or a part that others share. */
export function causesOf({ fingerprint, partFingerprints = [] }: PlacementRequest): Fingerprint[] {
  return [fingerprint, ...partFingerprints];
}

/** Whether a stream that has begun waits for the few servers of its software until it would be late. */
export function waitsInVain(
  { bounds = ANY_SERVER, startBy }: PlacementRequest,
  now: EpochMs,
): boolean {
  return hasBegun(bounds.software) && startBy !== undefined && startBy <= now;
}
