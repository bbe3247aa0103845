/** Rate at which a backlog drains, measured over the most recent takes. */

import type { EpochMs } from '../../types/ids.js';

const WINDOW_TAKES = 64;
const MIN_TAKES = 4;
/** Maximum age of takes that count, in milliseconds. */
const MAX_AGE_MS = 30_000;

/**
 * Counts takes from a queue that has a backlog. Without a backlog, takes would show the arrival
 * rate instead.
 */
export class DrainRate {
  #takes: EpochMs[] = [];

  record(now: EpochMs): void {
    this.#takes.push(now);
    if (this.#takes.length > WINDOW_TAKES) this.#takes.shift();
  }

  /** Removes all takes; called when there is no backlog any more. */
  reset(): void {
    this.#takes = [];
  }

  /** Takes per millisecond; `undefined` while there are too few. */
  perMs(now: EpochMs): number | undefined {
    const recent = this.#takes.filter((at) => now - at <= MAX_AGE_MS);
    const first = recent[0];
    if (first === undefined || recent.length < MIN_TAKES) return undefined;
    // Counts the time up to `now`, not the last take, so that the rate of a stalled queue decreases.
    return recent.length / Math.max(now - first, 1);
  }
}
