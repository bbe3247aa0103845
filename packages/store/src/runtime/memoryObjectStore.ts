/** In-memory object store with fault injection; for tests. */

import type { InstanceRecord } from '@flamingocourse/core';
import type {
  CallKind,
  Collection,
  ObjectList,
  Subscription,
  VersionedObject,
  WatchOptions,
} from '../types/objects.js';
import type { PlatformResult } from './objectStore.js';
import type { StoredChange, StoredObject, TableFault } from './objectTable.js';
import { setTimeout as delay } from 'node:timers/promises';
import { Result } from 'true-myth';
import { PlatformError } from '../utils/platformError.js';
import { toStored } from '../utils/toStored.js';
import { ObjectStore } from './objectStore.js';
import { ObjectTable } from './objectTable.js';

/** Faults to inject; may be changed at any time. */
export interface MemoryFaults {
  /** Calls fail with `unreachable` and have no effect; watches deliver nothing. */
  outage: boolean;
  /** Number of upcoming writes that take effect but whose reply is lost. */
  lostReplies: number;
  /** Milliseconds before each call takes effect. */
  delayMs: number;
}

type Watcher = (change: StoredChange) => void;

/**
 * In-memory store. {@link view} creates further clients of the same objects, each with its own
 * faults.
 *
 * @example
 * const store = new MemoryObjectStore();
 * store.faults.lostReplies = 1; // the next write takes effect and reports `unreachable`
 */
export class MemoryObjectStore extends ObjectStore {
  readonly faults: MemoryFaults = { outage: false, lostReplies: 0, delayMs: 0 };
  readonly table: ObjectTable;
  readonly #instances: InstanceRecord[];
  readonly #stops = new Set<() => void>();

  constructor(table = new ObjectTable(), instances: InstanceRecord[] = []) {
    super();
    this.table = table;
    this.#instances = instances;
  }

  /** Creates another client of the same objects, with its own faults. */
  view(): MemoryObjectStore {
    return new MemoryObjectStore(this.table, this.#instances);
  }

  /** Replaces the instances that {@link listInstances} returns. */
  setInstances(instances: InstanceRecord[]): void {
    this.#instances.splice(0, this.#instances.length, ...instances);
  }

  override get reachable(): boolean {
    return !this.faults.outage;
  }

  override async get<T>(
    collection: Collection<T>,
    name: string,
  ): PlatformResult<VersionedObject<T>> {
    return this.#read('get', () => {
      const object = this.table.get(collection.name, name);
      return object ? parseStored(collection, object) : Result.err(toError('not-found', name));
    });
  }

  override async list<T>(collection: Collection<T>): PlatformResult<ObjectList<T>> {
    return this.#read('list', () => Result.ok(this.#listNow(collection)));
  }

  override async create<T>(
    collection: Collection<T>,
    name: string,
    value: T,
  ): PlatformResult<VersionedObject<T>> {
    const stored = await this.#write('create', name, () =>
      this.table.create(collection.name, name, JSON.stringify(toStored(collection, value))),
    );
    return stored.andThen((object) => parseStored(collection, object));
  }

  override async update<T>(
    collection: Collection<T>,
    name: string,
    version: string,
    value: T,
  ): PlatformResult<VersionedObject<T>> {
    const stored = await this.#write('update', name, () =>
      this.table.update(
        collection.name,
        name,
        version,
        JSON.stringify(toStored(collection, value)),
      ),
    );
    return stored.andThen((object) => parseStored(collection, object));
  }

  override async remove(
    collection: Collection<unknown>,
    name: string,
    version: string,
  ): PlatformResult<'removed'> {
    const stored = await this.#write('remove', name, () =>
      this.table.remove(collection.name, name, version),
    );
    return stored.map(() => 'removed' as const);
  }

  override watch<T>(collection: Collection<T>, options: WatchOptions<T>): Subscription {
    this.countSent('watch');
    let seen = Number(options.from ?? this.table.version);
    const deliver: Watcher = (change) => {
      if (this.faults.outage || change.collection !== collection.name) return;
      if (Number(change.object.version) <= seen) return;
      // changes missed during an outage are delivered together with the first change after it.
      const missed = this.table.changesSince(collection.name, String(seen)).unwrapOr([change]);
      seen = Number(change.object.version);
      for (const entry of missed) deliverChange(collection, options, entry);
    };
    if (options.from === undefined) {
      options.onEvent({ type: 'listed', list: this.#listNow(collection) });
    } else {
      const missed = this.table.changesSince(collection.name, options.from).unwrapOr([]);
      for (const change of missed) deliverChange(collection, options, change);
      seen = Number(this.table.version);
    }
    const stop = this.table.subscribe(deliver);
    this.#stops.add(stop);
    return { stop };
  }

  override async listInstances(service: string): PlatformResult<InstanceRecord[]> {
    return this.#read('instances', () =>
      Result.ok(this.#instances.filter((record) => record.service === service)),
    );
  }

  override close(): void {
    for (const stop of this.#stops) stop();
    this.#stops.clear();
  }

  #listNow<T>(collection: Collection<T>): ObjectList<T> {
    const list: ObjectList<T> = { version: this.table.version, items: [], invalid: [] };
    for (const object of this.table.list(collection.name)) {
      const parsed = parseStored(collection, object);
      if (parsed.isOk) list.items.push(parsed.value);
      else list.invalid.push(object.name);
    }
    return list;
  }

  async #read<T>(kind: CallKind, read: () => Result<T, PlatformError>): PlatformResult<T> {
    this.countSent(kind);
    if (this.faults.delayMs > 0) await delay(this.faults.delayMs);
    if (!this.faults.outage) return read();
    this.countFailed(kind);
    return Result.err(new PlatformError('unreachable', 'the platform is unreachable'));
  }

  async #write(
    kind: CallKind,
    name: string,
    write: () => Result<StoredObject, TableFault>,
  ): PlatformResult<StoredObject> {
    this.countSent(kind);
    if (this.faults.delayMs > 0) await delay(this.faults.delayMs);
    if (this.faults.outage) {
      this.countFailed(kind);
      return Result.err(unknownEffect('the platform is unreachable'));
    }
    const stored = write().mapErr((fault) => toError(fault, name));
    if (this.faults.lostReplies === 0) return stored;
    this.faults.lostReplies -= 1;
    this.countFailed(kind);
    return Result.err(unknownEffect('the reply was lost'));
  }
}

function parseStored<T>(
  collection: Collection<T>,
  object: StoredObject,
): Result<VersionedObject<T>, PlatformError> {
  const isNamed = collection.isName?.(object.name) ?? true;
  const parsed = collection.schema.safeParse(JSON.parse(object.json));
  if (!isNamed || !parsed.success) return Result.err(toError('invalid', object.name));
  return Result.ok({ name: object.name, version: object.version, value: parsed.data });
}

function deliverChange<T>(
  collection: Collection<T>,
  options: WatchOptions<T>,
  { type, object }: StoredChange,
): void {
  const { name, version } = object;
  if (type === 'DELETED') {
    options.onEvent({ type: 'removed', name, version });
    return;
  }
  const parsed = parseStored(collection, object);
  if (parsed.isOk) options.onEvent({ type: 'changed', object: parsed.value });
  else options.onEvent({ type: 'invalid', name, version });
}

function toError(code: TableFault | 'invalid', name: string): PlatformError {
  return new PlatformError(code, `object "${name}": ${code}`);
}

function unknownEffect(message: string): PlatformError {
  return new PlatformError('unreachable', message, { effect: 'unknown' });
}
