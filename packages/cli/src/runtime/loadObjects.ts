/** Reads the declared objects that are in force. */

import type { Declaration, DeclaredObjectWithChange } from '@flamingocourse/core';
import type { OperatorStore, StoredObject } from '../types/operatorStore.js';
import { declarationCollection, readStored } from '@flamingocourse/core';
import type { CliError } from '../utils/cliError.js';
import type { Result } from 'true-myth';
import { fromStoreError } from '../utils/cliError.js';

/** Declared objects as read from the platform. */
export interface LoadedObjects {
  objects: DeclaredObjectWithChange[];
  /** Objects whose content cannot be parsed; they are never changed. */
  unreadable: { name: string; message: string }[];
}

/** Reads all declared objects, including removed ones. */
export async function loadObjects(store: OperatorStore): Promise<Result<LoadedObjects, CliError>> {
  const listed = await store.list(declarationCollection);
  return listed
    .map(parseObjects)
    .mapErr((err) => fromStoreError(err, 'declarations cannot be read'));
}

/** Declarations of the objects, without removed ones. */
export function declarationsOf(objects: readonly DeclaredObjectWithChange[]): Declaration[] {
  return objects.map((object) => object.declaration).filter((one) => one !== undefined);
}

function parseObjects(items: readonly StoredObject[]): LoadedObjects {
  const loaded: LoadedObjects = { objects: [], unreadable: [] };
  for (const item of items) {
    const read = readStored(item.value, Number(item.version));
    if (read.isOk) loaded.objects.push(read.value);
    else loaded.unreadable.push({ name: item.name, message: read.error });
  }
  return loaded;
}
