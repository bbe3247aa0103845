/** What `prove` finds out about the promises. */

/** Promises in the order of the brief. */
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

/** What the phases found about one promise. */
export interface PromiseReport {
  promise: PromiseNumber;
  verdict: PromiseVerdict;
  /** Faults under which it was checked. */
  faults: string[];
  /** Checks made: answers compared, samples taken, requests counted. */
  checks: number;
  /** What was seen that must not be; the first few in words. */
  violations: string[];
}

/** Outcome of a whole run. */
export interface ProveResult {
  seed: number;
  /** Wall-clock seconds of the run. */
  seconds: number;
  promises: PromiseReport[];
  /** How the load of each phase ended, for readers of the run. */
  phases: Record<string, unknown>[];
}
