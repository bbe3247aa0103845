/**
 * Declared objects as one router knows them, merged from the platform and from peers. The highest
 * revision of each object wins, deletions included, so that the configuration never reverts when
 * reads and messages arrive out of order.
 */

import type { DeclarationKind, DeclaredObject } from '../../types/declaration.js';

/** State of the store. Immutable: each update creates a new state. */
export interface ConfigStore {
  /** Newest known version of each object by `{kind}.{name}`, deletions included. */
  objects: ReadonlyMap<string, DeclaredObject>;
  /**
   * Last valid version of each object. Differs from `objects` where the newest version is invalid
   * and therefore not in force.
   */
  lastGood: ReadonlyMap<string, DeclaredObject>;
  /** All changes up to this revision are known. */
  asOf: number;
  /**
   * Deletions up to this revision may be missing, because lists do not contain them. A peer that
   * asks for changes since an earlier revision gets the complete configuration.
   */
  deltaFloor: number;
}

/** Update from one source of the configuration. */
export interface ConfigurationUpdate {
  /** The update covers all changes up to this revision. */
  asOf: number;
  /** Changed objects, deletions included; or all existing objects if `complete`. */
  objects: DeclaredObject[];
  /** Whether `objects` contains every object that existed at revision `asOf`. */
  complete: boolean;
  /** Earlier versions that are in force at the sender, because the newest ones are invalid. */
  lastGood?: DeclaredObject[];
}

type Objects = ReadonlyMap<string, DeclaredObject>;

/** Maximum number of deletions stored. Peers learn of older ones from complete updates. */
const MAX_DELETIONS = 1_000;

/** Creates an empty store. */
export function createConfigStore(): ConfigStore {
  return { objects: new Map(), lastGood: new Map(), asOf: 0, deltaFloor: 0 };
}

/** Returns the name of an object in the platform's collection, such as `Service.search`. */
export function objectKey(object: { kind: DeclarationKind; name: string }): string {
  return `${object.kind}.${object.name}`;
}

/**
 * Merges an update. Stale, repeated and reordered updates never replace newer objects: a restarted
 * relay may read a stale copy, and a list that was read before a deletion still contains the
 * object.
 *
 * @example
 * store = mergeUpdate(store, { asOf: 12, objects, complete: true });
 */
export function mergeUpdate(store: ConfigStore, update: ConfigurationUpdate): ConfigStore {
  const objects = mergeNewer(store.objects, update.objects);
  if (update.complete) deleteMissing(objects, update);
  const candidates = mergeNewer(store.lastGood, update.lastGood ?? []);
  const lastGood = selectLastGood(objects, candidates);
  // a complete update may omit the deletions between the store's revision and its own.
  const floor = update.complete && update.asOf > store.asOf ? update.asOf : store.deltaFloor;
  const asOf = Math.max(store.asOf, update.asOf);
  return dropOldDeletions({ objects, lastGood, asOf, deltaFloor: floor });
}

/**
 * Returns the update for a peer that knows all changes up to revision `since`.
 *
 * @example
 * const update = updateSince(store, peer.revision);
 */
export function updateSince(store: ConfigStore, since: number): ConfigurationUpdate {
  const all = [...store.objects.values()];
  const lastGood = [...store.lastGood.values()].filter((object) => hasNewerVersion(store, object));
  const common = { asOf: store.asOf, ...(lastGood.length > 0 && { lastGood }) };
  if (since < store.deltaFloor) return { ...common, objects: all, complete: true };
  const objects = all.filter(({ revision }) => revision > since);
  return { ...common, objects, complete: false };
}

/** Keys of the objects whose newest version is invalid and that have no known valid version. */
export function missingLastGood({ objects, lastGood }: ConfigStore): string[] {
  return [...objects]
    .filter(([key, object]) => !refersToKnownService(object, objects) && !lastGood.has(key))
    .map(([key]) => key);
}

/** Whether the service that a class refers to is declared; true for other kinds. */
export function refersToKnownService(object: DeclaredObject, objects: Objects): boolean {
  if (object.declaration?.kind !== 'WorkClass') return true;
  return objects.get(`Service.${object.declaration.service}`)?.declaration !== undefined;
}

/** Whether two states contain the same revisions, so that the same configuration is in force. */
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
 * Marks objects as deleted that are missing from a complete update: the store has missed their
 * deletion. Objects newer than the update stay, because the update may come from a stale read.
 */
function deleteMissing(objects: Map<string, DeclaredObject>, update: ConfigurationUpdate): void {
  const present = new Set(update.objects.map(objectKey));
  for (const [key, { kind, name, revision, declaration }] of objects) {
    if (!declaration || present.has(key) || revision > update.asOf) continue;
    objects.set(key, { kind, name, revision: update.asOf });
  }
}

/** Selects the last valid version of each existing object. */
function selectLastGood(objects: Objects, candidates: Objects): Map<string, DeclaredObject> {
  const lastGood = new Map<string, DeclaredObject>();
  for (const [key, object] of objects) {
    if (!object.declaration) continue;
    const good = refersToKnownService(object, objects) ? object : candidates.get(key);
    if (good) lastGood.set(key, good);
  }
  return lastGood;
}

function hasNewerVersion(store: ConfigStore, object: DeclaredObject): boolean {
  return store.objects.get(objectKey(object))?.revision !== object.revision;
}

function dropOldDeletions(store: ConfigStore): ConfigStore {
  const deletions = [...store.objects].filter(([, { declaration }]) => !declaration);
  if (deletions.length <= MAX_DELETIONS) return store;
  deletions.sort(([, a], [, b]) => a.revision - b.revision);
  const objects = new Map(store.objects);
  let { deltaFloor: floor } = store;
  for (const [key, { revision }] of deletions.slice(0, deletions.length - MAX_DELETIONS)) {
    objects.delete(key);
    floor = Math.max(floor, revision);
  }
  return { ...store, objects, deltaFloor: floor };
}
