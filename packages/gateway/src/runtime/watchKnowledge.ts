/** What the watches of this process know of the store, whoever told them. */

import type { WireChange } from '@flamingocourse/store';
import { ChangeLog } from './changeLog.js';

/** Knowledge of one collection. */
interface Known {
  log: ChangeLog;
  /** When the store confirmed the version of the log, in milliseconds. */
  confirmedAt: number;
  isSilent: boolean;
}

/** What is known of a collection at one time. */
export interface CollectionKnowledge {
  /** Undefined before the first answer of the store. */
  version: string | undefined;
  /** Milliseconds since the store confirmed that version. */
  ageMs: number;
  log: ChangeLog;
  /** Whether the last call of this process to the store got no answer. */
  isSilent: boolean;
}

/**
 * Changes and ages of the watched collections.
 *
 * @example
 * knowledge.recordChanges('servers', { from: '7', to: '9', changes }, now);
 * knowledge.of('servers', now).ageMs;
 */
export class WatchKnowledge {
  readonly #collections = new Map<string, Known>();

  of(name: string, now: number): CollectionKnowledge {
    const { log, confirmedAt, isSilent } = this.#known(name);
    return { version: log.version, ageMs: now - confirmedAt, log, isSilent };
  }

  recordList(name: string, version: string, now: number): void {
    const known = this.#known(name);
    known.log.reset(version);
    this.#confirm(known, now);
  }

  /** @param confirmedAt when the store confirmed the version `to`. */
  recordChanges(
    name: string,
    { from, to, changes }: { from: string; to: string; changes: readonly WireChange[] },
    confirmedAt: number,
  ): void {
    const known = this.#known(name);
    known.log.record(from, to, changes);
    this.#confirm(known, confirmedAt);
  }

  recordSilence(name: string): void {
    this.#known(name).isSilent = true;
  }

  #confirm(known: Known, at: number): void {
    known.confirmedAt = Math.max(known.confirmedAt, at);
    known.isSilent = false;
  }

  #known(name: string): Known {
    const known = this.#collections.get(name);
    if (known) return known;
    const created = { log: new ChangeLog(), confirmedAt: -Infinity, isSilent: false };
    this.#collections.set(name, created);
    return created;
  }
}
