/** One instance's way to a store in memory: calls take time, and all instances share the store's rate. */

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

/** Milliseconds for each way of a call without a value; half of what a healthy store takes to answer. */
const WAY_MS = 3;
const WAY_JITTER_MS = 1;
/** Bytes that an instance's link carries in a millisecond, at 10 Mbit/s. */
const LINK_BYTES_PER_MS = 1_250;
/** Milliseconds after which a call without an answer is given up. */
const CALL_LIMIT_MS = 1_000;
/** Milliseconds between two words of a watch. */
const HEARD_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** What goes wrong on the ways of one instance; may be changed at any time. */
export class WayFaults {
  isStoreCut = false;
  /** Whether no other instance is reached, nor reaches this one. */
  isPeerCut = false;
  /** Whether another instance is quicker with each change that this one tries. */
  losesRaces = false;
  /** Milliseconds that each way to the store takes longer, as where an instance is short of processor time. */
  slowMs = 0;
  /** Part of the calls, to the store or to others, that take effect and whose answer is lost. */
  lostAnswers = 0;
}

/** One process of an instance; what it does after its end has no effect. */
export class ProcessLife {
  #isOver = false;

  constructor(readonly faults: WayFaults) {}

  isOver(): boolean {
    return this.#isOver;
  }

  end(): void {
    this.#isOver = true;
  }
}

/** An answer that nobody is there to get. */
export function never<T>(): Promise<T> {
  return new Promise(() => undefined);
}

/** What a store has been asked, and the writing calls that it takes in a second, conflicts included. */
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

  /** Whether the store takes one more writing call now. */
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
  readonly #process: ProcessLife;
  readonly #random: () => number;

  constructor(
    objects: MemoryObjectStore,
    load: StoreLoad,
    process: ProcessLife,
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
      if (!this.#process.faults.losesRaces) {
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
    options.onHeard?.();
    const timer = setInterval(() => {
      if (!this.#process.faults.isStoreCut) options.onHeard?.();
    }, HEARD_MS);
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
    if (this.#process.isOver()) return never();
    this.#load.count(call);
    if (this.#isCut) return this.#giveUp();
    await delay(this.#wayMs(value));
    if (this.#process.isOver()) return never();
    const result = await run();
    if (this.#loses()) return this.#giveUp();
    await delay(this.#wayMs(result.isOk ? result.value : result.error.current));
    return result;
  }

  get #isCut(): boolean {
    return this.#process.faults.isStoreCut;
  }

  /** Whether the answer of a call that took effect does not arrive. */
  #loses(): boolean {
    return this.#isCut || this.#random() < this.#process.faults.lostAnswers;
  }

  async #giveUp<T>(): PlatformResult<T> {
    await delay(CALL_LIMIT_MS);
    const message = 'no answer in time';
    return Result.err(new PlatformError('unreachable', message, { effect: 'unknown' }));
  }

  #wayMs(carried: unknown): number {
    const bytes = carried === undefined ? 0 : JSON.stringify(carried).length;
    const { slowMs } = this.#process.faults;
    return WAY_MS + WAY_JITTER_MS * this.#random() + bytes / LINK_BYTES_PER_MS + slowMs;
  }
}
