/**
 * Group commit: changes one platform object by conditional update, with many changes per write.
 *
 * A change is a function of the state and must be idempotent. When a write conflicts, or its reply
 * is lost and it may or may not have taken effect, the object is read again and the change is
 * applied to the new state. A change that has no effect on the local copy is not checked against
 * the store. Callers whose decision depends on values that other routers change call `refresh`
 * first.
 */

import type { ObjectStore, StoredObject, StoreError } from '../../types/moneyPorts.js';
import type { Steps } from '@flamingocourse/kernel';
import { Channel, awaitPromise, sleep, startProcess, take } from '@flamingocourse/kernel';
import { isNewer } from '@flamingocourse/store';
import { Result } from 'true-myth';
import { delay } from './timing.js';

/** Maximum attempts to write one batch. A conflict means that another router wrote in between. */
const MAX_ATTEMPTS = 8;

/** Maximum number of changes that wait for a write. */
const MAX_QUEUE = 2_000;

/** Delay after a conflict in milliseconds, multiplied by the number of failed retries. */
const RETRY_STEP_MS = 5;

/** State of the object and the version under which it is stored. */
export interface VersionedState<S> {
  version: string;
  state: S;
}

/** Why a change failed. After `unreachable` it may still have been stored. */
export type WriteFault<F> =
  { type: 'refused'; fault: F } | { type: 'unreachable' | 'too-large' | 'invalid-state' | 'busy' };

/** Returns the changed state, or the same object when nothing changes. */
export type Mutate<S, F> = (state: S) => Result<S, F>;

/** Options of {@link GroupWriter}. */
export interface GroupWriterOptions<S> {
  store: ObjectStore;
  collection: string;
  name: string;
  /** Creates the state of an object that does not exist yet. */
  initial: () => S;
  /** Time for which changes are collected before a write, in milliseconds. */
  groupMs: number;
  /** Describes the violated invariant of a state that must not be written. */
  findInvariantViolation?: (state: S) => string | undefined;
  /** Called with each newer state that is read or written. */
  onState?: (written: VersionedState<S>) => void;
  onFailure: (err: unknown) => void;
}

interface PendingChange<S, F> {
  mutate: Mutate<S, F>;
  settle: (result: Result<VersionedState<S>, WriteFault<F>>) => void;
}

/**
 * Writer of one object.
 *
 * @example
 * const result = await writer.change((state) => applyLines(state, lines));
 */
export class GroupWriter<S, F> {
  readonly #options: GroupWriterOptions<S>;
  readonly #wake = new Channel<true>(1, 'drop-newest');
  #queue: PendingChange<S, F>[] = [];
  #latest: VersionedState<S> | undefined;
  #reachable = true;
  #done: Promise<void> | undefined;

  constructor(options: GroupWriterOptions<S>) {
    this.#options = options;
  }

  /** Newest state that was read or written, if any. */
  get latest(): VersionedState<S> | undefined {
    return this.#latest;
  }

  /** Whether the platform answered the last call. */
  get reachable(): boolean {
    return this.#reachable;
  }

  /** Starts writing queued changes. */
  start(): void {
    this.#done ??= startProcess(() => this.#run(), this.#options.onFailure);
  }

  /** Writes the queued changes and stops. */
  async stop(): Promise<void> {
    this.#wake.close();
    await this.#done;
  }

  /** Applies a change in one write with others. Resolves once it is stored or has failed. */
  change(mutate: Mutate<S, F>): Promise<Result<VersionedState<S>, WriteFault<F>>> {
    if (this.#queue.length >= MAX_QUEUE || this.#wake.closed) {
      return Promise.resolve(Result.err({ type: 'busy' }));
    }
    return new Promise((settle) => {
      this.#queue.push({ mutate, settle });
      this.#wake.offer(true);
    });
  }

