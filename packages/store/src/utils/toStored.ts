import type { Collection } from '../types/objects.js';

/** Returns the JSON value that a collection stores for a value. */
export function toStored<T>(collection: Collection<T>, value: T): unknown {
  return collection.encode ? collection.encode(value) : value;
}
