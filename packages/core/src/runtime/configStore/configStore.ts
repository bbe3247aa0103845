/**
 * Declared objects as one router knows them, merged from the platform and from peers. The highest
 * revision of each object wins, deletions included, so that the configuration never reverts,
 * whatever order reads and messages come in.
 */

import type { DeclarationKind, DeclaredObject } from '../../types/declaration.js';

/** State of the store; replaced, never changed in place. */
export interface ConfigStore {
  /** Newest known state of each object by `{kind}.{name}`, deletions included. */
  objects: ReadonlyMap<string, DeclaredObject>;
  /**
   * Last version of each object that could be in force. Differs from `objects` where the newest
   * version is a mistake that is contained.
   */
  lastGood: ReadonlyMap<string, DeclaredObject>;
  /** All changes up to this revision are known. */
  asOf: number;
  /**
   * Deletions up to this revision may be missing, because a list does not show them. A peer that
   * asks from before it gets the complete configuration.
   */
  floor: number;
}

/** What one source of the configuration tells. */
export interface ConfigurationUpdate {
  /** All changes up to this revision are covered. */
  asOf: number;
  /** Changed objects, deletions included; or, when `complete`, all objects that exist. */
  objects: DeclaredObject[];
  /** Whether an object that is missing here does not exist as of `asOf`. */
  complete: boolean;
  /** Earlier versions that the sender has in force, because the newest ones are mistakes. */
  lastGood?: DeclaredObject[];
}

type Objects = ReadonlyMap<string, DeclaredObject>;

/** Deletions remembered; older ones are told by complete updates. */
const MAX_DELETIONS = 1_000;

/** A store that knows nothing. */
export function createConfigStore(): ConfigStore {
  return { objects: new Map(), lastGood: new Map(), asOf: 0, floor: 0 };
}

/** Builds the key of an object, as in the platform's collection. */
export function objectKey(object: { kind: DeclarationKind; name: string }): string {
  return `${object.kind}.${object.name}`;
}

/**
 * Merges what a source tells. Stale, repeated and reordered updates change nothing that is newer: a
 * restarted relay may read a stale copy, and a deleted object may stand in a list that was read
 * before its deletion.
 *
 * @example
 * store = mergeUpdate(store, { asOf: 12, objects, complete: true });
 */
export function mergeUpdate(store: ConfigStore, update: ConfigurationUpdate): ConfigStore {
  const objects = mergeNewer(store.objects, update.objects);
  if (update.complete) deleteMissing(objects, update);
  const candidates = mergeNewer(store.lastGood, update.lastGood ?? []);
  const lastGood = selectLastGood(objects, candidates);
  // a store that was behind a complete update has not seen the deletions before it one by one.
  const floor = update.complete && update.asOf > store.asOf ? update.asOf : store.floor;
  const asOf = Math.max(store.asOf, update.asOf);
  return dropOldDeletions({ objects, lastGood, asOf, floor });
}

/**
 * Answers a peer that knows all changes up to `since`.
 *
 * @example
 * const update = updateSince(store, peer.revision);
 */
export function updateSince(store: ConfigStore, since: number): ConfigurationUpdate {
  const all = [...store.objects.values()];
  const lastGood = [...store.lastGood.values()].filter((object) => isReplaced(store, object));
  const common = { asOf: store.asOf, ...(lastGood.length > 0 && { lastGood }) };
  if (since < store.floor) return { ...common, objects: all, complete: true };
  const objects = all.filter(({ revision }) => revision > since);
  return { ...common, objects, complete: false };
}

/** Keys of the objects whose newest version is a mistake and of which no earlier one is known. */
export function missingLastGood({ objects, lastGood }: ConfigStore): string[] {
  return [...objects]
    .filter(([key, object]) => !namesKnownService(object, objects) && !lastGood.has(key))
    .map(([key]) => key);
}

/** Whether the service that a class names is declared; true for other kinds. */
export function namesKnownService(object: DeclaredObject, objects: Objects): boolean {
  if (object.declaration?.kind !== 'WorkClass') return true;
  return objects.get(`Service.${object.declaration.service}`)?.declaration !== undefined;
}

/** Whether two states can differ in what is in force. */
export function hasSameObjects(a: ConfigStore, b: ConfigStore): boolean {
  return haveSameRevisions(a.objects, b.objects) && haveSameRevisions(a.lastGood, b.lastGood);
}

function haveSameRevisions(a: Objects, b: Objects): boolean {
  if (a.size !== b.size) return false;
  return [...a].every(([key, { revision }]) => b.get(key)?.revision === revision);
}

function mergeNewer(
  known: Objects,
  incoming: readonly DeclaredObject[],
): Map<string, DeclaredObject> {
  const merged = new Map(known);
  for (const object of incoming) {
    const key = objectKey(object);
    if (object.revision > (merged.get(key)?.revision ?? -1)) merged.set(key, object);
  }
  return merged;
}

/**
 * An object that a complete update lacks was deleted while this router did not look. Objects newer
 * than the update are kept: the update may come from a stale read.
 */
function deleteMissing(objects: Map<string, DeclaredObject>, update: ConfigurationUpdate): void {
  const present = new Set(update.objects.map(objectKey));
  for (const [key, { kind, name, revision, declaration }] of objects) {
    if (!declaration || present.has(key) || revision > update.asOf) continue;
    objects.set(key, { kind, name, revision: update.asOf });
  }
}

/** Selects for each existing object its newest version, or the last one before a mistake. */
function selectLastGood(objects: Objects, candidates: Objects): Map<string, DeclaredObject> {
  const lastGood = new Map<string, DeclaredObject>();
  for (const [key, object] of objects) {
    if (!object.declaration) continue;
    const good = namesKnownService(object, objects) ? object : candidates.get(key);
    if (good) lastGood.set(key, good);
  }
  return lastGood;
}

function isReplaced(store: ConfigStore, object: DeclaredObject): boolean {
  return store.objects.get(objectKey(object))?.revision !== object.revision;
}

function dropOldDeletions(store: ConfigStore): ConfigStore {
  const deletions = [...store.objects].filter(([, { declaration }]) => !declaration);
  if (deletions.length <= MAX_DELETIONS) return store;
  deletions.sort(([, a], [, b]) => a.revision - b.revision);
  const objects = new Map(store.objects);
  let { floor } = store;
  for (const [key, { revision }] of deletions.slice(0, deletions.length - MAX_DELETIONS)) {
    objects.delete(key);
    floor = Math.max(floor, revision);
  }
  return { ...store, objects, floor };
}
