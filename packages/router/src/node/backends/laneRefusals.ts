/** Refusals of requests that were not placed on a server. */

import type { Refusal } from '@flamingocourse/core';
import { notRun } from '../../utils/problem.js';

/** Milliseconds after which a caller may retry if no server accepts requests. */
const NO_SERVER_RETRY_MS = 1_000;

/** Detail texts for the reasons for which the queue sheds a request. */
export const shedDetails = {
  overloaded: 'The queue is full; retry later.',
  'deadline-unreachable': 'The queue is too long for the deadline; retry later.',
  'deadline-passed': 'The deadline passed in the queue.',
} as const;

/** Refusal for a service without any server that accepts requests. */
export function noServerRefusal(): Refusal {
  const detail = 'No backend server can take the request now; retry soon.';
  return notRun('no-backend-server', detail, NO_SERVER_RETRY_MS);
}

/** Refusal for a request that may run in no region in which there are servers. */
export function noHomeRefusal(): Refusal {
  const detail = 'No backend server is in a region in which the request may run; retry later.';
  return notRun('no-backend-server', detail, NO_SERVER_RETRY_MS);
}

/** Refusal for a request all whose servers are in data centres that an operator has evacuated. */
export function evacuatedRefusal(): Refusal {
  const detail = 'All servers that may run the request are in evacuated data centres; retry later.';
  return notRun('evacuated', detail, NO_SERVER_RETRY_MS);
}

/**
 * Refusal for a stream that has begun and that no server may go on with.
 *
 * @param retryAfterMs milliseconds after which it may go on; undefined if that is not to be expected.
 */
export function cannotResumeRefusal(retryAfterMs?: number): Refusal {
  const detail = 'No backend server of the software that began this stream can go on with it.';
  return notRun('cannot-resume', detail, retryAfterMs);
}

/** Refusal for a request whose caller stopped waiting before it was placed. */
export function cancelledRefusal(): Refusal {
  return notRun('deadline-passed', 'The request was given up before it ran.');
}

/**
 * Refusal for a request whose target no server can meet while others wait for the room.
 *
 * @param retryAfterMs milliseconds after which a retry can be served.
 */
export function lateRefusal(retryAfterMs: number): Refusal {
  const detail = 'All backend servers are busy for longer than the target; retry later.';
  return notRun('overloaded', detail, retryAfterMs);
}

/**
 * Refusal for a request that all servers' pauses or rate limits would delay for too long.
 *
 * @param waitMs milliseconds until the request could be sent.
 */
export function rateLimitedRefusal(waitMs: number): Refusal {
  const detail = 'All backend servers rest or limit the requests a second; retry later.';
  return notRun('overloaded', detail, Math.ceil(waitMs));
}

/**
 * Refusal for a quarantined request.
 *
 * @param retryAfterMs milliseconds until the request may run again, if known.
 */
export function quarantinedRefusal(retryAfterMs: number | undefined): Refusal {
  const detail = 'This request has crashed the servers that ran it; change it.';
  return notRun('quarantined', detail, retryAfterMs);
}
