/** Refusals that depend on a request's key or ticket. */

import type { Refusal } from '@flamingocourse/core';
import type { Execution } from './executionTable.js';
import type { AnswerEnd } from './liveAnswer.js';
import { notRun } from '../../utils/problem.js';

const CLAIM_RETRY_MS = 2_000;

/**
 * Replaces an uncertain "not run" by "unknown". The key may have been used at another router before;
 * until its claim has been read, "not run" could be false for that earlier attempt.
 */
export function withUnknownRun(refusal: Refusal): Refusal {
  return refusal.run === 'not-run' ? { ...refusal, run: 'unknown' } : refusal;
}

/** Applies {@link withUnknownRun} to an end that is a refusal; other ends are returned unchanged. */
export function endWithUnknownRun(end: AnswerEnd): AnswerEnd {
  return end.type === 'refused' ? { ...end, refusal: withUnknownRun(end.refusal) } : end;
}

/** The key already belongs to a request with another body; this one has not run. */
export function keyReused(): Refusal {
  return notRun(
    'key-reused-with-other-body',
    'This idempotency key was used for another request; choose a new key.',
  );
}

/** It cannot be determined now whether the other ticket of the same key is billed. */
export function notConfirmed(): Refusal {
  return {
    reason: 'outcome-unknown',
    run: 'unknown',
    detail: 'Another router runs the same key and cannot be asked; retry with the same key.',
    retryAfterMs: CLAIM_RETRY_MS,
  };
}

/** End of a request that was cancelled because no caller waits for it. */
export function cancelledEnd(execution: Execution): AnswerEnd {
  const refusal: Refusal = execution.dispatched
    ? { reason: 'deadline-passed', run: 'unknown', detail: 'The request was given up on.' }
    : notRun('deadline-passed', 'The request was given up on before it ran.');
  return { type: 'refused', refusal };
}
