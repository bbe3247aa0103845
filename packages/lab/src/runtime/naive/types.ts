/** Events and outcomes of a fleet, common to the reference model and the reducer fleet. */

import type { Tokens } from '@flamingocourse/core';

/** Point at which a router crashes while it runs a request. */
export type CrashPoint = 'none' | 'before-dispatch' | 'after-dispatch' | 'after-bill';

/** A request with a caller's key. Its cost depends on the key, so a retry costs the same. */
export interface RequestEvent {
  readonly type: 'request';
  readonly router: number;
  readonly key: number;
  readonly crashPoint: CrashPoint;
}

/** An event of a sequence. */
export type FleetEvent =
  | RequestEvent
  | { readonly type: 'top-up'; readonly amount: Tokens }
  /** The platform becomes unreachable or reachable. */
  | { readonly type: 'platform'; readonly isUp: boolean }
  /** Peers consider a suspended router crashed and seal it. */
  | { readonly type: 'seal'; readonly router: number }
  /** The reply to the router's next write is lost. */
  | { readonly type: 'lose-reply'; readonly router: number };

/** Outcome for the caller; `no-answer`: the connection ends without an answer. */
export type Outcome = 'answered' | 'not-run' | 'unknown' | 'no-answer';

/** Whether requests with a key may run at most once. */
export function isNonIdempotent(key: number): boolean {
  return key % 2 === 1;
}

/** Maximum cost of a request, in tokens. */
export const WORST_CASE: Tokens = 10;

/** Cost of the requests with a key, in tokens. */
export function costOf(key: number): Tokens {
  return 1 + (key % WORST_CASE);
}

/** First key whose requests have a ticket. Only its issuer dispatches them, without a claim. */
const FIRST_TICKET_KEY = 8;

/** Whether requests with a key have a ticket, issued by the router that got the first of them. */
export function hasTicket(key: number): boolean {
  return key >= FIRST_TICKET_KEY;
}
