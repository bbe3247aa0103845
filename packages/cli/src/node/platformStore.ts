/** Implements the operators' store with the platform client. */

import type { OperatorCollection, OperatorStore, StoreError } from '../types/operatorStore.js';
import type { Collection, ObjectStore, PlatformError } from '@flamingocourse/store';
import { z } from 'zod';

/**
 * Adapts the platform client to {@link OperatorStore}.
 *
 * @example
 * const store = createOperatorStore(new HttpObjectStore({ url }));
 */
export function createOperatorStore(objects: ObjectStore): OperatorStore {
  return {
    get: async (collection, name) =>
      (await objects.get(collectionOf(collection), name)).mapErr(toStoreError),
    list: async (collection) =>
      (await objects.list(collectionOf(collection))).map(({ items }) => items).mapErr(toStoreError),
    create: async (collection, name, value) =>
      (await objects.create(collectionOf(collection), name, value)).mapErr(toStoreError),
    update: async (collection, name, version, value) =>
      (await objects.update(collectionOf(collection), name, version, value)).mapErr(toStoreError),
    remove: async (collection, name, version) =>
      (await objects.remove(collectionOf(collection), name, version)).mapErr(toStoreError),
    listInstances: async (service) => (await objects.listInstances(service)).mapErr(toStoreError),
  };
}

function collectionOf(name: OperatorCollection): Collection<unknown> {
  return { name, schema: z.unknown() };
}

function toStoreError(err: PlatformError): StoreError {
  const code = err.code === 'too-old' ? 'invalid' : err.code;
  return { code, message: err.message };
}
