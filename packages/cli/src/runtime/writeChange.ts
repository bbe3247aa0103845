/** Makes one conditional update of a declared object and finds out whether it took effect. */

import type { ChangeRecord, DeclaredObjectWithChange, PlannedChange } from '@flamingocourse/core';
import type { OperatorStore, StoreReply, StoredObject } from '../types/operatorStore.js';
import {
  auditCollection,
  createStored,
  declarationCollection,
  objectName,
  readStored,
} from '@flamingocourse/core';

/** What became of a write. */
export type WriteOutcome =
  | { type: 'written'; revision: number }
  /** Another change came first; `by` is what is in force now. */
  | { type: 'overtaken'; by: DeclaredObjectWithChange | undefined }
  | { type: 'unknown'; message: string };

/** Tries of one write; each is the same conditional update with the same change id. */
const maxTries = 4;

/**
 * Writes a change against the revision that it was planned upon.
 *
 * A reply can be lost after the write took effect: the operator would see a failure, try again and
 * be told that someone else, in fact he himself, had been faster. So every reply but a success is
 * resolved by reading the object back: the change id in it says whose change is in force. Writing
 * again is safe, because only one of the tries can meet the planned revision.
 */
export async function writeChange(
  store: OperatorStore,
  change: PlannedChange,
  record: ChangeRecord,
): Promise<WriteOutcome> {
  let message = '';
  for (let tries = 0; tries < maxTries; tries += 1) {
    const reply = await sendChange(store, change, record);
    if (reply.isOk) return { type: 'written', revision: Number(reply.value.version) };
    message = reply.error.message;
    const resolved = await resolveByReading(store, change, record);
    if (resolved) return resolved;
  }
  return { type: 'unknown', message };
}

function sendChange(
  store: OperatorStore,
  change: PlannedChange,
  record: ChangeRecord,
): StoreReply<StoredObject> {
  const name = objectName(change);
  const value = createStored(change, change.after, record);
  if (change.fromRevision === 0) return store.create(declarationCollection, name, value);
  return store.update(declarationCollection, name, String(change.fromRevision), value);
}

/** Says what is in force, or nothing if the write can be tried again. */
async function resolveByReading(
  store: OperatorStore,
  change: PlannedChange,
  record: ChangeRecord,
): Promise<WriteOutcome | undefined> {
  const read = await store.get(declarationCollection, objectName(change));
  if (read.isErr) return resolveUnread(read.error.code, change);
  const revision = Number(read.value.version);
  const object = readStored(read.value.value, revision).unwrapOr(undefined);
  if (object?.change?.changeId === record.changeId) return { type: 'written', revision };
  if (revision === change.fromRevision) return undefined;
  return (await findOwnAudit(store, record)) ?? { type: 'overtaken', by: object };
}

function resolveUnread(code: string, change: PlannedChange): WriteOutcome | undefined {
  if (code !== 'not-found' || change.fromRevision === 0) return undefined;
  return { type: 'overtaken', by: undefined };
}

// whoever overtook a change that took effect kept its audit first, so the audit proves the effect
async function findOwnAudit(
  store: OperatorStore,
  record: ChangeRecord,
): Promise<WriteOutcome | undefined> {
  const audit = await store.get(auditCollection, record.changeId);
  if (audit.isErr) return undefined;
  const { toRevision } = audit.value.value as { toRevision?: number };
  return toRevision === undefined ? undefined : { type: 'written', revision: toRevision };
}
