/** What the choice of a backend server is made from. */

import type { AttemptEnd } from '../runtime/routing/serverHealth.js';
import type { ServerId } from './ids.js';

/** Returns a number from 0 (included) to 1 (excluded); seeded in tests. */
export type RandomSource = () => number;

/** A backend server that may get a request. */
export interface Candidate {
  id: ServerId;
  idHash: number;
  url: string;
  /** Whether it stands in the router's own data centre. */
  local: boolean;
  /** Estimated requests running and waiting there now. */
  load: number;
  /** Requests that it takes at once. */
  capacity: number;
  /** Milliseconds that it takes for an event of a stream; undefined while not known. */
  eventMs?: number | undefined;
  hasRoom: boolean;
  /**
   * It takes few requests a second, one is due, and others got as many since its last one as if all
   * shared alike.
   */
  owed: boolean;
}

/** What a caller of the pool says about one attempt. */
export interface AttemptResult {
  end: AttemptEnd;
  /** First token, or for plain services the whole answer, in milliseconds. */
  firstTokenMs?: number;
  /** Target of the class, in milliseconds; adapts the concurrency limit. */
  targetMs?: number;
}

/** Restrictions on the servers that may be chosen. */
export interface CandidateQuery {
  /** Servers that this request has tried already. */
  tried?: ReadonlySet<ServerId>;
  /** Whether the request has to run alone on its server (suspects of the quarantine). */
  exclusive?: boolean;
  /** Part of a server's places that may be used beyond its limit, from 0 to 1. @default 0 */
  extra?: number;
  /**
   * `everywhere` lets the chooser see all data centres alike, so that requests with the same prefix
   * meet at one server wherever they come in. @default 'near-first'
   */
  scope?: PlacementScope;
}

/** Which data centres a choice begins with. */
export type PlacementScope = 'near-first' | 'everywhere';
