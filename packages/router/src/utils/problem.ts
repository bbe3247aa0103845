/** Formats refusals as problem+json (RFC 9457). */

import type { Refusal, RefusalReason } from '@flamingocourse/core';

const MS_PER_SECOND = 1_000;

/** HTTP status for each reason of a refusal. */
const statusByReason: Record<RefusalReason, number> = {
  'bad-request': 400,
  unauthenticated: 401,
  'unknown-service': 404,
  'unknown-class': 400,
  'key-reused-with-other-body': 422,
  'too-large': 413,
  'budget-exhausted': 402,
  'class-share-exhausted': 402,
  'budget-unreachable': 503,
  overloaded: 429,
  'deadline-unreachable': 503,
  'deadline-passed': 504,
  'no-backend-server': 503,
  evacuated: 503,
  'cannot-resume': 503,
  'backend-failed': 502,
  quarantined: 422,
  stopping: 503,
  'not-ready': 503,
  'outcome-unknown': 504,
  'answer-expired': 410,
};

/** Body of a refusal as problem+json. */
export interface Problem {
  type: string;
  title: string;
  status: number;
  detail: string;
  reason: RefusalReason;
  run: Refusal['run'];
  requestId?: string;
  retryAfterMs?: number;
}

/** HTTP status code of a refusal. */
export function statusOf(refusal: Refusal): number {
  return statusByReason[refusal.reason];
}

/**
 * Builds the body of a refusal.
 *
 * @example
 * toProblem({ reason: 'overloaded', run: 'not-run', detail: 'Try again soon.' }, 'r1').status; // 429
 */
export function toProblem(refusal: Refusal, requestId?: string): Problem {
  return {
    type: `urn:flamingocourse:refusal:${refusal.reason}`,
    title: refusal.reason.replaceAll('-', ' '),
    status: statusOf(refusal),
    detail: refusal.detail,
    reason: refusal.reason,
    run: refusal.run,
    ...(requestId === undefined ? {} : { requestId }),
    ...(refusal.retryAfterMs === undefined ? {} : { retryAfterMs: refusal.retryAfterMs }),
  };
}

/** Value of `Retry-After`: whole seconds, rounded up, at least 1; undefined if no retry is advised. */
export function retryAfterSeconds(refusal: Refusal): string | undefined {
  if (refusal.retryAfterMs === undefined) return undefined;
  return String(Math.max(1, Math.ceil(refusal.retryAfterMs / MS_PER_SECOND)));
}

/** Builds a refusal of a request that did not run. */
export function notRun(reason: RefusalReason, detail: string, retryAfterMs?: number): Refusal {
  return {
    reason,
    run: 'not-run',
    detail,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}
