/** What follows from an attempt that gave no whole answer. */

import type { Refusal, Repetition, RunVerdict } from '@flamingocourse/core';

/** How an attempt failed. */
export type FailedAttempt =
  /** No byte reached the server. */
  | 'not-sent'
  /** The server says that it did not run the request. */
  | 'refused'
  /** The address belongs to another server now. */
  | 'other-server'
  /** It may have run: the connection broke, the answer was spoilt or did not come in time. */
  | 'unknown'
  /** The server's own failure; it ran. */
  | 'server-error';

/** What is known of a request when an attempt has failed. */
export interface AttemptHistory {
  repetition: Repetition;
  /** Servers that the request may be run on. */
  maxAttempts: number;
  /** Attempts so far that may have run. */
  mayHaveRun: number;
  /** Attempts so far, all kinds. */
  made: number;
  /** Milliseconds left for the caller's answer. */
  leftMs: number;
}

/** Attempts of one request that no server ran, after which it is refused. */
const MAX_UNRUN = 4;
/** Milliseconds below which another attempt has no chance of an answer. */
const MIN_LEFT_MS = 20;

/**
 * Whether another attempt may follow, as far as the request itself goes. The fleet's allowance for
 * further attempts is asked separately, and only for attempts that reach a server.
 *
 * @example
 * mayFollow('not-sent', { repetition: 'once', maxAttempts: 1, mayHaveRun: 0, made: 1, leftMs: 400 });
 */
export function mayFollow(failed: FailedAttempt, history: AttemptHistory): boolean {
  const { repetition, maxAttempts, mayHaveRun, made, leftMs } = history;
  if (leftMs < MIN_LEFT_MS || made >= MAX_UNRUN + maxAttempts) return false;
  switch (failed) {
    case 'not-sent':
    case 'refused':
    case 'other-server':
      return made - mayHaveRun < MAX_UNRUN && mayHaveRun < Math.max(1, maxAttempts);
    case 'unknown':
    case 'server-error':
      return isRepeatable(repetition) && mayHaveRun < maxAttempts;
  }
}

/** Whether a request may be run again after it may have run. */
export function isRepeatable(repetition: Repetition): boolean {
  return repetition === 'idempotent' || repetition === 'resumable-stream';
}

/** Whether the answer is a series of events. */
export function isStream(repetition: Repetition): boolean {
  return repetition === 'resumable-stream' || repetition === 'once-stream';
}

/** What a refusal may say: `not-run` only when no attempt can have run. */
export function runVerdict(mayHaveRun: number): RunVerdict {
  return mayHaveRun === 0 ? 'not-run' : 'unknown';
}

/** Final refusal of a request whose attempts failed. */
export function refuseFailed(mayHaveRun: number, detail: string, retryAfterMs: number): Refusal {
  if (mayHaveRun > 0) return { reason: 'backend-failed', run: 'unknown', detail };
  return { reason: 'no-backend-server', run: 'not-run', detail, retryAfterMs };
}
