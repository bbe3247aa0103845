/** One instance's link to an in-memory store. Calls have latency, and all instances share the rate limit. */

import type { InstanceRecord } from '@flamingocourse/core';
import type { Clock } from '@flamingocourse/kernel';
import type {
  Collection,
  MemoryObjectStore,
  ObjectList,
  PlatformResult,
  Subscription,
  VersionedObject,
  WatchOptions,
} from '@flamingocourse/store';
import { setTimeout as delay } from 'node:timers/promises';
import { ObjectStore, PlatformError } from '@flamingocourse/store';
import { Result } from 'true-myth';

/** One-way latency in milliseconds of a call without a value; half the answer time of a healthy store. */
const LATENCY_MS = 3;
const LATENCY_JITTER_MS = 1;
/** Bytes per millisecond of an instance's link, at 10 Mbit/s. */
const LINK_BYTES_PER_MS = 1_250;
/** Milliseconds after which a call without an answer times out. */
const CALL_TIMEOUT_MS = 1_000;
/** Milliseconds between two keep-alive signals of a watch. */
const WATCH_SIGNAL_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Faults on the links of one instance; may be changed at any time. */
export class LinkFaults {
  isStoreCut = false;
  /** Whether the links to all other instances are cut in both directions. */
  isPeerCut = false;
  /** Whether every update of this instance conflicts with another writer. */
  losesConflicts = false;
  /** Additional one-way latency to the store in milliseconds, as on an instance short of CPU time. */
  extraLatencyMs = 0;
  /** Fraction of calls to the store or to other instances that take effect but lose their answer. */
  lostAnswers = 0;
}

/** One process of an instance; its calls after its end have no effect. */
export class TestProcess {
  #isOver = false;

  constructor(readonly faults: LinkFaults) {}

  hasEnded(): boolean {
    return this.#isOver;
  }

  end(): void {
    this.#isOver = true;
  }
}

/** A promise that never settles, for the answer to a process that has ended. */
export function never<T>(): Promise<T> {
  return new Promise(() => undefined);
}

/** Counts the calls to a store and limits its writes per second, conflicts included. */
export class StoreLoad {
  /** Calls by kind and collection, such as `update prepaid-pages`. */
  readonly calls = new Map<string, number>();
  readonly #clock: Clock;
  #writes: number[] = [];

  constructor(
    clock: Clock,
    /** May be changed at any time. */
    public writesPerSecond: number,
  ) {
    this.#clock = clock;
  }

  /** Counts a call. */
  count(call: string): void {
    this.calls.set(call, (this.calls.get(call) ?? 0) + 1);
  }

  /** Whether the store accepts one more write now. */
  admitWrite(): boolean {
    const now = this.#clock.now();
    this.#writes = this.#writes.filter((at) => at > now - MS_PER_SECOND);
    if (this.#writes.length >= this.writesPerSecond) return false;
    this.#writes.push(now);
    return true;
  }
}

export class StoreLink extends ObjectStore {
  readonly #objects: MemoryObjectStore;
  readonly #load: StoreLoad;
  readonly #process: TestProcess;
  readonly #random: () => number;

  constructor(
    objects: MemoryObjectStore,
    load: StoreLoad,
    process: TestProcess,
    random: () => number,
  ) {
    super();
    this.#objects = objects;
    this.#load = load;
    this.#process = process;
    this.#random = random;
  }

  override get reachable(): boolean {
    return !this.#process.faults.isStoreCut;
  }

  override get<T>(collection: Collection<T>, name: string): PlatformResult<VersionedObject<T>> {
    const call = `get ${collection.name}`;
    return this.#call(call, undefined, () => this.#objects.get(collection, name));
  }

  override list<T>(collection: Collection<T>): PlatformResult<ObjectList<T>> {
    const call = `list ${collection.name}`;
    return this.#call(call, undefined, () => this.#objects.list(collection));
  }

  override create<T>(
    collection: Collection<T>,
    name: string,
    value: T,
  ): PlatformResult<VersionedObject<T>> {
    return this.#write(`create ${collection.name}`, value, () => {
      return this.#objects.create(collection, name, value);
    });
  }

  override update<T>(
    collection: Collection<T>,
    name: string,
    version: string,
    value: T,
  ): PlatformResult<VersionedObject<T>> {
    return this.#write(`update ${collection.name}`, value, async () => {
      if (!this.#process.faults.losesConflicts) {
        const updated = await this.#objects.update(collection, name, version, value);
        if (updated.isOk || updated.error.code !== 'conflict') return updated;
      }
      const current = await this.#objects.get(collection, name);
      const shown = current.isOk ? { current: current.value } : {};
      return Result.err(new PlatformError('conflict', `object "${name}": conflict`, shown));
    });
  }

  override remove(
    collection: Collection<unknown>,
    name: string,
    version: string,
  ): PlatformResult<'removed'> {
    return this.#write(`remove ${collection.name}`, undefined, () => {
      return this.#objects.remove(collection, name, version);
    });
  }

  override watch<T>(collection: Collection<T>, options: WatchOptions<T>): Subscription {
    const subscription = this.#objects.watch(collection, options);
    options.onUpToDate?.(0);
    const timer = setInterval(() => {
      if (!this.#process.faults.isStoreCut) options.onUpToDate?.(0);
    }, WATCH_SIGNAL_MS);
    return {
      stop: () => {
        clearInterval(timer);
        subscription.stop();
      },
    };
  }

  override listInstances(): PlatformResult<InstanceRecord[]> {
    return Promise.resolve(Result.ok([]));
  }

  override close(): void {
    this.#objects.close();
  }

  #write<T>(call: string, value: unknown, write: () => PlatformResult<T>): PlatformResult<T> {
    return this.#call(call, value, () => {
      if (this.#load.admitWrite()) return write();
      return Promise.resolve(Result.err(new PlatformError('throttled', 'over the rate')));
    });
  }

  async #call<T>(call: string, value: unknown, run: () => PlatformResult<T>): PlatformResult<T> {
    if (this.#process.hasEnded()) return never();
    this.#load.count(call);
    if (this.#isCut) return this.#giveUp();
    await delay(this.#latencyMs(value));
    if (this.#process.hasEnded()) return never();
    const result = await run();
    if (this.#isAnswerLost()) return this.#giveUp();
    await delay(this.#latencyMs(result.isOk ? result.value : result.error.current));
    return result;
  }

  get #isCut(): boolean {
    return this.#process.faults.isStoreCut;
  }

  /** Whether the answer of a call that took effect does not arrive. */
  #isAnswerLost(): boolean {
    return this.#isCut || this.#random() < this.#process.faults.lostAnswers;
  }

  async #giveUp<T>(): PlatformResult<T> {
    await delay(CALL_TIMEOUT_MS);
    const message = 'no answer in time';
    return Result.err(new PlatformError('unreachable', message, { effect: 'unknown' }));
  }

  #latencyMs(carried: unknown): number {
    const bytes = carried === undefined ? 0 : JSON.stringify(carried).length;
    const { extraLatencyMs: slowMs } = this.#process.faults;
    return LATENCY_MS + LATENCY_JITTER_MS * this.#random() + bytes / LINK_BYTES_PER_MS + slowMs;
  }
}
