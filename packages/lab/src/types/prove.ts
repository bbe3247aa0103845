/** Promises of the system, and the report of `prove` on them. */

/** Promises of the system; a promise is identified by its position, from 1. */
export const PROMISES = [
  'spend never exceeds the prepaid budget',
  'each request is billed exactly once',
  'callers get whole answers of their own',
  'not-run is true',
  'a non-idempotent request runs at most once',
  'a leaving backend server gets no new work',
  'a planned stop cuts off no request',
  'an accepted configuration is in force and never reverts',
] as const;

/** Number of a promise, from 1. */
export type PromiseNumber = 1 | 2 | 3 | 4 | 5 | 6 | 7 | 8;

export type PromiseVerdict = 'held' | 'broken' | 'unproved';

/** Findings of all phases about one promise. */
export interface PromiseReport {
  promise: PromiseNumber;
  verdict: PromiseVerdict;
  /** Injected faults under which the promise was checked. */
  faults: string[];
  /** Number of checks: compared answers, samples, or counted requests. */
  checks: number;
  /** Descriptions of the first violations. */
  violations: string[];
}

/** Result of a whole run. */
export interface ProveResult {
  seed: number;
  /** Duration of the run in wall-clock seconds. */
  seconds: number;
  promises: PromiseReport[];
  /** Figures of the load of each phase, for information only. */
  phases: Record<string, unknown>[];
}
