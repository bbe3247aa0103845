/** Checks that callers are served by instances that have lost all servers. */

import type { SeenAnswer } from './soakCallers.js';
import type { InstanceCut } from './soakCuts.js';

/** Milliseconds after the beginning of a cut from which attempts count. */
const COUNTED_AFTER_MS = 3_000;
/** Milliseconds before a cut from which a disturbed instance does not count. */
const UNDISTURBED_BEFORE_MS = 3_000;
/** Fraction of the share served elsewhere that must be served at least. */
const MIN_SHARE_FRACTION = 2 / 3;
/** Failed attempts that are allowed in any case, and one more of so many attempts. */
const ALLOWED_FAILURES = 10;
const ATTEMPTS_PER_ALLOWED_FAILURE = 50;

/** What else happened to one instance, on the monotonic clock. */
export interface Disturbances {
  name: string;
  /** Times of signals. */
  disturbedAt: readonly number[];
  startedAt: readonly number[];
  /** Times in which it did not reach the store. */
  storeCuts: readonly { from: number; until: number }[];
}

/** Observations around the cuts of a run. */
export interface CutObservations {
  /** First attempts of callers. */
  answers: readonly SeenAnswer[];
  cuts: readonly InstanceCut[];
  instances: readonly Disturbances[];
}

/** Result of the check. */
export interface CutReport {
  /** Attempts at instances that were cut off from all servers. */
  attempts: number;
  /** Those of them that were served. */
  served: number;
  /** Broken promises, one sentence each. */
  broken: string[];
}

interface Tally {
  attempts: number;
  served: number;
}

/**
 * Compares, for each cut from all servers, the first attempts at the instances that were cut off with
 * those at the others.
 *
 * @example
 * const { broken } = checkCutOff(seen);
 * assert.deepEqual(broken, []);
 */
export function checkCutOff(seen: CutObservations): CutReport {
  const results = seen.cuts.filter(({ isFromAll }) => isFromAll).map((cut) => checkCut(cut, seen));
  return {
    attempts: results.reduce((sum, { cutOff }) => sum + cutOff.attempts, 0),
    served: results.reduce((sum, { cutOff }) => sum + cutOff.served, 0),
    broken: results.flatMap(({ broken }) => broken),
  };
}

function checkCut(
  cut: InstanceCut,
  { answers, instances }: CutObservations,
): { cutOff: Tally; broken: string[] } {
  const counted = answers.filter(({ instance, sentAt }) => {
    const isInTime = sentAt >= cut.from + COUNTED_AFTER_MS && sentAt <= cut.until;
    return isInTime && isUndisturbed(instance, cut, instances);
  });
  const cutOff = tally(counted.filter(({ instance }) => cut.instances.includes(instance)));
  const others = tally(counted.filter(({ instance }) => !cut.instances.includes(instance)));
  return { cutOff, broken: isKept(cutOff, others) ? [] : [describe(cut, cutOff, others)] };
}

function isUndisturbed(name: string, cut: InstanceCut, all: readonly Disturbances[]): boolean {
  const instance = all.find((each) => each.name === name);
  if (!instance) return false;
  const from = cut.from - UNDISTURBED_BEFORE_MS;
  const isInCut = (at: number): boolean => at >= from && at <= cut.until;
  const { disturbedAt, startedAt, storeCuts } = instance;
  if (disturbedAt.some(isInCut) || startedAt.some(isInCut)) return false;
  return !storeCuts.some((each) => each.until >= from && each.from <= cut.until);
}

function tally(answers: readonly SeenAnswer[]): Tally {
  const served = answers.filter(({ status, complete }) => status === 200 && complete);
  return { attempts: answers.length, served: served.length };
}

function isKept(cutOff: Tally, others: Tally): boolean {
  const failed = cutOff.attempts - cutOff.served;
  if (failed <= ALLOWED_FAILURES + cutOff.attempts / ATTEMPTS_PER_ALLOWED_FAILURE) return true;
  if (others.attempts === 0) return true;
  return shareOf(cutOff) >= MIN_SHARE_FRACTION * shareOf(others);
}

function shareOf({ attempts, served }: Tally): number {
  return served / attempts;
}

function describe(cut: InstanceCut, cutOff: Tally, others: Tally): string {
  const share = ({ attempts, served }: Tally): string => `${String(served)} of ${String(attempts)}`;
  const forMs = String(Math.round(cut.until - cut.from));
  return `${cut.instances.join(', ')}, cut off (${cut.mode}) from all servers for ${forMs} ms, served ${share(cutOff)} first attempts, the others ${share(others)}`;
}
