/** Decides whether a failed attempt may be retried, and what to answer if not. */

import type { Refusal, Repetition, RunVerdict } from '@flamingocourse/core';

/** How an attempt failed. */
export type FailedAttempt =
  /** No byte of the request reached the server. */
  | 'not-sent'
  /** The server responded that it did not run the request. */
  | 'refused'
  /** The address now belongs to another server. */
  | 'other-server'
  /** The request may have run: connection lost, invalid response, or timeout. */
  | 'unknown'
  /** The request ran and the server responded with an error. */
  | 'server-error';

/** State of a request after a failed attempt. */
export interface AttemptHistory {
  repetition: Repetition;
  /** Maximum number of servers that may run the request. */
  maxAttempts: number;
  /** Attempts so far that may have run. */
  mayHaveRun: number;
  /** Attempts so far, whether or not they ran. */
  made: number;
  /** Milliseconds left until the deadline. */
  leftMs: number;
  /** Whether another server can be told where a stream that has begun goes on. */
  isResumable: boolean;
}

/** Maximum attempts of one request that no server ran; after these it is refused. */
const MAX_ATTEMPTS_NOT_RUN = 4;
/** Milliseconds below which a retry cannot get a response before the deadline. */
const MIN_LEFT_MS = 20;

/**
 * Returns whether the request itself allows another attempt. The caller checks the fleet's retry
 * allowance separately, and only after attempts that reached a server.
 *
 * @example
 * mayRetry('not-sent', { repetition: 'once', maxAttempts: 1, mayHaveRun: 0, made: 1, leftMs: 400, isResumable: true });
 */
export function mayRetry(failed: FailedAttempt, history: AttemptHistory): boolean {
  const { repetition, maxAttempts, mayHaveRun, made, leftMs, isResumable } = history;
  if (!isResumable || leftMs < MIN_LEFT_MS || made >= MAX_ATTEMPTS_NOT_RUN + maxAttempts)
    return false;
  switch (failed) {
    case 'not-sent':
    case 'refused':
    case 'other-server':
      return made - mayHaveRun < MAX_ATTEMPTS_NOT_RUN && mayHaveRun < Math.max(1, maxAttempts);
    case 'unknown':
    case 'server-error':
      return isRepeatable(repetition) && mayHaveRun < maxAttempts;
  }
}

/** Returns whether a request that may have run may be run again. */
export function isRepeatable(repetition: Repetition): boolean {
  return repetition === 'idempotent' || repetition === 'resumable-stream';
}

/** Returns whether the response is an event stream. */
export function isStream(repetition: Repetition): boolean {
  return repetition === 'resumable-stream' || repetition === 'once-stream';
}

/** Returns `not-run` only if no attempt can have run. */
export function runVerdict(mayHaveRun: number): RunVerdict {
  return mayHaveRun === 0 ? 'not-run' : 'unknown';
}

/** Returns the final refusal of a request whose attempts failed. */
export function refusalAfterFailure(
  mayHaveRun: number,
  detail: string,
  retryAfterMs: number,
): Refusal {
  if (mayHaveRun > 0) return { reason: 'backend-failed', run: 'unknown', detail };
  return { reason: 'no-backend-server', run: 'not-run', detail, retryAfterMs };
}
