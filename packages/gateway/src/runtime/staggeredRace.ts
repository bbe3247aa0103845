/** Tries several ways to the same end, each a little later than the one before it. */

import { describeError, onTimeout, runInBackground } from '@flamingocourse/kernel';
import { Result } from 'true-myth';

/** One way; an error is a reason for the log. */
export type Way<T> = () => Promise<Result<T, string>>;

/** Options of {@link staggeredRace}. */
export interface RaceOptions<T> {
  /** Milliseconds after which the next way begins if no earlier one has ended. */
  staggerMs: number;
  /** Milliseconds that the first way still has once another one has succeeded; none if absent. */
  firstGraceMs?: number;
  /** Receives results that are not used, to close them. */
  onUnused: (value: T) => void;
}

/** Result of a race. */
export interface RaceWin<T> {
  value: T;
  /** Index of the way that won. */
  way: number;
  /** Ways that had failed by then. */
  failed: number[];
}

/**
 * Starts the first way, and each further one when the one before it has failed or `staggerMs` have
 * passed. Resolves with the first success, or with the reason of the first way if all fail. The first
 * way is preferred if it succeeds within `firstGraceMs` of another.
 *
 * @example
 * const won = await staggeredRace([direct, throughPeer], { staggerMs: 50, onUnused: close });
 */
export function staggeredRace<T>(
  ways: readonly Way<T>[],
  { staggerMs, firstGraceMs = 0, onUnused }: RaceOptions<T>,
): Promise<Result<RaceWin<T>, string>> {
  return new Promise((resolve) => {
    const reasons = new Map<number, string>();
    let started = 0;
    let won = false;
    let second: RaceWin<T> | undefined;
    let stopTimer = (): void => undefined;
    const startNext = (): void => {
      stopTimer();
      const index = started;
      const way = ways[index];
      if (won || second || !way) return;
      started += 1;
      stopTimer = onTimeout(staggerMs, startNext);
      const run = async (): Promise<void> => {
        const result = await way();
        if (result.isOk) succeed(result.value, index);
        else fail(result.error, index);
      };
      runInBackground(run, (err) => {
        fail(describeError(err), index);
      });
    };
    const win = (result: RaceWin<T>): void => {
      won = true;
      stopTimer();
      if (second && second !== result) onUnused(second.value);
      resolve(Result.ok(result));
    };
    const succeed = (value: T, way: number): void => {
      const result = { value, way, failed: [...reasons.keys()] };
      if (won || (second && way > 0)) onUnused(value);
      else if (way === 0 || reasons.has(0) || firstGraceMs === 0) win(result);
      else {
        stopTimer();
        second = result;
        stopTimer = onTimeout(firstGraceMs, () => {
          win(result);
        });
      }
    };
    const fail = (reason: string, index: number): void => {
      reasons.set(index, reason);
      if (won) return;
      if (second) {
        if (index === 0) win(second);
      } else if (reasons.size === ways.length) resolve(Result.err(reasons.get(0) ?? reason));
      else if (index === started - 1) startNext();
    };
    if (ways.length === 0) resolve(Result.err('there is no way'));
    else startNext();
  });
}
