/** Applies a plan object by object; a failure of one object never stops the others. */

import type {
  ChangeRecord,
  Declaration,
  DeclaredObjectWithChange,
  GuardName,
  PlannedChange,
} from '@flamingocourse/core';
import type { ExitReason } from '../utils/cliError.js';
import type { Operator } from '../types/operator.js';
import { acceptedAudit, createAudit, ensureAudit } from './audit.js';
import { findBrokenReference, objectName, unacknowledgedGuards } from '@flamingocourse/core';
import { declarationsOf } from './loadObjects.js';
import { formatTime } from '../utils/renderTable.js';
import { writeChange } from './writeChange.js';

/** A planned change with the id that makes it idempotent. */
export interface IdentifiedChange extends PlannedChange {
  changeId: string;
}

export type ApplyVerdict =
  'applied' | 'guard-rail' | 'conflict' | 'broken-reference' | 'unreachable';

/** Outcome of one change. */
export interface AppliedChange {
  object: string;
  type: PlannedChange['type'];
  verdict: ApplyVerdict;
  /** Revision in force after the change. */
  revision?: number;
  /** Why the change was not applied, and what to do. */
  message?: string;
}

/** Exit reason of each verdict. */
export const verdictReasons: Record<ApplyVerdict, ExitReason> = {
  applied: 'ok',
  'guard-rail': 'guard-rail',
  conflict: 'conflict',
  'broken-reference': 'faults',
  unreachable: 'unreachable',
};

/**
 * Applies the changes in their order.
 *
 * @example
 * const applied = await applyPlan(operator, changes, current, ['mass-removal']);
 */
export async function applyPlan(
  operator: Operator,
  changes: readonly IdentifiedChange[],
  current: readonly DeclaredObjectWithChange[],
  acknowledged: readonly GuardName[],
): Promise<AppliedChange[]> {
  const inForce = new Map(declarationsOf(current).map((one) => [objectName(one), one]));
  const known = new Map(current.map((object) => [objectName(object), object]));
  const applied: AppliedChange[] = [];
  for (const change of changes) {
    const object = known.get(objectName(change));
    const outcome = await applyChange(
      operator,
      change,
      object,
      [...inForce.values()],
      acknowledged,
    );
    if (outcome.verdict === 'applied') updateInForce(inForce, change);
    applied.push(outcome);
  }
  return applied;
}

function updateInForce(inForce: Map<string, Declaration>, change: PlannedChange): void {
  if (change.after) inForce.set(objectName(change), change.after);
  else inForce.delete(objectName(change));
}

async function applyChange(
  operator: Operator,
  change: IdentifiedChange,
  object: DeclaredObjectWithChange | undefined,
  inForce: readonly Declaration[],
  acknowledged: readonly GuardName[],
): Promise<AppliedChange> {
  const base = { object: objectName(change), type: change.type };
  const broken = findBrokenReference(change, inForce);
  if (broken !== undefined) {
    return { ...base, verdict: 'broken-reference', message: `${broken}. Apply that first.` };
  }
  const record = createRecord(operator, change);
  const unmet = unacknowledgedGuards(change, acknowledged);
  if (unmet.length > 0) {
    const reason = unmet.map(({ guard, message }) => `${guard}: ${message}`).join('; ');
    await auditRefusal(operator, change, record, 'refused-guard', reason);
    const flags = unmet.map(({ guard }) => `--acknowledge ${guard}`).join(' ');
    return {
      ...base,
      verdict: 'guard-rail',
      message: `${reason}. If this is intended, add ${flags}.`,
    };
  }
  if (object) {
    const audited = await ensureAudit(operator.store, object);
    if (audited.isErr) {
      const message = `nothing was changed, because the audit trail cannot be written: ${audited.error.message}`;
      return { ...base, verdict: 'unreachable', message };
    }
  }
  return finishChange(operator, change, record, base);
}

async function finishChange(
  operator: Operator,
  change: IdentifiedChange,
  record: ChangeRecord,
  base: Pick<AppliedChange, 'object' | 'type'>,
): Promise<AppliedChange> {
  const written = await writeChange(operator.store, change, record);
  switch (written.type) {
    case 'written': {
      const { revision } = written;
      const entry = acceptedAudit(base.object, record, revision);
      const audited = await createAudit(operator.store, change.changeId, entry);
      const message =
        'the audit is not written yet; the next change or `flamingocourse history` writes it';
      return { ...base, verdict: 'applied', revision, ...(audited.isErr && { message }) };
    }
    case 'conflict': {
      const message = describeConflict(change, written.by);
      await auditRefusal(operator, change, record, 'refused-conflict', message);
      return { ...base, verdict: 'conflict', message };
    }
    case 'unknown': {
      const message = `${written.message} Whether the change took effect is not known; run \`flamingocourse get ${base.object}\` when the platform answers.`;
      return { ...base, verdict: 'unreachable', message };
    }
  }
}

function createRecord(operator: Operator, change: IdentifiedChange): ChangeRecord {
  return {
    changeId: change.changeId,
    who: operator.who,
    what: change.type,
    fromRevision: change.fromRevision,
    at: operator.now(),
    guards: change.guards.map(({ guard }) => guard),
  };
}

function describeConflict(
  change: IdentifiedChange,
  by: DeclaredObjectWithChange | undefined,
): string {
  const planned = `the change was planned against revision ${change.fromRevision}`;
  if (!by) return `${planned} and the object no longer exists. Plan again.`;
  const { change: other, revision } = by;
  if (!other) return `${planned} and revision ${revision} is in force. Plan again.`;
  const did = `${other.who} made a change (${other.what}) at ${formatTime(other.at)}`;
  return `${planned}; since then ${did}, now revision ${revision}. Inspect it with \`flamingocourse get ${objectName(change)}\` and plan again.`;
}

// A refusal changes nothing, so a failure to audit it is ignored.
async function auditRefusal(
  operator: Operator,
  change: IdentifiedChange,
  record: ChangeRecord,
  verdict: 'refused-guard' | 'refused-conflict',
  reason: string,
): Promise<void> {
  const name = `${change.changeId}.${verdict}`;
  const entry = { ...record, object: objectName(change), verdict, reason };
  await createAudit(operator.store, name, entry);
}
