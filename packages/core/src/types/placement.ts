/** Types used when a backend server is chosen for a request. */

import type { AttemptEnd } from '../runtime/routing/serverHealth.js';
import type { DataCentreId, ServerId } from './ids.js';

/** Returns a number from 0 (included) to 1 (excluded); seeded in tests. */
export type RandomSource = () => number;

/** A backend server that can receive a request. */
export interface Candidate {
  id: ServerId;
  idHash: number;
  url: string;
  /** Whether it is in the router's own data centre. */
  local: boolean;
  /** Estimated number of requests running and waiting there now. */
  load: number;
  /** Milliseconds since the load report that the estimate starts from; absent without one. */
  loadAgeMs?: number | undefined;
  /** Maximum number of concurrent requests. */
  capacity: number;
  /** Milliseconds per stream event; undefined while unknown. */
  eventMs?: number | undefined;
  /** How long work takes there now, as a multiple of the usual; absent if its service reports no speeds. */
  slowdown?: number | undefined;
  /** Expected milliseconds until a request that is sent now is answered; absent while unknown. */
  expectedMs?: number | undefined;
  hasRoom: boolean;
  /**
   * Whether it has a rate limit, may receive a request now, and the other servers have received at
   * least their equal share of requests since its last one.
   */
  isDue: boolean;
}

/** Result of one attempt, as a caller reports it to the pool. */
export interface AttemptResult {
  end: AttemptEnd;
  /** Time to the first token, or to the whole answer for plain services, in milliseconds. */
  firstTokenMs?: number;
  /** Latency target of the class, in milliseconds; used to adapt the concurrency limit. */
  targetMs?: number;
}

/**
 * Software versions that may run a request. What two versions write does not fit together, so a stream
 * belongs from its first event to its end to the version that made that event.
 */
export type StreamSoftware =
  /** Its answer is no stream, or one that goes on nowhere else. */
  | { type: 'any' }
  /** It begins a stream that may go on elsewhere, so the version of its first event must be certain. */
  | { type: 'begins' }
  /** Its stream has begun at a server of this version. */
  | { type: 'version'; version: string }
  /** Its stream has begun, and the version is not known. */
  | { type: 'unknown' };

/** Which servers may run a request, whichever attempt of it. */
export interface ServerBounds {
  software: StreamSoftware;
  /** Data centres in which it may run; undefined means all. */
  homes?: ReadonlySet<DataCentreId> | undefined;
}

/** Restrictions on the servers that can be chosen. */
export interface CandidateQuery {
  /** Servers at which this request was already attempted. */
  tried?: ReadonlySet<ServerId>;
  /** @default any server */
  bounds?: ServerBounds;
  /** Whether the request must run alone on its server (quarantine suspects). */
  exclusive?: boolean;
  /** Fraction of a server's slots that may be used beyond its limit, from 0 to 1. @default 0 */
  extra?: number;
  /**
   * `everywhere` gives the chooser the servers of all data centres, so that requests with the same
   * prefix reach the same server whichever router receives them. @default 'near-first'
   */
  scope?: PlacementScope;
  /** Whether a server with room may get the request. @default all may */
  accepts?: ((candidate: Candidate) => boolean) | undefined;
}

/** Which data centres are considered first. */
export type PlacementScope = 'near-first' | 'everywhere';
