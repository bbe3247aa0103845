/** What happens to a fleet, for a naive version and for the real decisions alike. */

import type { Tokens } from '@flamingocourse/core';

/** Where a router dies while it works on a request. */
export type DeathPoint = 'none' | 'before-dispatch' | 'after-dispatch' | 'after-bill';

/** A request under a caller's key. What it costs depends on the key, so a retry costs the same. */
export interface RequestEvent {
  readonly type: 'request';
  readonly router: number;
  readonly key: number;
  readonly dies: DeathPoint;
}

/** Anything that may happen. */
export type FleetEvent =
  | RequestEvent
  | { readonly type: 'top-up'; readonly amount: Tokens }
  /** The platform goes out or comes back. */
  | { readonly type: 'platform'; readonly isUp: boolean }
  /** Peers take a router that only paused for dead, and seal it. */
  | { readonly type: 'seal'; readonly router: number }
  /** The reply to the router's next write is lost. */
  | { readonly type: 'lose-reply'; readonly router: number };

/** What a caller gets; `no-answer` is a connection that ends. */
export type Outcome = 'answered' | 'not-run' | 'unknown' | 'no-answer';

/** Whether requests under a key may run once only. */
export function isNonIdempotent(key: number): boolean {
  return key % 2 === 1;
}

/** Tokens that a request may use at most. */
export const WORST_CASE: Tokens = 10;

/** Tokens that requests under a key use. */
export function costOf(key: number): Tokens {
  return 1 + (key % WORST_CASE);
}

/** First key whose requests come with a ticket, which only its issuer dispatches, unclaimed. */
const FIRST_TICKET = 8;

/** Whether requests under a key come with a ticket of the router that got the first of them. */
export function hasTicket(key: number): boolean {
  return key >= FIRST_TICKET;
}
