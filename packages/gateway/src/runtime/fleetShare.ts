/** Into how many parts a right of the whole fleet is divided, as far as one instance can know. */

import { STALE_READ_MS, maxListAgeMs } from './instanceListAge.js';

/** One read of the list of instances. */
export interface InstanceListRead {
  /** When the read began, in milliseconds of the monotonic clock. */
  at: number;
  /** Instances in the list. */
  count: number;
  /** Whether the list contains the reader. */
  listsReader: boolean;
}

/**
 * Divides a right that the instances of a fleet use without asking each other, such as a number of
 * retries in a window. Whoever does not know how many share it has no share, so that in every window
 * the parts used by all processes stay within the whole, however instances join, are lost and start
 * again, and however late they read of it.
 *
 * A share counts once the reader has found itself in each list over a time in which every other
 * user of the right has read the list at least once. Then any two instances that use the right in
 * the same window have counted each other, because the divisor is the largest count of that time.
 *
 * @example
 * const share = new FleetShare(10_000);
 * share.observe({ at: readAt, count: 7, listsReader: true });
 * const slack = total / (share.divisor(now) ?? Infinity);
 */
export class FleetShare {
  /** Reads without a gap, the oldest first. */
  #reads: InstanceListRead[] = [];
  #windowMs: number;

  /** @param windowMs Length of the windows in which the right is counted. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  setWindow(windowMs: number): void {
    this.#windowMs = windowMs;
  }

  /** Largest number of instances that was read lately; undefined if none was. */
  get largestCount(): number | undefined {
    const counts = this.#reads.map(({ count }) => count);
    return counts.length === 0 ? undefined : Math.max(...counts);
  }

  /** Records a successful read. */
  observe(read: InstanceListRead): void {
    if (!read.listsReader || this.#isTooOld(read.at)) this.#reads = [];
    if (!read.listsReader) return;
    this.#reads.push(read);
    this.#dropBefore(read.at - this.#knownMs);
  }

  /** Returns the number of parts; undefined if this instance has no share. */
  divisor(now: number): number | undefined {
    const [first] = this.#reads;
    if (!first || this.#isTooOld(now) || now - first.at < this.#knownMs) return undefined;
    return this.largestCount;
  }

  /** Milliseconds for which this instance has to be listed before its share counts. */
  get #knownMs(): number {
    return this.#windowMs + 2 * (maxListAgeMs(this.largestCount ?? 0) + STALE_READ_MS);
  }

  #isTooOld(now: number): boolean {
    const last = this.#reads.at(-1);
    return last !== undefined && now - last.at > maxListAgeMs(last.count);
  }

  /** The last read before that time stays, because its list held at that time. */
  #dropBefore(time: number): void {
    const kept = this.#reads.findLastIndex(({ at }) => at <= time);
    this.#reads.splice(0, Math.max(0, kept));
  }
}
