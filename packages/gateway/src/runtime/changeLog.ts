/** The latest changes of one collection, for peers that follow it through this process. */

import type { WireChange } from '@flamingocourse/store';
import { isNewer, latestChanges } from '@flamingocourse/store';

/** Maximum number of answers of the store whose changes are kept. */
const MAX_ANSWERS = 64;
/** Maximum length of the kept changes, in UTF-16 code units of JSON. */
const MAX_LENGTH = 262_144;

/** Changes that one answer of the store contained. */
interface Answer {
  to: string;
  changes: readonly WireChange[];
  length: number;
}

/**
 * Changes of a collection over a contiguous range of versions.
 *
 * @example
 * const log = new ChangeLog();
 * log.record('7', '9', changes);
 * log.since('8'); // the changes after version 8
 */
export class ChangeLog {
  #answers: Answer[] = [];
  #from: string | undefined;
  #to: string | undefined;

  /** Version up to which the changes are known; undefined before the first one. */
  get version(): string | undefined {
    return this.#to;
  }

  /** Forgets all changes: the whole collection was read at a version. */
  reset(version: string): void {
    this.#answers = [];
    this.#from = version;
    this.#to = version;
  }

  /** Records the changes between two versions; a gap before them resets the log. */
  record(from: string, to: string, changes: readonly WireChange[]): void {
    if (this.#to !== from) this.reset(from);
    this.#to = to;
    if (changes.length === 0) return;
    this.#answers.push({ to, changes, length: JSON.stringify(changes).length });
    while (this.#isTooLong) this.#from = this.#answers.shift()?.to;
  }

  /**
   * Returns the last change of each object that changed after a version; undefined if the log does
   * not contain all of them.
   */
  since(version: string): WireChange[] | undefined {
    if (this.#from === undefined || isNewer(this.#from, version)) return undefined;
    const answers = this.#answers.filter(({ to }) => isNewer(to, version));
    const changes = answers.flatMap((answer) => [...answer.changes]);
    // an answer may have begun before the version; an older state must not replace a newer one.
    return latestChanges(changes).filter(
      (change) => change.type === 'removed' || isNewer(change.object.version, version),
    );
  }

  get #isTooLong(): boolean {
    const length = this.#answers.reduce((sum, answer) => sum + answer.length, 0);
    return this.#answers.length > MAX_ANSWERS || length > MAX_LENGTH;
  }
}
