/** All refusals that a caller can receive. */

/** Whether a refused request ran. `unknown` is used only if this cannot be determined. */
export type RunVerdict = 'not-run' | 'ran' | 'unknown';

/** Why a request was refused. */
export type RefusalReason =
  | 'bad-request'
  | 'unauthenticated'
  | 'unknown-service'
  | 'unknown-class'
  | 'key-reused-with-other-body'
  | 'too-large'
  | 'budget-exhausted'
  | 'class-share-exhausted'
  | 'budget-unreachable'
  | 'overloaded'
  | 'deadline-unreachable'
  | 'deadline-passed'
  | 'no-backend-server'
  /** An operator has evacuated the data centres of all servers that may run it. */
  | 'evacuated'
  | 'cannot-resume'
  | 'backend-failed'
  | 'quarantined'
  | 'stopping'
  | 'not-ready'
  | 'outcome-unknown'
  | 'answer-expired';

/** Final answer to a request that gets no result. */
export interface Refusal {
  reason: RefusalReason;
  run: RunVerdict;
  /** Human-readable sentence that explains what the caller can do. */
  detail: string;
  /** Milliseconds after which a retry can succeed; absent if a retry cannot succeed. */
  retryAfterMs?: number;
}
