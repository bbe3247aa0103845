/** Another way to learn what changed in the store: from a process that watches it already. */

import type { WireChange } from './storeDialect.js';

/** A watch that follows the store through a peer. */
export interface RelayedWatch {
  collection: string;
  /** Version up to which this watch knows all changes. */
  version: string;
  signal: AbortSignal;
  /**
   * Receives changes, the version up to which all changes are then known, and the milliseconds since
   * the store confirmed that version.
   */
  onChanges: (changes: WireChange[], version: string, ageMs: number) => void;
}

/**
 * Relay between the store and the watches of a process, and those of its peers.
 *
 * @example
 * const store = new HttpObjectStore({ url, relay });
 */
export abstract class ChangeRelay {
  /**
   * Delivers what peers hear from the store, until the watch has to ask the store by itself, which
   * may be at once. Never rejects.
   */
  abstract follow(watch: RelayedWatch): Promise<void>;

  /**
   * Milliseconds of silence after which a call to the store counts as broken.
   *
   * @param idleMs what the watch would use for itself alone.
   */
  abstract idleMs(collection: string, idleMs: number): number;

  /** Records that the store answered with a whole collection. */
  abstract recordList(collection: string, version: string): void;

  /** Records that the store answered with all changes between two versions. */
  abstract recordChanges(
    collection: string,
    from: string,
    to: string,
    changes: readonly WireChange[],
  ): void;

  /** Records that the store does not answer a watch. */
  abstract recordSilence(collection: string): void;
}
