/** Which part of a right of the whole fleet one instance has, as far as it can know. */

import { hash32, rendezvousRank } from '../../utils/hash.js';
import { STALE_READ_MS, maxListAgeMs } from './instanceListAge.js';

/** Maximum number of keys whose owner is remembered. */
const MAX_KEYS = 4_096;

/** One read of the list of instances. */
export interface InstanceListRead {
  /** When the read began, in milliseconds of the monotonic clock. */
  at: number;
  /** Names of the instances in the list. */
  names: readonly string[];
  /** Name of the instance that reads. */
  reader: string;
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
 * share.observe({ at: readAt, names: ['edge-1', 'edge-2'], reader: 'edge-1' });
 * const slack = total / (share.divisor(now) ?? Infinity);
 * if (share.isOwner('p1', now)) useWholeRightOf('p1');
 */
export class FleetShare {
  /** Reads without a gap, the oldest first. */
  #reads: InstanceListRead[] = [];
  #windowMs: number;
  /** Whether this instance owns a key, by the reads so far. */
  readonly #owns = new Map<string, boolean>();

  /** @param windowMs Length of the windows in which the right is counted. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  setWindow(windowMs: number): void {
    this.#windowMs = windowMs;
  }

  /** Largest number of instances that was read lately; undefined if none was. */
  get largestCount(): number | undefined {
    const counts = this.#reads.map(({ names }) => names.length);
    return counts.length === 0 ? undefined : Math.max(...counts);
  }

  /** Records a successful read. */
  observe(read: InstanceListRead): void {
    this.#owns.clear();
    const listsReader = read.names.includes(read.reader);
    if (!listsReader || this.#isTooOld(read.at)) this.#reads = [];
    if (!listsReader) return;
    this.#reads.push(read);
    this.#dropBefore(read.at - this.#knownMs);
  }

  /** Returns the number of parts; undefined if this instance has no share. */
  divisor(now: number): number | undefined {
    return this.#hasShare(now) ? this.largestCount : undefined;
  }

  /**
   * Whether this instance alone may use a right that is not divided, such as that to send to one
   * server: it is first in the rendezvous order of all instances that were listed lately. Two that
   * both have a share have read of each other, so at most one of them is first.
   */
  isOwner(key: string, now: number): boolean {
    if (!this.#hasShare(now)) return false;
    const known = this.#owns.get(key);
    if (known !== undefined) return known;
    const owns = this.#isFirst(key);
    if (this.#owns.size >= MAX_KEYS) this.#owns.clear();
    this.#owns.set(key, owns);
    return owns;
  }

  #hasShare(now: number): boolean {
    const [first] = this.#reads;
    return first !== undefined && !this.#isTooOld(now) && now - first.at >= this.#knownMs;
  }

  #isFirst(key: string): boolean {
    const keyHash = hash32(key);
    const rank = (name: string): number => rendezvousRank(keyHash, hash32(name));
    const reader = this.#reads[0]?.reader ?? '';
    const own = rank(reader);
    const isBefore = (name: string): boolean => {
      const other = rank(name);
      return other > own || (other === own && name < reader);
    };
    return !this.#reads.some(({ names }) => names.some(isBefore));
  }

  /** Milliseconds for which this instance has to be listed before its share counts. */
  get #knownMs(): number {
    return this.#windowMs + 2 * (maxListAgeMs(this.largestCount ?? 0) + STALE_READ_MS);
  }

  #isTooOld(now: number): boolean {
    const last = this.#reads.at(-1);
    return last !== undefined && now - last.at > maxListAgeMs(last.names.length);
  }

  /** The last read before that time stays, because its list held at that time. */
  #dropBefore(time: number): void {
    const kept = this.#reads.findLastIndex(({ at }) => at <= time);
    this.#reads.splice(0, Math.max(0, kept));
  }
}
