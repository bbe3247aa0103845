/** Makes a plan from declaration files, and keeps plans in files of their own. */

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

/** A plan that can be applied later, against the revisions that it names. */
export interface SavedPlan extends Omit<Plan, 'changes'> {
  format: 'flamingocourse-plan-1';
  changes: IdentifiedChange[];
  /** Accounts whose budgets are opened if they have none. */
  accounts: ClientAccountDeclaration[];
  faults: SourceFault[];
}

/** A plan and what it was made upon. */
export interface PlannedFiles {
  plan: SavedPlan;
  current: DeclaredObjectWithChange[];
  /** Why pruning was left out although asked for. */
  pruneRefusal?: string;
}

/** Plans what the files say against what is in force. */
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
  // an object that cannot even be named may be any of those in force, so none counts as absent
  const canPrune = prune && !unnamedFaults;
  const options = { prune: canPrune, faulty, budgets: budgets.value };
  const plan = planChanges(current, accepted, operator.now(), options);
  const changes = plan.changes.map((change) => ({ ...change, changeId: operator.newId() }));
  const accounts = accepted.filter((one) => one.kind === 'ClientAccount');
  const saved = { ...plan, format: 'flamingocourse-plan-1' as const, changes, accounts, faults };
  const pruneRefusal = 'nothing is removed, because a fault hides which object it stands in';
  return Result.ok({ plan: saved, current, ...(prune && !canPrune && { pruneRefusal }) });
}

/** Reads a saved plan. */
export function parseSavedPlan(text: string, file: string): Result<SavedPlan, CliError> {
  const fault = new CliError('faults', `${file} is no saved plan. Make one with \`plan --save\`.`);
  try {
    const value = JSON.parse(text) as Partial<SavedPlan> | null;
    const isPlan = value?.format === 'flamingocourse-plan-1' && Array.isArray(value.changes);
    return isPlan ? Result.ok(value as SavedPlan) : Result.err(fault);
  } catch {
    return Result.err(fault);
  }
}
