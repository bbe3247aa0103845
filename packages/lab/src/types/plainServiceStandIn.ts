/** Options, fault switches and records of the plain service stand-in. */

import type { HttpStandInOptions } from './httpStandIn.js';

/** When a connection breaks: before the call runs, or after it ran but before the reply. */
export type BreakPoint = 'before-run' | 'after-run';

/** Faults that can be switched on and off while the service runs. */
export interface PlainServiceFaults {
  /** Breaks the connections of the next calls with a body. @default null */
  breakAt: BreakPoint | null;
  /** Number of calls whose connection will break; each break decrements it. @default 0 */
  breaks: number;
  /** Additional time of each call, in milliseconds. @default 0 */
  slowMs: number;
  /** Fraction of the calls that are answered with status 500 before they run. @default 0 */
  errorRate: number;
  /** Refuses new calls and reports `leaving` in `/health`. @default false */
  leaving: boolean;
}

/** Options of {@link createPlainServiceStandIn}. */
export interface PlainServiceStandInOptions extends HttpStandInOptions {
  /** Milliseconds that each call takes. @default 5 */
  serviceMs?: number;
  /** Age of the load that `/load` reports, in milliseconds. @default 1000 */
  loadLagMs?: number;
  /** @default 1 */
  seed?: number;
  faults?: Partial<PlainServiceFaults>;
  /** Records that several servers of one service share. @default new, unshared records */
  records?: ServiceRecords;
}

/** All faults switched off. */
export const NO_SERVICE_FAULTS: PlainServiceFaults = {
  breakAt: null,
  breaks: 0,
  slowMs: 0,
  errorRate: 0,
  leaving: false,
};

/** One execution of a call that creates an entry. */
export interface ServiceRun {
  /** Nonce of the attempt, from the header `x-request-id`. */
  requestId: string;
  /** The caller's key of the request, from the field `key` of the body. */
  callerKey: string;
  path: string;
  at: number;
}

/** Entries of one service, and the runs that created them. */
export interface ServiceRecords {
  entries: Map<string, unknown>;
  runs: ServiceRun[];
}
