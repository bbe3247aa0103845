/** Reads the declared objects that are in force. */

import type { Declaration, DeclaredObjectWithChange } from '@flamingocourse/core';
import type { OperatorStore, StoredObject } from '../types/operatorStore.js';
import { declarationCollection, readStored } from '@flamingocourse/core';
import type { CliError } from '../utils/cliError.js';
import type { Result } from 'true-myth';
import { fromStoreError } from '../utils/cliError.js';

/** What the platform holds. */
export interface LoadedObjects {
  objects: DeclaredObjectWithChange[];
  /** Objects whose content cannot be read; they are left alone. */
  unreadable: { name: string; message: string }[];
}

/** Reads all declared objects, removed ones included. */
export async function loadObjects(store: OperatorStore): Promise<Result<LoadedObjects, CliError>> {
  const listed = await store.list(declarationCollection);
  return listed
    .map(sortObjects)
    .mapErr((err) => fromStoreError(err, 'declarations cannot be read'));
}

/** Declarations among the objects, without those removed. */
export function declarationsOf(objects: readonly DeclaredObjectWithChange[]): Declaration[] {
  return objects.map((object) => object.declaration).filter((one) => one !== undefined);
}

function sortObjects(items: readonly StoredObject[]): LoadedObjects {
  const loaded: LoadedObjects = { objects: [], unreadable: [] };
  for (const item of items) {
    const read = readStored(item.value, Number(item.version));
    if (read.isOk) loaded.objects.push(read.value);
    else loaded.unreadable.push({ name: item.name, message: read.error });
  }
  return loaded;
}
