/** Versioned objects with a bounded history, in memory: the Object API's semantics without HTTP. */

import { Result } from 'true-myth';

/** A stored object; its value is kept as JSON text, so that no caller can mutate it. */
export interface StoredObject {
  name: string;
  version: string;
  json: string;
}

/** One change in the history. */
export interface StoredChange {
  type: 'ADDED' | 'MODIFIED' | 'DELETED';
  collection: string;
  object: StoredObject;
}

export type TableFault = 'exists' | 'conflict' | 'not-found' | 'too-large' | 'too-old';

/** Limits of a table. */
export interface ObjectTableOptions {
  /** Number of changes in the history, from which a watch can resume. @default 1000 */
  historyLength?: number;
  /** Maximum length of a value's JSON text, in bytes. @default 1048576 */
  maxValueBytes?: number;
}

/**
 * All collections of one store.
 *
 * @example
 * const table = new ObjectTable();
 * table.create('ledgers', '0', '{"page":0,"accounts":{}}');
 */
export class ObjectTable {
  readonly #collections = new Map<string, Map<string, StoredObject>>();
  readonly #listeners = new Set<(change: StoredChange) => void>();
  readonly #historyLength: number;
  readonly #maxValueBytes: number;
  #history: StoredChange[] = [];
  /** Version of the newest change that was dropped from the history. */
  #droppedTo = 0;
  #counter = 0;

  constructor(options: ObjectTableOptions = {}) {
    this.#historyLength = options.historyLength ?? 1_000;
    this.#maxValueBytes = options.maxValueBytes ?? 1_048_576;
  }

  /** Version of the last change. */
  get version(): string {
    return String(this.#counter);
  }

  get(collection: string, name: string): StoredObject | undefined {
    return this.#collections.get(collection)?.get(name);
  }

  list(collection: string): StoredObject[] {
    return [...(this.#collections.get(collection)?.values() ?? [])];
  }

  create(collection: string, name: string, json: string): Result<StoredObject, TableFault> {
    if (this.get(collection, name)) return Result.err('exists');
    if (this.#isTooLarge(json)) return Result.err('too-large');
    return Result.ok(this.#store('ADDED', collection, name, json));
  }

  update(
    collection: string,
    name: string,
    version: string,
    json: string,
  ): Result<StoredObject, TableFault> {
    const fault = this.#checkVersion(collection, name, version);
    if (fault) return Result.err(fault);
    if (this.#isTooLarge(json)) return Result.err('too-large');
    return Result.ok(this.#store('MODIFIED', collection, name, json));
  }

  remove(collection: string, name: string, version: string): Result<StoredObject, TableFault> {
    const fault = this.#checkVersion(collection, name, version);
    if (fault) return Result.err(fault);
    const json = this.get(collection, name)?.json ?? 'null';
    const removed = this.#store('DELETED', collection, name, json);
    this.#collections.get(collection)?.delete(name);
    return Result.ok(removed);
  }

  /** Changes of a collection after a version, or `too-old` if the history no longer has them. */
  changesSince(collection: string, version: string): Result<StoredChange[], TableFault> {
    const from = Number(version);
    if (from < this.#droppedTo) return Result.err('too-old');
    return Result.ok(
      this.#history.filter(
        (change) => change.collection === collection && Number(change.object.version) > from,
      ),
    );
  }

  /** Calls the listener on each change; returns a function that unsubscribes it. */
  subscribe(listener: (change: StoredChange) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** All objects by collection and name, with parsed values. */
  dump(): Record<string, Record<string, { version: string; value: unknown }>> {
    const entries = [...this.#collections].map(([collection, objects]) => [
      collection,
      Object.fromEntries([...objects.values()].map((object) => [object.name, dumpObject(object)])),
    ]);
    return Object.fromEntries(entries) as ReturnType<ObjectTable['dump']>;
  }

  #checkVersion(collection: string, name: string, version: string): TableFault | undefined {
    const current = this.get(collection, name);
    if (!current) return 'not-found';
    return current.version === version ? undefined : 'conflict';
  }

  #isTooLarge(json: string): boolean {
    return Buffer.byteLength(json) > this.#maxValueBytes;
  }

  #store(type: StoredChange['type'], collection: string, name: string, json: string): StoredObject {
    this.#counter += 1;
    const object = { name, version: this.version, json };
    const objects = this.#collections.get(collection) ?? new Map<string, StoredObject>();
    this.#collections.set(collection, objects.set(name, object));
    this.#recordChange({ type, collection, object });
    return object;
  }

  #recordChange(change: StoredChange): void {
    this.#history.push(change);
    if (this.#history.length > this.#historyLength) {
      const dropped = this.#history.shift();
      this.#droppedTo = Number(dropped?.object.version ?? this.#droppedTo);
    }
    for (const listener of this.#listeners) listener(change);
  }
}

function dumpObject(object: StoredObject): { version: string; value: unknown } {
  return { version: object.version, value: JSON.parse(object.json) as unknown };
}
