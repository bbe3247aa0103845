/** How often a request may be sent, and whether it may be sent again after a failure. */

import type { EpochMs } from '../../types/ids.js';
import type { RefusalReason, RunVerdict } from '../../types/refusal.js';

/** What decides about attempts. */
export interface AttemptPlanRequest {
  idempotent: boolean;
  deadline: EpochMs;
  /** Attempts of one idempotent request, the first included. */
  maxAttempts: number;
  /** Expected time of one attempt in milliseconds. @default 0 */
  typicalMs?: number;
}

/** How often a request may be sent. */
export interface AttemptPlan {
  attempts: number;
  /** Time given to each attempt before the next one, in milliseconds; the last may use the rest. */
  attemptTimeoutMs: number;
}

/** Failure of one attempt. */
export interface AttemptFailure {
  /** Attempts made so far, the failed one included. */
  made: number;
  /**
   * Whether provably no attempt so far ran: each time the connection was refused, or the server
   * answered that it leaves. A connection that broke after the first byte was sent proves nothing.
   */
  provablyNotRun: boolean;
}

/** What to do after a failed attempt. */
export type RetryDecision =
  { type: 'retry' } | { type: 'refuse'; reason: RefusalReason; run: RunVerdict };

/** Times the typical duration that an attempt gets before it is given up. */
const PATIENCE = 3;
const MIN_ATTEMPT_MS = 50;
/** Placements of a non-idempotent request that no server accepted. */
const MAX_UNSENT_TRIES = 3;

/**
 * Plans the attempts of a request. A non-idempotent one has a single attempt with all the time.
 *
 * @example
 * const plan = resolveAttemptPlan({ idempotent: true, deadline, maxAttempts: 3 }, now);
 */
export function resolveAttemptPlan(request: AttemptPlanRequest, now: EpochMs): AttemptPlan {
  const remaining = Math.max(0, request.deadline - now);
  if (!request.idempotent) return { attempts: 1, attemptTimeoutMs: remaining };
  const typical = Math.max(request.typicalMs ?? 0, MIN_ATTEMPT_MS);
  const fitting = Math.max(1, Math.floor(remaining / typical));
  const attempts = Math.min(request.maxAttempts, fitting);
  const patient = Math.max(remaining / attempts, Math.min(remaining, PATIENCE * typical));
  return { attempts, attemptTimeoutMs: Math.floor(patient) };
}

/**
 * Decides whether a failed attempt is followed by another.
 *
 * A non-idempotent request whose connection broke may have run: sending it again could reserve
 * twice, and calling it `not-run` could be a lie. Only where the server provably did not run it, it
 * goes to another server, and the refusal may say so.
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
  const most = request.idempotent ? request.plan.attempts : MAX_UNSENT_TRIES;
  if (now >= request.deadline) return { type: 'refuse', reason: 'deadline-passed', run };
  if (failure.made >= most) return { type: 'refuse', reason: 'backend-failed', run };
  return { type: 'retry' };
}
