/** Refusals of the budget services, as sentences for callers. */

import type { Refusal, Shortage } from '@flamingocourse/core';

/** When tokens may have been handed back or topped up, in milliseconds. */
const RETRY_BUDGET_MS = 5_000;

/** When another router, a new incarnation or the platform may answer, in milliseconds. */
const RETRY_SOON_MS = 1_000;

/** The router cannot spend yet, or not any more. */
export function refuseNotReady(): Refusal {
  return {
    reason: 'not-ready',
    run: 'not-run',
    detail: 'This router holds no rights to budgets at the moment; try again.',
    retryAfterMs: RETRY_SOON_MS,
  };
}

/** Nothing that is recorded now would be kept. */
export function refuseUnreachable(): Refusal {
  return {
    reason: 'budget-unreachable',
    run: 'not-run',
    detail: 'Budgets cannot be reached at the moment; try again or use another data centre.',
    retryAfterMs: RETRY_SOON_MS,
  };
}

/** It cannot be known here whether the request is billed. */
export function refuseUnknownOutcome(): Refusal {
  return {
    reason: 'outcome-unknown',
    run: 'unknown',
    detail: 'The request may have run; ask again with the same ticket or idempotency key.',
    retryAfterMs: RETRY_SOON_MS,
  };
}

/** No tokens could be set aside. */
export function refuseShortage(shortage: Shortage, isPlatformUp: boolean): Refusal {
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
