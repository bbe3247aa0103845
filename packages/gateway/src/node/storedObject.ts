/** One object of the store, changed by conditional updates, with a local copy of its last read version. */

import type {
  Collection,
  ObjectStore,
  PlatformError,
  ReadOptions,
  VersionedObject,
} from '@flamingocourse/store';
import { isNewer } from '@flamingocourse/store';
import { Result } from 'true-myth';

/** Outcome of an update. */
export type UpdateOutcome = 'written' | 'conflict';

/** Outcome of a change; `busy` if every attempt conflicted with another writer. */
export type ChangeOutcome = 'written' | 'unchanged' | 'busy';

/** Consecutive conflicts after which a change fails with `busy`. */
const MAX_CONFLICTS = 8;

/**
 * Local copy of one stored object.
 *
 * @example
 * const read = await object.read(now);
 * if (read.isOk) await object.update(next(read.value), now);
 */
export class StoredObject<T> {
  readonly #store: ObjectStore;
  readonly #collection: Collection<T>;
  readonly #name: string;
  readonly #initial: () => T;
  #seen: VersionedObject<T> | undefined;
  #lastKnown: T | undefined;
  #seenAt = -Infinity;
  #conflicts = 0;

  /** @param initial value of an object that does not exist yet. */
  constructor(store: ObjectStore, collection: Collection<T>, name: string, initial: () => T) {
    this.#store = store;
    this.#collection = collection;
    this.#name = name;
    this.#initial = initial;
  }

  /** The last read value; undefined if it has to be read again. */
  get value(): T | undefined {
    return this.#seen?.value;
  }

  /** The last read or written value, also if the object has to be read again before it is changed. */
  get lastKnown(): T | undefined {
    return this.#lastKnown;
  }

  get version(): string | undefined {
    return this.#seen?.version;
  }

  /** Milliseconds since the value was read or written. */
  ageMs(now: number): number {
    return now - this.#seenAt;
  }

  /** Returns the number of conflicts since the last call, and resets it. */
  takeConflicts(): number {
    const conflicts = this.#conflicts;
    this.#conflicts = 0;
    return conflicts;
  }

  /**
   * Requires the object to be read again before it is changed, because a write with an unknown outcome may
   * have changed it.
   */
  forget(): void {
    this.#seen = undefined;
  }

  /** Reads the object, and creates it if it is missing. The copy never goes back to an older version. */
  async read(now: number, options: ReadOptions = {}): Promise<Result<T, PlatformError>> {
    let read = await this.#store.get(this.#collection, this.#name, options);
    if (read.isErr && read.error.code === 'not-found') {
      read = await this.#store.create(this.#collection, this.#name, this.#initial());
      if (read.isErr && read.error.code === 'exists') {
        read = await this.#store.get(this.#collection, this.#name);
      }
    }
    if (read.isErr) return Result.err(read.error);
    const seen = this.#seen;
    const isOlder = seen !== undefined && isNewer(seen.version, read.value.version);
    const kept = isOlder ? seen : read.value;
    this.#keep(kept, now);
    return Result.ok(kept.value);
  }

  /** Replaces the last read value. After a conflict, the copy holds the value that the store has instead. */
  async update(next: T, now: number): Promise<Result<UpdateOutcome, PlatformError>> {
    const version = this.#seen?.version ?? '0';
    const written = await this.#store.update(this.#collection, this.#name, version, next);
    if (written.isOk) {
      this.#keep(written.value, now);
      return Result.ok('written');
    }
    this.forget();
    if (written.error.code !== 'conflict') return Result.err(written.error);
    this.#conflicts += 1;
    const current = this.#parse(written.error.current);
    if (current) {
      this.#keep(current, now);
      return Result.ok('conflict');
    }
    const read = await this.read(now);
    return read.isOk ? Result.ok('conflict') : Result.err(read.error);
  }

  /**
   * Applies a change to the last read value, and repeats it on the new value after each conflict.
   *
   * @param reduce returns the value itself if nothing has to change.
   * @param maxConflicts consecutive conflicts after which the change fails with `busy`.
   */
  async change(
    reduce: (value: T) => T,
    now: number,
    maxConflicts = MAX_CONFLICTS,
  ): Promise<Result<ChangeOutcome, PlatformError>> {
    for (let tries = 0; tries < maxConflicts; tries += 1) {
      const value = this.value ?? this.#initial();
      const next = reduce(value);
      if (next === value) return Result.ok('unchanged');
      const written = await this.update(next, now);
      if (written.isErr) return Result.err(written.error);
      if (written.value === 'written') return Result.ok('written');
    }
    return Result.ok('busy');
  }

  #keep(seen: VersionedObject<T>, now: number): void {
    this.#seen = seen;
    this.#lastKnown = seen.value;
    this.#seenAt = now;
  }

  #parse(current: VersionedObject<unknown> | undefined): VersionedObject<T> | undefined {
    // the refusal may be a duplicate of one to a call about another object.
    if (current?.name !== this.#name) return undefined;
    const parsed = this.#collection.schema.safeParse(current.value);
    return parsed.success ? { ...current, value: parsed.data } : undefined;
  }
}
