/** In-memory object store with a fixed latency that counts calls by kind. */

import type { ObjectStore, StoreError, StoredObject } from '@flamingocourse/router';
import { setTimeout as delay } from 'node:timers/promises';
import { Result } from 'true-myth';

/** Number of calls by kind and collection, such as `update journals`. */
export type CallCounts = Map<string, number>;

type StoreResult = Result<StoredObject, StoreError>;

/**
 * Store of one run. Values are stored by reference: the reducers never modify a state in place, and
 * the cost of copies would distort the measurement.
 */
export class CountingStore implements ObjectStore {
  readonly calls: CallCounts = new Map();
  readonly #latencyMs: number;
  readonly #objects = new Map<string, StoredObject>();
  #version = 0;

  constructor(latencyMs: number) {
    this.#latencyMs = latencyMs;
  }

  /** Returns the current value of an object without counting a call. */
  peek(collection: string, name: string): unknown {
    return this.#objects.get(keyOf(collection, name))?.value;
  }

  async get(collection: string, name: string): Promise<StoreResult> {
    await this.#call('get', collection);
    const object = this.#objects.get(keyOf(collection, name));
    return object ? Result.ok(object) : fail('not-found');
  }

  async list(collection: string): Promise<Result<StoredObject[], StoreError>> {
    await this.#call('list', collection);
    const found = [...this.#objects].filter(([key]) => key.startsWith(`${collection}/`));
    return Result.ok(found.map(([, object]) => object));
  }

  async create(collection: string, name: string, value: unknown): Promise<StoreResult> {
    await this.#call('create', collection);
    if (this.#objects.has(keyOf(collection, name))) return fail('exists');
    return this.#put(collection, name, value);
  }

  async update(
    collection: string,
    name: string,
    version: string,
    value: unknown,
  ): Promise<StoreResult> {
    await this.#call('update', collection);
    const found = this.#objects.get(keyOf(collection, name));
    if (!found) return fail('not-found');
    if (found.version !== version) return fail('conflict');
    return this.#put(collection, name, value);
  }

  #put(collection: string, name: string, value: unknown): StoreResult {
    this.#version += 1;
    const object = { name, version: String(this.#version), value };
    this.#objects.set(keyOf(collection, name), object);
    return Result.ok(object);
  }

  async #call(type: string, collection: string): Promise<void> {
    const kind = `${type} ${collection}`;
    this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1);
    await delay(this.#latencyMs);
  }
}

function keyOf(collection: string, name: string): string {
  return `${collection}/${name}`;
}

function fail(code: StoreError['code']): Result<never, StoreError> {
  return Result.err({ code, message: `store error: ${code}` });
}
