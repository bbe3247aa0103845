/** Rate at which a backlog is worked off, measured over the last takes. */

import type { EpochMs } from '../../types/ids.js';

const WINDOW_TAKES = 64;
const MIN_TAKES = 4;
/** Takes older than this say nothing about the present, in milliseconds. */
const MAX_AGE_MS = 30_000;

/**
 * Counts takes from a queue that has a backlog. Takes from an empty queue would measure the arrival
 * rate instead.
 */
export class DrainRate {
  #takes: EpochMs[] = [];

  record(now: EpochMs): void {
    this.#takes.push(now);
    if (this.#takes.length > WINDOW_TAKES) this.#takes.shift();
  }

  /** Forgets all takes; called when the backlog is gone. */
  reset(): void {
    this.#takes = [];
  }

  /** Takes per millisecond, or `undefined` while too few were seen. */
  perMs(now: EpochMs): number | undefined {
    const recent = this.#takes.filter((at) => now - at <= MAX_AGE_MS);
    const first = recent[0];
    if (first === undefined || recent.length < MIN_TAKES) return undefined;
    // until `now`, not until the last take: a queue that has stalled gets slower by the minute.
    return recent.length / Math.max(now - first, 1);
  }
}
