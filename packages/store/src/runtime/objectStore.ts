/** Interface to the platform's Object API and instance list. */

import type { InstanceRecord } from '@flamingocourse/core';
import type { Result } from 'true-myth';
import type {
  CallCounters,
  CallKind,
  CallOptions,
  Collection,
  CollectionCalls,
  ObjectList,
  ReadOptions,
  Subscription,
  VersionedObject,
  WatchOptions,
} from '../types/objects.js';
import type { PlatformError } from '../utils/platformError.js';

/** Result of a call to the platform. */
export type PlatformResult<T> = Promise<Result<T, PlatformError>>;

/**
 * Versioned objects with conditional updates. A failed write whose error has the effect `unknown`
 * may have taken effect: read the object again before retrying.
 *
 * @example
 * const read = await store.get(ledgers, '0');
 * if (read.isOk) await store.update(ledgers, '0', read.value.version, next(read.value.value));
 */
export abstract class ObjectStore {
  readonly #counters = createCounters();
  readonly #sentTo = new Map<string, CollectionCalls>();

  /** Reads one object. Errors: `not-found`, `unreachable`, `throttled`, `invalid`, `too-large`. */
  abstract get<T>(
    collection: Collection<T>,
    name: string,
    options?: ReadOptions,
  ): PlatformResult<VersionedObject<T>>;

  /** Reads all objects of a collection. Errors as for {@link get}, without `not-found`. */
  abstract list<T>(collection: Collection<T>, options?: ReadOptions): PlatformResult<ObjectList<T>>;

  /** Creates an object if the name is unused. Errors: `exists`, and those of {@link update}. */
  abstract create<T>(
    collection: Collection<T>,
    name: string,
    value: T,
    options?: CallOptions,
  ): PlatformResult<VersionedObject<T>>;

  /**
   * Replaces a value if the version is still current. Errors: `conflict`, `not-found`, `too-large`,
   * `throttled`, `invalid`, `unreachable` (see {@link PlatformError.effect}).
   */
  abstract update<T>(
    collection: Collection<T>,
    name: string,
    version: string,
    value: T,
    options?: CallOptions,
  ): PlatformResult<VersionedObject<T>>;

  /** Removes an object if the version is still current. Errors as for {@link update}. */
  abstract remove(
    collection: Collection<unknown>,
    name: string,
    version: string,
    options?: CallOptions,
  ): PlatformResult<'removed'>;

  /** Watches a collection until stopped; resumes after failures and lists again if needed. */
  abstract watch<T>(collection: Collection<T>, options: WatchOptions<T>): Subscription;

  /** Reads the list of a service's instances, which the platform updates with a delay. */
  abstract listInstances(service: string, options?: CallOptions): PlatformResult<InstanceRecord[]>;

  /** Stops all watches and closes all connections. */
  abstract close(): void;

  /** Whether the platform is considered reachable; false while calls fail without being sent. */
  abstract get reachable(): boolean;

  /** Numbers of calls so far, by kind. A watch counts once per connection. */
  get counters(): CallCounters {
    return structuredClone(this.#counters);
  }

  /** Numbers of calls sent so far, by kind and collection. */
  get collectionCalls(): readonly CollectionCalls[] {
    return [...this.#sentTo.values()].map((calls) => ({ ...calls }));
  }

  /** @param collection Name of the collection; probes and lists of instances have none. */
  protected countSent(kind: CallKind, collection = 'none'): void {
    this.#counters[kind].sent += 1;
    const key = `${kind} ${collection}`;
    const known = this.#sentTo.get(key);
    if (known) known.sent += 1;
    else this.#sentTo.set(key, { kind, collection, sent: 1 });
  }

  protected countFailed(kind: CallKind): void {
    this.#counters[kind].failed += 1;
  }
}

function createCounters(): CallCounters {
  const zero = (): CallCounters[CallKind] => ({ sent: 0, failed: 0 });
  return {
    get: zero(),
    list: zero(),
    create: zero(),
    update: zero(),
    remove: zero(),
    watch: zero(),
    instances: zero(),
  };
}
