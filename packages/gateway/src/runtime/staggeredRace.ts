/** Tries several ways to the same end, each a little later than the one before it. */

import { onTimeout } from '@flamingocourse/kernel';
import { Result } from 'true-myth';

/** One way; an error is a reason for the log. */
export type Way<T> = () => Promise<Result<T, string>>;

/** Options of {@link staggeredRace}. */
export interface RaceOptions<T> {
  /** Milliseconds after which the next way begins if no earlier one has ended. */
  staggerMs: number;
  /** Receives results that came after the first one, to close them. */
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
 * passed. Resolves with the first success, or with the reason of the first way if all fail.
 *
 * @example
 * const won = await staggeredRace([direct, throughPeer], { staggerMs: 50, onUnused: close });
 */
export function staggeredRace<T>(
  ways: readonly Way<T>[],
  { staggerMs, onUnused }: RaceOptions<T>,
): Promise<Result<RaceWin<T>, string>> {
  return new Promise((resolve) => {
    const reasons = new Map<number, string>();
    let started = 0;
    let won = false;
    let stopTimer = (): void => undefined;
    const startNext = (): void => {
      stopTimer();
      const index = started;
      const way = ways[index];
      if (won || !way) return;
      started += 1;
      stopTimer = onTimeout(staggerMs, startNext);
      void way().then((result) => {
        if (result.isOk) succeed(result.value, index);
        else fail(result.error, index);
      });
    };
    const succeed = (value: T, way: number): void => {
      if (won) {
        onUnused(value);
        return;
      }
      won = true;
      stopTimer();
      resolve(Result.ok({ value, way, failed: [...reasons.keys()] }));
    };
    const fail = (reason: string, index: number): void => {
      reasons.set(index, reason);
      if (won) return;
      if (reasons.size === ways.length) resolve(Result.err(reasons.get(0) ?? reason));
      else if (index === started - 1) startNext();
    };
    if (ways.length === 0) resolve(Result.err('there is no way'));
    else startNext();
  });
}
