/** Which servers of a lane a waiting request may use, and when. */

import type {
  EpochMs,
  RateLimitPace,
  Refusal,
  ServerBounds,
  ServerPool,
} from '@flamingocourse/core';
import type { PlacementRequest } from '../../types/backends.js';
import type { Waiter } from './waiter.js';
import { ANY_SERVER, hasBegun } from '@flamingocourse/core';
import {
  cannotResumeRefusal,
  evacuatedRefusal,
  noHomeRefusal,
  noServerRefusal,
} from './laneRefusals.js';

/** Sort order of waiting requests; lower values come first. */
const importanceOrder = { first: 0, standard: 1, background: 2 } as const;

/** Whether any server accepts a request, now or after a pause. */
export function hasServer(pool: ServerPool, { bounds }: PlacementRequest, now: EpochMs): boolean {
  const isOpen = pool.hasOpenServer(undefined, now, bounds);
  return isOpen || pool.pauseEndsInMs(now, bounds) !== undefined;
}

/** Refusal of a request that no server accepts. */
export function noServer(
  pool: ServerPool,
  { bounds = ANY_SERVER }: PlacementRequest,
  now: EpochMs,
): Refusal {
  const closedBy = pool.closedBy(now, bounds);
  if (closedBy === 'evacuated') return evacuatedRefusal();
  if (closedBy === 'outside-homes') return noHomeRefusal();
  const hasOthers = pool.hasOpenServer(undefined, now);
  return hasBegun(bounds.software) && hasOthers ? cannotResumeRefusal() : noServerRefusal();
}

/**
 * Finds requests that could only be sent after their latest start time, because all servers are
 * paused or rate limited.
 */
export function findTooLate(
  waiters: ReadonlyMap<number, Waiter>,
  pool: ServerPool,
  now: EpochMs,
): { id: number; waitMs: number }[] {
  if (waiters.size === 0) return [];
  const inOrder = [...waiters].toSorted(([, a], [, b]) => {
    return importanceOrder[a.request.importance] - importanceOrder[b.request.importance];
  });
  const paceOf = paces(pool, now);
  const found: { id: number; waitMs: number }[] = [];
  let ahead = 0;
  for (const [id, { request }] of inOrder) {
    const pace = paceOf(request);
    if (!pace) continue;
    const waitMs = pace.firstMs + ahead * pace.intervalMs;
    if (now + waitMs <= (request.startBy ?? request.deadline)) ahead += 1;
    else found.push({ id, waitMs });
  }
  return found;
}

/**
 * Finds the late requests that make room for others, the least urgent first. If all are late, none
 * is refused: servers would be idle, and a late response is worth something.
 */
export function findLate(
  waiters: ReadonlyMap<number, Waiter>,
  isLate: (waiter: Waiter) => boolean,
): [number, Waiter][] {
  const late = [...waiters].filter(([, waiter]) => isLate(waiter));
  if (late.length === waiters.size) return [];
  return late.toSorted(([, a], [, b]) => {
    return importanceOrder[b.request.importance] - importanceOrder[a.request.importance];
  });
}

/** Returns a function that tells the pace of the servers that a request may use. */
function paces(
  pool: ServerPool,
  now: EpochMs,
): (request: PlacementRequest) => RateLimitPace | undefined {
  const ofAll = pool.sendPace(now);
  return ({ bounds = ANY_SERVER }) => {
    return isBound(bounds) ? pool.sendPace(now, bounds) : ofAll;
  };
}

/** Whether a request may not run at every server. */
function isBound({ software, homes }: ServerBounds): boolean {
  return homes !== undefined || hasBegun(software);
}
