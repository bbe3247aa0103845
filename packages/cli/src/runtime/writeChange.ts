/** Performs one conditional update of a declared object and determines whether it took effect. */

import type { ChangeRecord, DeclaredObjectWithChange, PlannedChange } from '@flamingocourse/core';
import type { OperatorStore, StoreReply, StoredObject } from '../types/operatorStore.js';
import {
  auditCollection,
  createStored,
  declarationCollection,
  objectName,
  readStored,
} from '@flamingocourse/core';

/** Outcome of a write. */
export type WriteOutcome =
  | { type: 'written'; revision: number }
  /** Another change took effect first; `by` is the object in force now. */
  | { type: 'conflict'; by: DeclaredObjectWithChange | undefined }
  | { type: 'unknown'; message: string };

/** Attempts of one write; each is the same conditional update with the same change id. */
const maxAttempts = 4;

/**
 * Writes a change against the revision that it was planned against.
 *
 * A reply can be lost after the write took effect. The operator would see a failure, retry and get
 * a conflict with their own change. So after any reply other than a success, the object is read
 * back: its change id identifies the change in force. A retry is safe, because at most one attempt
 * can match the planned revision.
 */
export async function writeChange(
  store: OperatorStore,
  change: PlannedChange,
  record: ChangeRecord,
): Promise<WriteOutcome> {
  let message = '';
  for (let attempts = 0; attempts < maxAttempts; attempts += 1) {
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

/** Determines the outcome from the object in force; `undefined` if the write can be retried. */
async function resolveByReading(
  store: OperatorStore,
  change: PlannedChange,
  record: ChangeRecord,
): Promise<WriteOutcome | undefined> {
  const read = await store.get(declarationCollection, objectName(change));
  if (read.isErr) return resolveReadError(read.error.code, change);
  const revision = Number(read.value.version);
  const object = readStored(read.value.value, revision).unwrapOr(undefined);
  if (object?.change?.changeId === record.changeId) return { type: 'written', revision };
  if (revision === change.fromRevision) return undefined;
  return (await findOwnAudit(store, record)) ?? { type: 'conflict', by: object };
}

function resolveReadError(code: string, change: PlannedChange): WriteOutcome | undefined {
  if (code !== 'not-found' || change.fromRevision === 0) return undefined;
  return { type: 'conflict', by: undefined };
}

// A later change first writes the audit of the change it replaces, so that audit proves its effect.
async function findOwnAudit(
  store: OperatorStore,
  record: ChangeRecord,
): Promise<WriteOutcome | undefined> {
  const audit = await store.get(auditCollection, record.changeId);
  if (audit.isErr) return undefined;
  const { toRevision } = audit.value.value as { toRevision?: number };
  return toRevision === undefined ? undefined : { type: 'written', revision: toRevision };
}
