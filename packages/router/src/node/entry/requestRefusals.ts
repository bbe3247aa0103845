/** Refusals that follow from a request's identity. */

import type { Refusal } from '@flamingocourse/core';
import type { Execution } from './executionTable.js';
import type { AnswerEnd } from './liveAnswer.js';
import { notRun } from '../../utils/problem.js';

const CLAIM_RETRY_MS = 2_000;

/**
 * Takes back a "not run" that is not certain. A key may have been used at another router before;
 * while its claim has not been read, "not run" could be a lie about that earlier try.
 */
export function unverified(refusal: Refusal): Refusal {
  return refusal.run === 'not-run' ? { ...refusal, run: 'unknown' } : refusal;
}

/** The same for an end that is a refusal; other ends stay as they are. */
export function withUnverifiedRun(end: AnswerEnd): AnswerEnd {
  return end.type === 'refused' ? { ...end, refusal: unverified(end.refusal) } : end;
}

/** The key names another request already; this one has not run. */
export function keyReused(): Refusal {
  return notRun(
    'key-reused-with-other-body',
    'This idempotency key was used for another request; choose a new key.',
  );
}

/** Whether the other ticket of the same key is billed cannot be found out now. */
export function notConfirmed(): Refusal {
  return {
    reason: 'outcome-unknown',
    run: 'unknown',
    detail: 'Another router runs the same key and cannot be asked; retry with the same key.',
    retryAfterMs: CLAIM_RETRY_MS,
  };
}

/** End of a request that nobody waits for any more. */
export function cancelledEnd(execution: Execution): AnswerEnd {
  const refusal: Refusal = execution.dispatched
    ? { reason: 'deadline-passed', run: 'unknown', detail: 'The request was given up on.' }
    : notRun('deadline-passed', 'The request was given up on before it ran.');
  return { type: 'refused', refusal };
}
