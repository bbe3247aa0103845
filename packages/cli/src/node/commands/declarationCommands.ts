/** Commands that check, plan and apply declarations. */

import {
  array,
  command,
  flag,
  multioption,
  oneOf,
  option,
  optional,
  restPositionals,
  string,
} from 'cmd-ts';
import type { GuardName, Plan, SourceFault } from '@flamingocourse/core';
import type { PlannedFiles, SavedPlan } from '../../runtime/planFiles.js';
import type { CliError } from '../../utils/cliError.js';
import type { Operator } from '../../types/operator.js';
import type { Report } from '../report.js';
import { applyPlan, verdictReasons } from '../../runtime/applyPlan.js';
import { checkDeclarations, formatFault, guardNames, planChanges } from '@flamingocourse/core';
import { describeApplied, describePlan, planReason } from './describePlan.js';
import { outputArg, platformArgs, runOnPlatform } from '../commonArgs.js';
import { parseSavedPlan, planFiles } from '../../runtime/planFiles.js';
import { readSources, readText, writeText } from '../files.js';
import { Result } from 'true-myth';
import { finishCommand } from '../report.js';
import { loadObjects } from '../../runtime/loadObjects.js';
import { openBudgets } from '../../runtime/budget.js';
import { worstReason } from '../../utils/cliError.js';

const files = restPositionals({ displayName: 'files', description: 'files or directories' });

const acknowledge = multioption({
  type: array(oneOf<GuardName>(guardNames)),
  long: 'acknowledge',
  description: 'a guard rail to override; repeat for several',
});

const prune = flag({ long: 'prune', description: 'remove objects that are not in the files' });

/** `validate`: checks files without the platform. */
export const validateCommand = command({
  name: 'validate',
  description: 'check declaration files; needs no platform',
  args: { files, acknowledge, output: outputArg },
  handler: async ({ files: paths, acknowledge: acknowledged, output }) => {
    const sources = await readSources(paths);
    const report = sources.map((read): Report => {
      const { accepted, faults } = checkDeclarations(read);
      const plan = planChanges([], accepted, Date.now());
      return describeValidation(plan, faults, acknowledged);
    });
    finishCommand(report, output);
  },
});

/** `plan`: shows what apply would do. */
export const planCommand = command({
  name: 'plan',
  description: 'show what apply would change',
  args: {
    ...platformArgs,
    files,
    acknowledge,
    prune,
    save: option({ type: optional(string), long: 'save', description: 'file for the plan' }),
  },
  handler: async (args) => {
    await runOnPlatform(args, async (operator) => {
      const planned = await planPaths(operator, args.files, args.prune);
      if (planned.isErr) return Result.err(planned.error);
      const { plan } = planned.value;
      if (args.save !== undefined) {
        const saved = await writeText(args.save, `${JSON.stringify(plan, null, 2)}\n`);
        if (saved.isErr) return Result.err(saved.error);
      }
      const warnings = planWarnings(planned.value);
      const reason = planReason(plan, args.acknowledge);
      return Result.ok({ reason, json: plan, text: describePlan(plan), warnings });
    });
  },
});

/** `apply`: puts declarations into force. */
export const applyCommand = command({
  name: 'apply',
  description: 'put declarations in force',
  args: {
    ...platformArgs,
    files,
    acknowledge,
    prune,
    plan: option({ type: optional(string), long: 'plan', description: 'a saved plan' }),
  },
  handler: async (args) => {
    await runOnPlatform(args, async (operator) => {
      const planned = args.plan
        ? await loadPlan(operator, args.plan)
        : await planPaths(operator, args.files, args.prune);
      if (planned.isErr) return Result.err(planned.error);
      return applyPlanned(operator, planned.value, args.acknowledge);
    });
  },
});

async function planPaths(
  operator: Operator,
  paths: readonly string[],
  pruneAbsent: boolean,
): Promise<Result<PlannedFiles, CliError>> {
  const sources = await readSources(paths);
  if (sources.isErr) return Result.err(sources.error);
  return planFiles(operator, sources.value, pruneAbsent);
}

async function loadPlan(operator: Operator, file: string): Promise<Result<PlannedFiles, CliError>> {
  const text = await readText(file);
  const plan = text.andThen((content) => parseSavedPlan(content, file));
  if (plan.isErr) return Result.err(plan.error);
  const loaded = await loadObjects(operator.store);
  return loaded.map(({ objects }) => ({ plan: plan.value, current: objects }));
}

async function applyPlanned(
  operator: Operator,
  planned: PlannedFiles,
  acknowledged: readonly GuardName[],
): Promise<Result<Report, CliError>> {
  const { plan, current } = planned;
  const applied = await applyPlan(operator, plan.changes, current, acknowledged);
  const refused = applied.filter(({ verdict }) => verdict !== 'applied');
  const withheld = new Set(refused.map(({ object }) => object));
  const accounts = plan.accounts.filter(({ name }) => !withheld.has(`ClientAccount.${name}`));
  const opened = await openBudgets(operator, accounts);
  const reasons = applied.map(({ verdict }) => verdictReasons[verdict]);
  if (plan.faults.length > 0 || plan.blocked.length > 0) reasons.push('faults');
  if (opened.isErr) reasons.push(opened.error.code);
  const warnings = planWarnings(planned);
  if (opened.isErr) warnings.push(`A budget was not opened; apply again. ${opened.error.message}`);
  const budgets = opened.unwrapOr([]);
  return Result.ok({
    reason: worstReason(reasons),
    json: { applied, opened: budgets, faults: plan.faults, blocked: plan.blocked },
    text: describeApplied(applied, budgets),
    warnings,
  });
}

function describeValidation(
  plan: Plan,
  faults: readonly SourceFault[],
  acknowledged: readonly GuardName[],
): Report {
  const guards = plan.changes.flatMap(({ kind, name, guards: found }) =>
    found.map((finding) => ({ object: `${kind}.${name}`, ...finding })),
  );
  const open = guards.filter(({ guard }) => !acknowledged.includes(guard));
  const reasons = [
    faults.length > 0 ? 'faults' : 'ok',
    open.length > 0 ? 'guard-rail' : 'ok',
  ] as const;
  const warnings = open.map(
    ({ object, guard, message }) =>
      `${object}: ${guard}: ${message}. Needs --acknowledge ${guard}.`,
  );
  return {
    // A fault must be fixed in any case, so it takes precedence over a guard rail here.
    reason: reasons.includes('faults') ? 'faults' : worstReason(reasons),
    json: { sound: plan.changes.length, faults, guards },
    text: `${plan.changes.length} sound objects, ${faults.length} faults, ${open.length} guard rails`,
    warnings: [...faults.map(formatFault), ...warnings],
  };
}

function planWarnings({
  plan,
  pruneRefusal,
}: {
  plan: SavedPlan;
  pruneRefusal?: string;
}): string[] {
  const blocked = plan.blocked.map(({ kind, name, message }) => `${kind}.${name}: ${message}`);
  const refusal = pruneRefusal === undefined ? [] : [pruneRefusal];
  return [...plan.faults.map(formatFault), ...blocked, ...refusal];
}
