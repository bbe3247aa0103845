/** Options, switches and records of the plain service stand-in. */

import type { HttpStandInOptions } from './httpStandIn.js';

/** Where a connection breaks: before the call ran, or after it ran and before its reply. */
export type BreakPoint = 'before-run' | 'after-run';

/** Faults that can be switched while the service runs. */
export interface PlainServiceFaults {
  /** Breaks the connections of the next calls with a body. @default null */
  breakAt: BreakPoint | null;
  /** Number of calls that break; each break counts it down. @default 0 */
  breaks: number;
  /** Added to the time of each call, in milliseconds. @default 0 */
  slowMs: number;
  /** Part of the calls answered with status 500 before they run. @default 0 */
  errorRate: number;
  /** Refuses new calls and says so in `/health`. @default false */
  leaving: boolean;
}

/** Options of {@link createPlainServiceStandIn}. */
export interface PlainServiceStandInOptions extends HttpStandInOptions {
  /** Milliseconds that each call takes. @default 5 */
  serviceMs?: number;
  /** Age of what `/load` reports, in milliseconds. @default 1000 */
  loadLagMs?: number;
  /** @default 1 */
  seed?: number;
  faults?: Partial<PlainServiceFaults>;
  /** Records shared by several servers of one service. @default records of its own */
  records?: ServiceRecords;
}

/** Faults of a service that has none. */
export const NO_SERVICE_FAULTS: PlainServiceFaults = {
  breakAt: null,
  breaks: 0,
  slowMs: 0,
  errorRate: 0,
  leaving: false,
};

/** One call that changed something. */
export interface ServiceRun {
  /** Nonce of the attempt, from `x-request-id`. */
  requestId: string;
  /** The caller's own name for its request, from the member `key` of the body. */
  callerKey: string;
  path: string;
  at: number;
}

/** What the servers of one service keep: entries made, and the runs that made them. */
export interface ServiceRecords {
  entries: Map<string, unknown>;
  runs: ServiceRun[];
}
