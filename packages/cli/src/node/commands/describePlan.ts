/** Renders plans and the outcome of applying them. */

import type { AppliedChange } from '../../runtime/applyPlan.js';
import type { ExitReason } from '../../utils/cliError.js';
import type { Declaration, GuardName } from '@flamingocourse/core';
import type { SavedPlan } from '../../runtime/planFiles.js';
import { objectName, unacknowledgedGuards, entryOf } from '@flamingocourse/core';
import { renderTable } from '../../utils/renderTable.js';
import { worstReason } from '../../utils/cliError.js';

/** Maximum number of characters of a value in a table. */
const maxValueLength = 40;

/** Exit reason of a plan. Faults precede guard rails because they must be fixed in any case. */
export function planReason(plan: SavedPlan, acknowledged: readonly GuardName[]): ExitReason {
  if (plan.faults.length > 0 || plan.blocked.length > 0) return 'faults';
  const isOpen = plan.changes.some(
    (change) => unacknowledgedGuards(change, acknowledged).length > 0,
  );
  return worstReason([isOpen ? 'guard-rail' : 'ok']);
}

/** Renders a plan as a table. */
export function describePlan(plan: SavedPlan): string {
  const rows = plan.changes.map((change) => [
    change.type,
    objectName(change),
    change.fromRevision,
    describeDifference(change.before, change.after),
    change.guards.map(({ guard, message }) => `${guard}: ${message}`).join('\n'),
  ]);
  const counts = `${plan.changes.length} changes, ${plan.unchanged.length} unchanged, ${plan.kept.length} not in the files and kept`;
  if (rows.length === 0) return counts;
  const head = ['change', 'object', 'from revision', 'difference', 'guard rails'];
  return `${renderTable(head, rows)}\n${counts}`;
}

/** Renders the outcome of `apply`. */
export function describeApplied(
  applied: readonly AppliedChange[],
  opened: readonly string[],
): string {
  if (applied.length === 0 && opened.length === 0) return 'nothing to change';
  const rows = applied.map((one) => [
    one.type,
    one.object,
    one.verdict,
    one.revision,
    one.message ?? '',
  ]);
  const budgets = opened.map((name) => `budget of ${name} opened`);
  const head = ['change', 'object', 'verdict', 'revision', 'message'];
  return [...(rows.length > 0 ? [renderTable(head, rows)] : []), ...budgets].join('\n');
}

function describeDifference(
  before: Declaration | undefined,
  after: Declaration | undefined,
): string {
  if (!before || !after) return '';
  const left = before as unknown as Record<string, unknown>;
  const right = after as unknown as Record<string, unknown>;
  const keys = [...new Set([...Object.keys(left), ...Object.keys(right)])];
  return keys
    .filter((key) => JSON.stringify(entryOf(left, key)) !== JSON.stringify(entryOf(right, key)))
    .map((key) => `${key}: ${shorten(entryOf(left, key))} -> ${shorten(entryOf(right, key))}`)
    .join('\n');
}

function shorten(value: unknown): string {
  const text = value === undefined ? 'absent' : JSON.stringify(value);
  return text.length > maxValueLength ? `${text.slice(0, maxValueLength)}...` : text;
}
