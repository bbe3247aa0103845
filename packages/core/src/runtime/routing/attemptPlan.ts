/** Plans the attempts of a request and decides whether a failed attempt is retried. */

import type { EpochMs } from '../../types/ids.js';
import type { RefusalReason, RunVerdict } from '../../types/refusal.js';

/** Properties of a request that determine its attempts. */
export interface AttemptPlanRequest {
  idempotent: boolean;
  deadline: EpochMs;
  /** Maximum attempts of an idempotent request, including the first. */
  maxAttempts: number;
  /** Expected duration of one attempt, in milliseconds. @default 0 */
  typicalMs?: number;
}

/** Number of attempts of a request and the timeout of each. */
export interface AttemptPlan {
  attempts: number;
  /** Timeout of each attempt, in milliseconds; an attempt also ends at the deadline. */
  attemptTimeoutMs: number;
}

/** State of a request after a failed attempt. */
export interface AttemptFailure {
  /** Attempts made so far, including the failed one. */
  made: number;
  /**
   * Whether no attempt so far can have run: each time the connection was refused, or the server
   * answered that it is leaving. A connection that failed after the first byte was sent does not
   * show this.
   */
  provablyNotRun: boolean;
}

/** What to do after a failed attempt. */
export type RetryDecision =
  { type: 'retry' } | { type: 'refuse'; reason: RefusalReason; run: RunVerdict };

/** Minimum timeout of an attempt, as a multiple of its typical duration. */
const TIMEOUT_FACTOR = 3;
const MIN_ATTEMPT_MS = 50;
/** Maximum attempts of a non-idempotent request that no server has accepted. */
const MAX_UNACCEPTED_ATTEMPTS = 3;

/**
 * Plans the attempts of a request. A non-idempotent request gets one attempt that a server may run,
 * with all the time left.
 *
 * @example
 * const plan = resolveAttemptPlan({ idempotent: true, deadline, maxAttempts: 3 }, now);
 */
export function resolveAttemptPlan(request: AttemptPlanRequest, now: EpochMs): AttemptPlan {
  const remaining = Math.max(0, request.deadline - now);
  if (!request.idempotent) return { attempts: 1, attemptTimeoutMs: remaining };
  const typical = Math.max(request.typicalMs ?? 0, MIN_ATTEMPT_MS);
  const attemptsThatFit = Math.max(1, Math.floor(remaining / typical));
  const attempts = Math.min(request.maxAttempts, attemptsThatFit);
  const timeoutMs = Math.max(remaining / attempts, Math.min(remaining, TIMEOUT_FACTOR * typical));
  return { attempts, attemptTimeoutMs: Math.floor(timeoutMs) };
}

/**
 * Decides whether a failed attempt is retried.
 *
 * A non-idempotent request whose connection failed may have run: sending it again could execute it
 * twice (for example, reserve twice), and reporting it as `not-run` could be wrong. It is sent to
 * another server, and refused as `not-run`, only if it is certain that no server ran it.
 *
 * @example
 * decideRetry({ idempotent: false, plan, deadline }, { made: 1, provablyNotRun: false }, now);
 */
export function decideRetry(
  request: { idempotent: boolean; plan: AttemptPlan; deadline: EpochMs },
  failure: AttemptFailure,
  now: EpochMs,
): RetryDecision {
  const run: RunVerdict = failure.provablyNotRun ? 'not-run' : 'unknown';
  if (!request.idempotent && !failure.provablyNotRun) {
    return { type: 'refuse', reason: 'outcome-unknown', run };
  }
  const maxAttempts = request.idempotent ? request.plan.attempts : MAX_UNACCEPTED_ATTEMPTS;
  if (now >= request.deadline) return { type: 'refuse', reason: 'deadline-passed', run };
  if (failure.made >= maxAttempts) return { type: 'refuse', reason: 'backend-failed', run };
  return { type: 'retry' };
}
