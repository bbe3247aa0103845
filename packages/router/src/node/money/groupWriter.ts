/**
 * Changes one platform object by conditional update, many changes in one write.
 *
 * A change is a function of the state and must be idempotent: when a write conflicts, or its reply
 * is lost and it may or may not have taken effect, the object is read again and the change is made
 * on what was read. A change that does nothing on the copy at hand is not checked against the store:
 * whoever decides from levels that others move refreshes first.
 */

import type { ObjectStore, StoredObject, StoreError } from '../../types/moneyPorts.js';
import type { Steps } from '@flamingocourse/kernel';
import { Channel, awaitPromise, sleep, startProcess, take } from '@flamingocourse/kernel';
import { isNewer } from '@flamingocourse/store';
import { Result } from 'true-myth';
import { delay } from './timing.js';

/** Writes of one batch before it is given up; each loss means that another router wrote. */
const MAX_ATTEMPTS = 8;

/** Changes that may wait for a write. */
const MAX_QUEUE = 2_000;

/** Wait after a lost race, times the number of the attempt, in milliseconds. */
const RETRY_STEP_MS = 5;

/** State of the object with the version that it was stored as. */
export interface Written<S> {
  version: string;
  state: S;
}

/** Why a change was not made; after `unreachable` it may have been. */
export type WriteFault<F> =
  { type: 'refused'; fault: F } | { type: 'unreachable' | 'too-large' | 'unsound' | 'busy' };

/** A change of the state; gives the same object when there is nothing to change. */
export type Mutate<S, F> = (state: S) => Result<S, F>;

/** What a writer is created with. */
export interface GroupWriterOptions<S> {
  store: ObjectStore;
  collection: string;
  name: string;
  /** State of an object that does not exist yet. */
  initial: () => S;
  /** Time over which changes are gathered, in milliseconds. */
  groupMs: number;
  /** Names what is wrong with a state that must not be written. */
  findFault?: (state: S) => string | undefined;
  /** Called with each newer state that was read or written. */
  onState?: (written: Written<S>) => void;
  onFailure: (err: unknown) => void;
}

interface Job<S, F> {
  mutate: Mutate<S, F>;
  settle: (result: Result<Written<S>, WriteFault<F>>) => void;
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
  #queue: Job<S, F>[] = [];
  #latest: Written<S> | undefined;
  #reachable = true;
  #done: Promise<void> | undefined;

  constructor(options: GroupWriterOptions<S>) {
    this.#options = options;
  }

  /** Newest state that was read or written. */
  get latest(): Written<S> | undefined {
    return this.#latest;
  }

  /** Whether the platform answered the last call. */
  get reachable(): boolean {
    return this.#reachable;
  }

  /** Begins to take changes. */
  start(): void {
    this.#done ??= startProcess(() => this.#run(), this.#options.onFailure);
  }

  /** Writes what is queued and ends. */
  async stop(): Promise<void> {
    this.#wake.close();
    await this.#done;
  }

  /** Makes a change together with others; resolves once it is stored, or is known not to be. */
  change(mutate: Mutate<S, F>): Promise<Result<Written<S>, WriteFault<F>>> {
    if (this.#queue.length >= MAX_QUEUE || this.#wake.closed) {
      return Promise.resolve(Result.err({ type: 'busy' }));
    }
    return new Promise((settle) => {
      this.#queue.push({ mutate, settle });
      this.#wake.offer(true);
    });
  }

  /** Reads the object again. */
  async refresh(): Promise<Result<Written<S>, WriteFault<F>>> {
    const { store, collection, name } = this.#options;
    const read = await store.get(collection, name);
    if (read.isOk) return Result.ok(this.#accept(read.value));
    if (read.error.code !== 'not-found') return this.#unreachable();
    const created = await store.create(collection, name, this.#options.initial());
    if (created.isOk) return Result.ok(this.#accept(created.value));
    // another router was first, or the reply was lost: either way it may exist now.
    const again = await store.get(collection, name);
    return again.isOk ? Result.ok(this.#accept(again.value)) : this.#unreachable();
  }

  *#run(): Steps<void> {
    for (;;) {
      const woken = yield* take(this.#wake);
      if (this.#queue.length > 0) {
        if (woken) yield* sleep(this.#options.groupMs);
        const jobs = this.#queue;
        this.#queue = [];
        yield* awaitPromise(this.#commit(jobs));
      }
      if (woken === undefined) return;
    }
  }

  async #commit(jobs: Job<S, F>[]): Promise<void> {
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const fresh = !this.#latest || attempt > 1;
      if (fresh) {
        const read = await this.refresh();
        if (read.isErr) {
          settleAll(jobs, read.error);
          return;
        }
      }
      const ended = await this.#attempt(jobs, fresh);
      if (ended) return;
      await delay(RETRY_STEP_MS * (attempt - 1));
    }
    settleAll(jobs, { type: 'unreachable' });
  }

  /** One try on the newest known state. Returns false when the object must be read again. */
  async #attempt(jobs: Job<S, F>[], fresh: boolean): Promise<boolean> {
    const base = this.#latest;
    if (!base) return false;
    const batch = applyJobs(base.state, jobs);
    // a refusal may come from an old copy: judge only on what was just read.
    if (batch.refused.size > 0 && !fresh) return false;
    const wrong = this.#options.findFault?.(batch.state);
    if (wrong !== undefined) {
      this.#options.onFailure(new Error(`${this.#options.collection}: ${wrong}`));
      settleAll(jobs, { type: 'unsound' });
      return true;
    }
    const stored = await this.#store(base, batch.state);
    if (stored.isErr && stored.error.code === 'too-large') {
      settleAll(jobs, { type: 'too-large' });
      return true;
    }
    if (stored.isErr) return false;
    for (const job of jobs) {
      const fault = batch.refused.get(job);
      job.settle(
        fault === undefined ? Result.ok(stored.value) : Result.err({ type: 'refused', fault }),
      );
    }
    return true;
  }

  async #store(base: Written<S>, state: S): Promise<Result<Written<S>, StoreError>> {
    if (state === base.state) return Result.ok(base);
    const { store, collection, name } = this.#options;
    const updated = await store.update(collection, name, base.version, state);
    if (updated.isErr) {
      if (updated.error.code === 'unreachable') this.#reachable = false;
      return Result.err(updated.error);
    }
    return Result.ok(this.#accept({ ...updated.value, value: state }));
  }

  #accept(object: StoredObject): Written<S> {
    this.#reachable = true;
    const written = { version: object.version, state: object.value as S };
    // two reads may overtake each other; an older one must not replace a newer one.
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

function applyJobs<S, F>(base: S, jobs: Job<S, F>[]): { state: S; refused: Map<Job<S, F>, F> } {
  const refused = new Map<Job<S, F>, F>();
  let state = base;
  for (const job of jobs) {
    const next = job.mutate(state);
    if (next.isOk) state = next.value;
    else refused.set(job, next.error);
  }
  return { state, refused };
}

function settleAll<S, F>(jobs: Job<S, F>[], fault: WriteFault<F>): void {
  for (const job of jobs) job.settle(Result.err(fault));
}
