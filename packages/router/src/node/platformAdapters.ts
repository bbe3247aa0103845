/** Adapts the platform's client to the interfaces of the budget services and of placement. */

import type { InstanceRecord } from '@flamingocourse/core';
import type {
  Collection,
  CollectionName,
  ObjectStore,
  PlatformError,
  VersionedObject,
} from '@flamingocourse/store';
import type { InstanceSource } from '../types/backendPorts.js';
import type * as ports from '../types/moneyPorts.js';
import type { Result } from 'true-myth';
import { z } from 'zod';

const collectionNames: readonly string[] = [
  'ledgers',
  'journals',
  'segments',
  'claims',
] satisfies CollectionName[];

/** Adapts the platform's client to {@link ports.ObjectStore}. */
export class MoneyObjectStore implements ports.ObjectStore {
  readonly #store: ObjectStore;

  constructor(store: ObjectStore) {
    this.#store = store;
  }

  async get(
    collection: string,
    name: string,
  ): Promise<Result<ports.StoredObject, ports.StoreError>> {
    const read = await this.#store.get(toCollection(collection), name);
    return toStored(read);
  }

  async list(collection: string): Promise<Result<ports.StoredObject[], ports.StoreError>> {
    const read = await this.#store.list(toCollection(collection));
    return read.map((list) => list.items).mapErr(toStoreError);
  }

  async create(
    collection: string,
    name: string,
    value: unknown,
  ): Promise<Result<ports.StoredObject, ports.StoreError>> {
    const written = await this.#store.create(toCollection(collection), name, value);
    return toStored(written);
  }

  async update(
    collection: string,
    name: string,
    version: string,
    value: unknown,
  ): Promise<Result<ports.StoredObject, ports.StoreError>> {
    const written = await this.#store.update(toCollection(collection), name, version, value);
    return toStored(written);
  }
}

/** Reads the platform's instance list. */
export class PlatformInstances implements InstanceSource {
  readonly #store: ObjectStore;

  constructor(store: ObjectStore) {
    this.#store = store;
  }

  async list(service: string): Promise<InstanceRecord[] | undefined> {
    const read = await this.#store.listInstances(service);
    return read.unwrapOr(undefined);
  }
}

function toCollection(name: string): Collection<unknown> {
  if (!isCollectionName(name)) {
    throw new RangeError(`"${name}" is not a collection of the budget services`);
  }
  return { name, schema: z.unknown() };
}

function isCollectionName(name: string): name is CollectionName {
  return collectionNames.includes(name);
}

function toStored(
  result: Result<VersionedObject<unknown>, PlatformError>,
): Result<ports.StoredObject, ports.StoreError> {
  return result.mapErr(toStoreError);
}

function toStoreError(err: PlatformError): ports.StoreError {
  // A throttled call had no effect. Mapping it to `unreachable` makes the caller read again, which is
  // safe, and use its witnesses in the meantime.
  const code = err.code === 'throttled' ? 'unreachable' : err.code;
  return { code, message: err.message };
}
