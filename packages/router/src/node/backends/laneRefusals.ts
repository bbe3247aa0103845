/** Refusals of requests that got no place at a server. */

import type { Refusal } from '@flamingocourse/core';
import { notRun } from '../../utils/problem.js';

/** Milliseconds after which a caller may come back when no server takes requests. */
const NO_SERVER_RETRY_MS = 1_000;

/** Why the queue gives a request up. */
export const shedDetails = {
  overloaded: 'The queue is full; retry later.',
  'deadline-unreachable': 'The queue is too long for the deadline; retry later.',
  'deadline-passed': 'The deadline passed in the queue.',
} as const;

export function noServer(): Refusal {
  const detail = 'No backend server can take the request now; retry soon.';
  return notRun('no-backend-server', detail, NO_SERVER_RETRY_MS);
}

export function gone(): Refusal {
  return notRun('deadline-passed', 'The request was given up before it ran.');
}

/** @param waitMs until its turn would come. */
export function notTakenYet(waitMs: number): Refusal {
  const detail = 'All backend servers rest or limit the requests a second; retry later.';
  return notRun('overloaded', detail, Math.ceil(waitMs));
}

/** @param retryAfterMs until it may run again, where that is known. */
export function quarantined(retryAfterMs: number | undefined): Refusal {
  const detail = 'This request has crashed the servers that ran it; change it.';
  return notRun('quarantined', detail, retryAfterMs);
}
