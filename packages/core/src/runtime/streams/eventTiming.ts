/** Measures the event timing of one stream: its longest pause and its fastest section. */

import type { EpochMs } from '../../types/ids.js';

/**
 * Number of batches over which the spacing is averaged. A single gap may be short only because the
 * network delayed an event and then delivered two at once.
 */
const SECTION_BATCHES = 4;

/**
 * Spacing of the events of a stream.
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
  #sectionFrom: EpochMs = 0;
  #sectionEvents = 0;
  #sectionBatches = 0;

  /** When the first event arrived; undefined before. */
  get firstAt(): EpochMs | undefined {
    return this.#firstAt;
  }

  /** Longest time between two batches, in milliseconds. */
  get longestPauseMs(): number {
    return this.#longestPauseMs;
  }

  /** Milliseconds per event in the fastest section; undefined before the first complete section. */
  get quickestMs(): number | undefined {
    return this.#quickestMs;
  }

  /** Records a batch of at least one event. */
  observe(events: number, now: EpochMs): void {
    if (this.#lastAt === undefined) this.#startSection(now);
    else this.#extend(events, now);
    this.#firstAt ??= now;
    this.#longestPauseMs = Math.max(this.#longestPauseMs, now - (this.#lastAt ?? now));
    this.#lastAt = now;
  }

  #extend(events: number, now: EpochMs): void {
    this.#sectionEvents += events;
    this.#sectionBatches += 1;
    if (this.#sectionBatches < SECTION_BATCHES) return;
    const spacing = (now - this.#sectionFrom) / this.#sectionEvents;
    this.#quickestMs = Math.min(this.#quickestMs ?? spacing, spacing);
    this.#startSection(now);
  }

  #startSection(now: EpochMs): void {
    this.#sectionFrom = now;
    this.#sectionEvents = 0;
    this.#sectionBatches = 0;
  }
}
