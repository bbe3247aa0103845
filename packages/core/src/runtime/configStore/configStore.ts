/**
 * Declared objects as one router knows them. The newest revision of each object wins, deletions
 * included, so that the configuration never falls back, whatever order reads and hints come in.
 */

import type { DeclarationKind, DeclaredObject } from '../../types/declaration.js';
import { hash32 } from '../../utils/hash.js';

/** Key of an object, as in the platform's collection: `{kind}.{name}`. */
export type ConfigKey = `${DeclarationKind}.${string}`;

/** Newest known state of all objects. Serialisable; also the snapshot for a new router. */
export interface ConfigStoreState {
  objects: Record<ConfigKey, DeclaredObject>;
  /**
   * Last version of each object that could be in force. Differs from `objects` where the newest
   * version is a mistake that is contained.
   */
  lastGood: Record<ConfigKey, DeclaredObject>;
}

/** Short description of a state, for comparison between peers. */
export interface ConfigDigest {
  /** Highest revision known. */
  revision: number;
  /** Number of objects, deletions included. */
  count: number;
  /** Order-independent hash of all keys and revisions. */
  hash: number;
}

/** Result of a merge. */
export interface ConfigMerge {
  state: ConfigStoreState;
  /** Objects that became newer. */
  changed: DeclaredObject[];
}

/**
 * A store that knows nothing.
 *
 * @example
 * let state = createConfigStore();
 * ({ state } = mergeObjects(state, objectsFromPlatform));
 */
export function createConfigStore(): ConfigStoreState {
  return { objects: {}, lastGood: {} };
}

/** Builds the key of an object. */
export function objectKey(object: { kind: DeclarationKind; name: string }): ConfigKey {
  return `${object.kind}.${object.name}`;
}

/**
 * Takes in objects from the platform, a peer or a snapshot. An object whose revision is not higher
 * than the known one is ignored: a restarted relay may read a stale copy, and a deleted object may
 * come back in a list that was read before its deletion.
 */
export function mergeObjects(
  state: ConfigStoreState,
  incoming: readonly DeclaredObject[],
): ConfigMerge {
  const changed: DeclaredObject[] = [];
  const objects = { ...state.objects };
  for (const object of incoming) {
    const key = objectKey(object);
    if (object.revision <= (objects[key]?.revision ?? -1)) continue;
    objects[key] = object;
    changed.push(object);
  }
  if (changed.length === 0) return { state, changed };
  return { state: { objects, lastGood: updateLastGood(objects, state.lastGood) }, changed };
}

/** Takes in the snapshot of a peer, with the last good versions that it still has in force. */
export function mergeSnapshot(state: ConfigStoreState, snapshot: ConfigStoreState): ConfigMerge {
  const lastGood = { ...state.lastGood };
  for (const object of Object.values(snapshot.lastGood)) {
    const key = objectKey(object);
    if (object.revision > (lastGood[key]?.revision ?? -1)) lastGood[key] = object;
  }
  const merge = mergeObjects({ ...state, lastGood }, Object.values(snapshot.objects));
  const { objects } = merge.state;
  return { ...merge, state: { objects, lastGood: updateLastGood(objects, lastGood) } };
}

/** Describes a state; equal states have equal digests. */
export function digestConfig(state: ConfigStoreState): ConfigDigest {
  let revision = 0;
  let count = 0;
  let hash = 0;
  for (const [key, object] of Object.entries(state.objects)) {
    revision = Math.max(revision, object.revision);
    count += 1;
    hash = (hash ^ hash32(`${key}@${object.revision}`)) >>> 0;
  }
  return { revision, count, hash };
}

/**
 * Objects that a peer with the given digest may lack. Usually those with a higher revision; all,
 * where that would leave the states different, because the peer missed one in between.
 *
 * @example
 * const missing = deltaFor(state, digestOfPeer);
 */
export function deltaFor(state: ConfigStoreState, peer: ConfigDigest): DeclaredObject[] {
  const all = Object.values(state.objects);
  const older = all.filter((object) => object.revision <= peer.revision);
  if (digestOlder(older) === peer.hash && older.length === peer.count) {
    return all.filter((object) => object.revision > peer.revision);
  }
  // a changed object leaves the older set, so the hashes differ although nothing was missed; the
  // whole set is small and this is rare, so it is sent rather than risked.
  return all;
}

function digestOlder(objects: DeclaredObject[]): number {
  const keys = objects.map((object) => `${objectKey(object)}@${object.revision}`);
  return keys.reduce((hash, key) => (hash ^ hash32(key)) >>> 0, 0);
}

/**
 * Keeps for each object the last version that can be in force. Services are judged first, as classes
 * depend on them.
 */
function updateLastGood(
  objects: Record<ConfigKey, DeclaredObject>,
  before: Record<ConfigKey, DeclaredObject>,
): Record<ConfigKey, DeclaredObject> {
  const lastGood: Record<ConfigKey, DeclaredObject> = {};
  for (const [key, object] of Object.entries(objects) as [ConfigKey, DeclaredObject][]) {
    if (!object.declaration) continue;
    const good = namesKnownService(object, objects) ? object : before[key];
    if (good) lastGood[key] = good;
  }
  return lastGood;
}

/** Whether the service that a class names is declared; true for other kinds. */
export function namesKnownService(
  object: DeclaredObject,
  objects: Record<ConfigKey, DeclaredObject>,
): boolean {
  if (object.declaration?.kind !== 'WorkClass') return true;
  return objects[`Service.${object.declaration.service}`]?.declaration !== undefined;
}