  /** Reads the object again. */
  async refresh(): Promise<Result<VersionedState<S>, WriteFault<F>>> {
    const { store, collection, name } = this.#options;
    const read = await store.get(collection, name);
    if (read.isOk) return Result.ok(this.#accept(read.value));
    if (read.error.code !== 'not-found') return this.#unreachable();
    const created = await store.create(collection, name, this.#options.initial());
    if (created.isOk) return Result.ok(this.#accept(created.value));
    // Another router may have created the object, or the reply was lost. In both cases it may exist
    // now.
    const again = await store.get(collection, name);
    return again.isOk ? Result.ok(this.#accept(again.value)) : this.#unreachable();
  }

  *#run(): Steps<void> {
    for (;;) {
      const woken = yield* take(this.#wake);
      if (this.#queue.length > 0) {
        if (woken) yield* sleep(this.#options.groupMs);
        const changes = this.#queue;
        this.#queue = [];
        yield* awaitPromise(this.#commit(changes));
      }
      if (woken === undefined) return;
    }
  }

  async #commit(changes: PendingChange<S, F>[]): Promise<void> {
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const fresh = !this.#latest || attempt > 1;
      if (fresh) {
        const read = await this.refresh();
        if (read.isErr) {
          settleAll(changes, read.error);
          return;
        }
      }
      const isDone = await this.#attempt(changes, fresh);
      if (isDone) return;
      await delay(RETRY_STEP_MS * (attempt - 1));
    }
    settleAll(changes, { type: 'unreachable' });
  }

  /**
   * Attempts one write on the newest known state. Returns false when the object must be read again.
   */
  async #attempt(changes: PendingChange<S, F>[], fresh: boolean): Promise<boolean> {
    const base = this.#latest;
    if (!base) return false;
    const batch = applyChanges(base.state, changes);
    // The local copy may be stale, so a change is refused only on a state that was just read.
    if (batch.refused.size > 0 && !fresh) return false;
    const violation = this.#options.findInvariantViolation?.(batch.state);
    if (violation !== undefined) {
      this.#options.onFailure(new Error(`${this.#options.collection}: ${violation}`));
      settleAll(changes, { type: 'invalid-state' });
      return true;
    }
    const stored = await this.#store(base, batch.state);
    if (stored.isErr && stored.error.code === 'too-large') {
      settleAll(changes, { type: 'too-large' });
      return true;
    }
    if (stored.isErr) return false;
    for (const change of changes) {
      const fault = batch.refused.get(change);
      change.settle(
        fault === undefined ? Result.ok(stored.value) : Result.err({ type: 'refused', fault }),
      );
    }
    return true;
  }

  async #store(base: VersionedState<S>, state: S): Promise<Result<VersionedState<S>, StoreError>> {
    if (state === base.state) return Result.ok(base);
    const { store, collection, name } = this.#options;
    const updated = await store.update(collection, name, base.version, state);
    if (updated.isErr) {
      if (updated.error.code === 'unreachable') this.#reachable = false;
      return Result.err(updated.error);
    }
    return Result.ok(this.#accept({ ...updated.value, value: state }));
  }

  #accept(object: StoredObject): VersionedState<S> {
    this.#reachable = true;
    const written = { version: object.version, state: object.value as S };
    // Replies may arrive out of order. An older state must not replace a newer one.
    if (this.#latest && !isNewer(written.version, this.#latest.version)) return this.#latest;
    this.#latest = written;
    this.#options.onState?.(written);
    return written;
  }

  #unreachable(): Result<never, WriteFault<F>> {
    this.#reachable = false;
    return Result.err({ type: 'unreachable' });
  }
}

function applyChanges<S, F>(
  base: S,
  changes: PendingChange<S, F>[],
): { state: S; refused: Map<PendingChange<S, F>, F> } {
  const refused = new Map<PendingChange<S, F>, F>();
  let state = base;
  for (const change of changes) {
    const next = change.mutate(state);
    if (next.isOk) state = next.value;
    else refused.set(change, next.error);
  }
  return { state, refused };
}

function settleAll<S, F>(changes: PendingChange<S, F>[], fault: WriteFault<F>): void {
  for (const change of changes) change.settle(Result.err(fault));
}
