/** One instance's part of the requests a second that a server takes from all instances together. */

import type { EpochMs } from '../../types/ids.js';

/**
 * Milliseconds for which a send may be put off. Saved up for longer, the sends of many instances that had no
 * requests for the server would all be made in the first moments of a burst.
 */
const SAVED_MS = 2_000;

/**
 * Moments at regular intervals at which one request may be sent. Instances keep them without knowing of each
 * other's, so each begins at a random part of its first interval.
 *
 * @example
 * const share = new SendShare(4_000, now, random);
 * if (share.nextAt(now) <= now) share.take(now);
 */
export class SendShare {
  #intervalMs: number;
  /** The first moment that was not used. */
  #dueAt: EpochMs;

  /** @param random a number from 0 (included) to 1 (excluded). */
  constructor(intervalMs: number, now: EpochMs, random: number) {
    this.#intervalMs = intervalMs;
    this.#dueAt = now + random * intervalMs;
  }

  get intervalMs(): number {
    return this.#intervalMs;
  }

  /** Takes a new interval; what of the present one has passed stays passed. */
  setInterval(intervalMs: number, now: EpochMs): void {
    this.#dropLapsed(now);
    const left = Math.max(0, this.#dueAt - now) / this.#intervalMs;
    if (left > 0) this.#dueAt = now + left * intervalMs;
    this.#intervalMs = intervalMs;
  }

  /** When the next request may be sent; not after `now` if one may be sent at once. */
  nextAt(now: EpochMs): EpochMs {
    this.#dropLapsed(now);
    return this.#dueAt;
  }

  /** Counts a request that is sent. */
  take(now: EpochMs): void {
    this.#dropLapsed(now);
    this.#dueAt += this.#intervalMs;
  }

  #dropLapsed(now: EpochMs): void {
    const lapsedMs = now - SAVED_MS - this.#dueAt;
    if (lapsedMs <= 0) return;
    this.#dueAt += Math.ceil(lapsedMs / this.#intervalMs) * this.#intervalMs;
  }
}
