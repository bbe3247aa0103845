/**
 * Declared objects as one router knows them, merged from the platform and from peers. The highest
 * revision of each object wins, deletions included, so the configuration never reverts.
 */

import type { DeclaredObject } from '@flamingocourse/core';
import type { ConfigurationUpdate } from '@flamingocourse/mesh';

/** State of the store; replaced, never changed in place. */
export interface DeclarationStore {
  /** Newest known state of each object by `{kind}.{name}`, deletions included. */
  objects: ReadonlyMap<string, DeclaredObject>;
  /** All changes up to this revision are known. */
  asOf: number;
  /**
   * Deletions up to this revision may be missing, because a list does not show them. A peer that
   * asks from before it gets the complete configuration.
   */
  floor: number;
}

/** Deletions remembered; older ones are told by complete updates. */
const maxDeletions = 1_000;

/** A store that knows nothing. */
export function createDeclarationStore(): DeclarationStore {
  return { objects: new Map(), asOf: 0, floor: 0 };
}

/** Key of an object, as in the platform's collection. */
export function declarationKey({ kind, name }: { kind: string; name: string }): string {
  return `${kind}.${name}`;
}

/**
 * Merges what a source tells. Stale, repeated and reordered updates change nothing that is newer.
 *
 * @example
 * store = mergeUpdate(store, { asOf: 12, objects, complete: true });
 */
export function mergeUpdate(
  store: DeclarationStore,
  update: ConfigurationUpdate,
): DeclarationStore {
  const objects = new Map(store.objects);
  for (const object of update.objects) {
    const key = declarationKey(object);
    if (object.revision > (objects.get(key)?.revision ?? -1)) objects.set(key, object);
  }
  if (update.complete) deleteMissing(objects, update);
  // a store that was behind a complete update has not seen the deletions before it one by one.
  const floor = update.complete && update.asOf > store.asOf ? update.asOf : store.floor;
  const asOf = Math.max(store.asOf, update.asOf);
  return dropOldDeletions({ objects, asOf, floor });
}

/**
 * Answers a peer that knows all changes up to `since`.
 *
 * @example
 * const update = updateSince(store, peer.revision);
 */
export function updateSince(store: DeclarationStore, since: number): ConfigurationUpdate {
  const all = [...store.objects.values()];
  if (since >= store.floor) {
    const objects = all.filter(({ revision }) => revision > since);
    return { asOf: store.asOf, objects, complete: false };
  }
  return { asOf: store.asOf, objects: all, complete: true };
}

/**
 * An object that a complete update lacks was deleted while this router did not look. Objects newer
 * than the update are kept: the update may come from a stale read.
 */
function deleteMissing(objects: Map<string, DeclaredObject>, update: ConfigurationUpdate): void {
  const present = new Set(update.objects.map(declarationKey));
  for (const [key, { kind, name, revision, declaration }] of objects) {
    if (!declaration || present.has(key) || revision > update.asOf) continue;
    objects.set(key, { kind, name, revision: update.asOf });
  }
}

function dropOldDeletions(store: DeclarationStore): DeclarationStore {
  const deletions = [...store.objects].filter(([, { declaration }]) => !declaration);
  if (deletions.length <= maxDeletions) return store;
  deletions.sort(([, a], [, b]) => a.revision - b.revision);
  const objects = new Map(store.objects);
  let { floor } = store;
  for (const [key, { revision }] of deletions.slice(0, deletions.length - maxDeletions)) {
    objects.delete(key);
    floor = Math.max(floor, revision);
  }
  return { ...store, objects, floor };
}
