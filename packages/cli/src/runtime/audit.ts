/** The audit trail: one immutable object per change. */

import type {
  AuditRecord,
  ChangeRecord,
  DeclaredObjectWithChange,
  LedgerPage,
} from '@flamingocourse/core';
import type { Operator } from '../types/operator.js';
import type { OperatorStore, StoreError } from '../types/operatorStore.js';
import { auditCollection, objectName } from '@flamingocourse/core';
import type { CliError } from '../utils/cliError.js';
import { fromStoreError } from '../utils/cliError.js';
import { Result } from 'true-myth';
import { loadObjects } from './loadObjects.js';
import { loadLedger } from './ledgerPages.js';

/** Record of a change to something other than a declaration. */
export interface OperationRecord {
  changeId: string;
  who: string;
  what: 'top-up' | 'reduce' | 'write-off' | 'drain' | 'undrain';
  object: string;
  at: number;
  amount?: number;
}

/** Any entry of the audit trail. */
export type AuditEntry = AuditRecord | OperationRecord;

/** Creates an audit object. One that already exists has the same content, so it is a success. */
export async function createAudit(
  store: OperatorStore,
  name: string,
  entry: AuditEntry,
): Promise<Result<'stored', StoreError>> {
  const created = await store.create(auditCollection, name, entry);
  if (created.isOk || created.error.code === 'exists') return Result.ok('stored');
  return Result.err(created.error);
}

/** Creates the audit record of a change that took effect. */
export function acceptedAudit(
  object: string,
  change: ChangeRecord,
  toRevision: number,
): AuditRecord {
  return { ...change, object, toRevision, verdict: 'accepted' };
}

/**
 * Creates the audit of the change that is recorded in an object, if it is missing. A command can
 * fail between its change and the audit. The next change replaces the record in the object, and the
 * first one would be missing from the trail for good. So this runs before each change.
 */
export async function ensureAudit(
  store: OperatorStore,
  object: DeclaredObjectWithChange,
): Promise<Result<'stored', StoreError>> {
  const { change } = object;
  if (!change) return Result.ok('stored');
  const entry = acceptedAudit(objectName(object), change, object.revision);
  return createAudit(store, change.changeId, entry);
}

/** Returns the trail, oldest first. Creates the audits that failed commands did not write. */
export async function readHistory(operator: Operator): Promise<Result<AuditEntry[], CliError>> {
  const { store } = operator;
  const listed = await store.list(auditCollection);
  if (listed.isErr) return Result.err(fromStoreError(listed.error, 'audits cannot be read'));
  const entries = new Map(listed.value.map(({ name, value }) => [name, value as AuditEntry]));
  const missing = await findMissing(operator, entries);
  if (missing.isErr) return Result.err(missing.error);
  for (const [name, entry] of missing.value) {
    const stored = await createAudit(store, name, entry);
    if (stored.isErr) return Result.err(fromStoreError(stored.error, 'an audit cannot be written'));
    entries.set(name, entry);
  }
  return Result.ok([...entries.values()].sort((a, b) => a.at - b.at));
}

/** Name of the audit of a budget change; ids of budget changes are unique per account only. */
export function budgetAuditName(account: string, changeId: string): string {
  return `budget.${account}.${changeId}`;
}

async function findMissing(
  operator: Operator,
  entries: ReadonlyMap<string, AuditEntry>,
): Promise<Result<Map<string, AuditEntry>, CliError>> {
  const loaded = await loadObjects(operator.store);
  if (loaded.isErr) return Result.err(loaded.error);
  const ledger = await loadLedger(operator);
  if (ledger.isErr) return Result.err(ledger.error);
  const expected = [...declaredAudits(loaded.value.objects), ...budgetAudits(ledger.value)];
  return Result.ok(new Map(expected.filter(([name]) => !entries.has(name))));
}

function declaredAudits(objects: readonly DeclaredObjectWithChange[]): [string, AuditEntry][] {
  return objects.flatMap((object) => {
    const { change, revision } = object;
    if (!change) return [];
    return [[change.changeId, acceptedAudit(objectName(object), change, revision)]];
  });
}

function budgetAudits(pages: readonly LedgerPage[]): [string, AuditEntry][] {
  const accounts = pages.flatMap((page) => Object.entries(page.accounts));
  return accounts.flatMap(([account, entry]) =>
    entry.changes.map(({ id, amount, by, at }): [string, AuditEntry] => {
      const what = amount < 0 ? 'reduce' : 'top-up';
      const object = `Budget.${account}`;
      return [budgetAuditName(account, id), { changeId: id, who: by, what, object, at, amount }];
    }),
  );
}
