/** When the events of one stream came: its longest pause, and its quickest stretch. */

import type { EpochMs } from '../../types/ids.js';

/**
 * Batches of events whose mean spacing counts as one stretch. A single gap may be short only because
 * the network held an event back and then delivered two at once.
 */
const STRETCH_BATCHES = 4;

/**
 * Spacing of a stream's events.
 *
 * @example
 * timing.observe(3, now);
 * timing.longestPauseMs; // 0 until the second batch
 */
export class EventTiming {
  #firstAt: EpochMs | undefined;
  #lastAt: EpochMs | undefined;
  #longestPauseMs = 0;
  #quickestMs: number | undefined;
  #stretchFrom: EpochMs = 0;
  #stretchEvents = 0;
  #stretchBatches = 0;

  /** When the first event came; undefined before. */
  get firstAt(): EpochMs | undefined {
    return this.#firstAt;
  }

  /** Longest time between two batches, in milliseconds. */
  get longestPauseMs(): number {
    return this.#longestPauseMs;
  }

  /** Milliseconds for an event in the quickest stretch; undefined while no stretch was whole. */
  get quickestMs(): number | undefined {
    return this.#quickestMs;
  }

  /** Takes in a batch of at least one event. */
  observe(events: number, now: EpochMs): void {
    if (this.#lastAt === undefined) this.#startStretch(now);
    else this.#extend(events, now);
    this.#firstAt ??= now;
    this.#longestPauseMs = Math.max(this.#longestPauseMs, now - (this.#lastAt ?? now));
    this.#lastAt = now;
  }

  #extend(events: number, now: EpochMs): void {
    this.#stretchEvents += events;
    this.#stretchBatches += 1;
    if (this.#stretchBatches < STRETCH_BATCHES) return;
    const spacing = (now - this.#stretchFrom) / this.#stretchEvents;
    this.#quickestMs = Math.min(this.#quickestMs ?? spacing, spacing);
    this.#startStretch(now);
  }

  #startStretch(now: EpochMs): void {
    this.#stretchFrom = now;
    this.#stretchEvents = 0;
    this.#stretchBatches = 0;
  }
}
