/** Refusals by the budget services, with messages for callers. */

import type { Refusal, ShortageReason } from '@flamingocourse/core';

/** Retry hint in milliseconds: by then tokens may have been returned or topped up. */
const RETRY_BUDGET_MS = 5_000;

/**
 * Retry hint in milliseconds: by then another router, a new incarnation or the platform may answer.
 */
const RETRY_SOON_MS = 1_000;

/** Refusal while this incarnation is not registered yet, or after it was sealed. */
export function refuseNotReady(): Refusal {
  return {
    reason: 'not-ready',
    run: 'not-run',
    detail: 'This router holds no rights to budgets at the moment; try again.',
    retryAfterMs: RETRY_SOON_MS,
  };
}

/** Refusal while neither the journal nor a witness can store lines. */
export function refuseUnreachable(): Refusal {
  return {
    reason: 'budget-unreachable',
    run: 'not-run',
    detail: 'Budgets cannot be reached at the moment; try again or use another data centre.',
    retryAfterMs: RETRY_SOON_MS,
  };
}

/** Refusal when this router cannot know whether the request was billed. */
export function refuseUnknownOutcome(): Refusal {
  return {
    reason: 'outcome-unknown',
    run: 'unknown',
    detail: 'The request may have run; ask again with the same ticket or idempotency key.',
    retryAfterMs: RETRY_SOON_MS,
  };
}

/** Refusal when no tokens could be reserved. */
export function refuseShortage(shortage: ShortageReason, isPlatformUp: boolean): Refusal {
  if (shortage === 'class-share') {
    return {
      reason: 'class-share-exhausted',
      run: 'not-run',
      detail: 'The class of work has drawn its share of the budget; raise the share or top up.',
      retryAfterMs: RETRY_BUDGET_MS,
    };
  }
  if (shortage === 'no-tokens' && !isPlatformUp) return refuseUnreachable();
  return {
    reason: 'budget-exhausted',
    run: 'not-run',
    detail: 'The prepaid budget does not cover the request; top the budget up.',
    retryAfterMs: RETRY_BUDGET_MS,
  };
}
