/** Paces the requests of one instance to its share of a server's rate limit. */

import type { EpochMs } from '../../types/ids.js';

/**
 * Milliseconds after which an unused send slot expires. If slots lasted longer, many instances that
 * had no requests for the server would use all their accumulated slots at the start of a burst.
 */
const SLOT_EXPIRY_MS = 2_000;

/**
 * Send slots at regular intervals, one request per slot. Instances do not coordinate their slots,
 * so each starts at a random offset within its first interval.
 *
 * @example
 * const pacer = new SendPacer(4_000, now, random);
 * if (pacer.nextAt(now) <= now) pacer.take(now);
 */
export class SendPacer {
  #intervalMs: number;
  /** Time of the first unused slot. */
  #dueAt: EpochMs;

  /** @param random a number from 0 (included) to 1 (excluded). */
  constructor(intervalMs: number, now: EpochMs, random: number) {
    this.#intervalMs = intervalMs;
    this.#dueAt = now + random * intervalMs;
  }

  get intervalMs(): number {
    return this.#intervalMs;
  }

  /** Changes the interval; the elapsed fraction of the current interval is preserved. */
  setInterval(intervalMs: number, now: EpochMs): void {
    this.#dropExpired(now);
    const left = Math.max(0, this.#dueAt - now) / this.#intervalMs;
    if (left > 0) this.#dueAt = now + left * intervalMs;
    this.#intervalMs = intervalMs;
  }

  /**
   * Time at which the next request may be sent; not later than `now` if one may be sent at once.
   */
  nextAt(now: EpochMs): EpochMs {
    this.#dropExpired(now);
    return this.#dueAt;
  }

  /** Uses one slot for a request that is sent. */
  take(now: EpochMs): void {
    this.#dropExpired(now);
    this.#dueAt += this.#intervalMs;
  }

  #dropExpired(now: EpochMs): void {
    const expiredMs = now - SLOT_EXPIRY_MS - this.#dueAt;
    if (expiredMs <= 0) return;
    this.#dueAt += Math.ceil(expiredMs / this.#intervalMs) * this.#intervalMs;
  }
}
