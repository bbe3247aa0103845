/** Creates plans from declaration files and parses saved plans. */

import type {
  ClientAccountDeclaration,
  DeclaredObjectWithChange,
  Plan,
  SourceFault,
  SourceFile,
} from '@flamingocourse/core';
import type { IdentifiedChange } from './applyPlan.js';
import type { Operator } from '../types/operator.js';
import { checkDeclarations, planChanges } from '@flamingocourse/core';
import { declarationsOf, loadObjects } from './loadObjects.js';
import { CliError } from '../utils/cliError.js';
import { Result } from 'true-myth';
import { loadBudgets } from './budget.js';

/** A plan that can be applied later, against the revisions that it contains. */
export interface SavedPlan extends Omit<Plan, 'changes'> {
  format: 'flamingocourse-plan-1';
  changes: IdentifiedChange[];
  /** Accounts whose budgets are opened if they have none yet. */
  accounts: ClientAccountDeclaration[];
  faults: SourceFault[];
}

/** A plan and the objects that it is based on. */
export interface PlannedFiles {
  plan: SavedPlan;
  current: DeclaredObjectWithChange[];
  /** Why requested pruning was skipped. */
  pruneRefusal?: string;
}

/** Plans the changes from the objects in force to the declarations in the files. */
export async function planFiles(
  operator: Operator,
  files: readonly SourceFile[],
  prune: boolean,
): Promise<Result<PlannedFiles, CliError>> {
  const loaded = await loadObjects(operator.store);
  if (loaded.isErr) return Result.err(loaded.error);
  const budgets = await loadBudgets(operator);
  if (budgets.isErr) return Result.err(budgets.error);
  const current = loaded.value.objects;
  const checked = checkDeclarations(files, declarationsOf(current));
  const { accepted, faults, faulty, unnamedFaults } = checked;
  // A faulty object without a readable name may be any object in force, so none counts as absent.
  const canPrune = prune && !unnamedFaults;
  const options = { prune: canPrune, faulty, budgets: budgets.value };
  const plan = planChanges(current, accepted, operator.now(), options);
  const changes = plan.changes.map((change) => ({ ...change, changeId: operator.newId() }));
  const accounts = accepted.filter((one) => one.kind === 'ClientAccount');
  const saved = { ...plan, format: 'flamingocourse-plan-1' as const, changes, accounts, faults };
  const pruneRefusal = 'nothing is removed, because the name of a faulty object cannot be read';
  return Result.ok({ plan: saved, current, ...(prune && !canPrune && { pruneRefusal }) });
}

/** Reads a saved plan. */
export function parseSavedPlan(text: string, file: string): Result<SavedPlan, CliError> {
  const fault = new CliError(
    'faults',
    `${file} is not a saved plan. Create one with \`plan --save\`.`,
  );
  try {
    const value = JSON.parse(text) as Partial<SavedPlan> | null;
    const isPlan = value?.format === 'flamingocourse-plan-1' && Array.isArray(value.changes);
    return isPlan ? Result.ok(value as SavedPlan) : Result.err(fault);
  } catch {
    return Result.err(fault);
  }
}
