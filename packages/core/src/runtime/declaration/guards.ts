/** Guard rails: valid changes that are probably mistakes need an explicit acknowledgement. */

import type {
  ClientAccountDeclaration,
  Declaration,
  ServiceDeclaration,
  WorkClassDeclaration,
} from '../../types/declaration.js';
import type { AccountId, Tokens } from '../../types/ids.js';
import { objectName } from './readDeclarations.js';

/** All guard rails; operators write these names after `--acknowledge`. */
export const guardNames = [
  'share-over-100',
  'unreachable-target',
  'refuses-whole-class',
  'mass-removal',
  'removes-account-with-budget',
  'replaces-all-keys',
  'allows-repeats',
] as const;

export type GuardName = (typeof guardNames)[number];

/** A guard rail that a change triggers. */
export interface GuardFinding {
  guard: GuardName;
  /** Sentence that says what the change would cause. */
  message: string;
}

/** The versions of an object before and after a change. */
export interface GuardedChange {
  before?: Declaration;
  after?: Declaration;
}

/** Information about the whole plan that the guards use. */
export interface GuardContext {
  /** All objects that would be in force after the plan. */
  after: readonly Declaration[];
  /** Number of objects in force before the plan. */
  countBefore: number;
  /** Number of objects that the plan removes. */
  removals: number;
  /** Unspent tokens by account; the balance of an absent account is unknown. */
  budgets: ReadonlyMap<AccountId, Tokens>;
}

/** Lower bound of the time to the first token of any engine, network included. */
const fastestFirstTokenMs = 5;
/** Lower bound of the time between later tokens of any engine. */
const fastestTokenMs = 2;
/** Up to this number of removals, the guard `mass-removal` is never triggered. */
const maxUnguardedRemovals = 2;
/** Fraction of all objects above which removals trigger the guard `mass-removal`. */
const massRemovalFraction = 0.2;
/** Tolerance for sums of decimal fractions. */
export const shareTolerance = 1e-9;

/** Returns all guard rails that a change triggers. */
export function findGuards(change: GuardedChange, context: GuardContext): GuardFinding[] {
  const { before, after } = change;
  if (!after) return before ? guardRemoval(before, context) : [];
  switch (after.kind) {
    case 'WorkClass':
      return guardWorkClass(before?.kind === 'WorkClass' ? before : undefined, after, context);
    case 'ClientAccount':
      return before?.kind === 'ClientAccount' ? guardKeys(before, after) : [];
    case 'Service':
      return before?.kind === 'Service' ? guardModels(before, after) : [];
    case 'Deployment':
      return [];
  }
}

function guardWorkClass(
  before: WorkClassDeclaration | undefined,
  after: WorkClassDeclaration,
  context: GuardContext,
): GuardFinding[] {
  const findings = [...guardShares(after, context), ...guardTarget(after, context)];
  if (after.budgetShare === 0) {
    const message = `a budget share of 0 refuses every request of "${after.name}"`;
    findings.push({ guard: 'refuses-whole-class', message });
  }
  if (after.idempotent && isNonIdempotent(before, after, context)) {
    const message = `a request of "${after.name}" could then run more than once, such as a second booking`;
    findings.push({ guard: 'allows-repeats', message });
  }
  return findings;
}

function isNonIdempotent(
  before: WorkClassDeclaration | undefined,
  after: WorkClassDeclaration,
  context: GuardContext,
): boolean {
  if (before) return !before.idempotent;
  return findService(after.service, context)?.type === 'plain';
}

// a class with a share of 1 is not capped, and only capped classes are counted
function guardShares(after: WorkClassDeclaration, context: GuardContext): GuardFinding[] {
  if (after.budgetShare === 1) return [];
  const capped = context.after
    .filter((one) => one.kind === 'WorkClass')
    .filter((one) => one.service === after.service && one.budgetShare < 1);
  const sum = capped.reduce((total, one) => total + one.budgetShare, 0);
  if (sum <= 1 + shareTolerance) return [];
  const names = capped.map((one) => one.name).join(', ');
  const message = `the shares of ${names} add up to ${Math.round(sum * 100)} % of the budget`;
  return [{ guard: 'share-over-100', message }];
}

function guardTarget(after: WorkClassDeclaration, context: GuardContext): GuardFinding[] {
  if (findService(after.service, context)?.type !== 'model') return [];
  const { firstTokenMs, completeMs } = after.target;
  const findings: GuardFinding[] = [];
  if (firstTokenMs < fastestFirstTokenMs) {
    const message = `no engine gives a first token within ${firstTokenMs} ms`;
    findings.push({ guard: 'unreachable-target', message });
  }
  const fastestMs = fastestFirstTokenMs + after.maxOutputTokens * fastestTokenMs;
  if (completeMs < fastestMs) {
    const message = `an answer of ${after.maxOutputTokens} tokens takes at least ${fastestMs} ms and completeMs is ${completeMs}`;
    findings.push({ guard: 'unreachable-target', message });
  }
  return findings;
}

function guardKeys(
  before: ClientAccountDeclaration,
  after: ClientAccountDeclaration,
): GuardFinding[] {
  if (after.apiKeyDigests.some((digest) => before.apiKeyDigests.includes(digest))) return [];
  const message = `all callers of "${after.name}" would be refused until they use the new keys; add a key first and remove the old ones later`;
  return [{ guard: 'replaces-all-keys', message }];
}

function guardModels(before: ServiceDeclaration, after: ServiceDeclaration): GuardFinding[] {
  const lost = before.models.filter((model) => !after.models.includes(model));
  if (lost.length === 0) return [];
  const message = `every request for ${lost.join(', ')} would be refused`;
  return [{ guard: 'refuses-whole-class', message }];
}

function guardRemoval(before: Declaration, context: GuardContext): GuardFinding[] {
  const findings: GuardFinding[] = [];
  const name = objectName(before);
  if (
    context.removals > Math.max(maxUnguardedRemovals, context.countBefore * massRemovalFraction)
  ) {
    const message = `${context.removals} of ${context.countBefore} objects would be removed, ${name} among them`;
    findings.push({ guard: 'mass-removal', message });
  }
  if (before.kind === 'WorkClass' || before.kind === 'Service') {
    const message = `every request of "${before.name}" would be refused`;
    findings.push({ guard: 'refuses-whole-class', message });
  }
  if (before.kind === 'ClientAccount') findings.push(...guardBudget(before, context));
  return findings;
}

function guardBudget(before: ClientAccountDeclaration, context: GuardContext): GuardFinding[] {
  const left = context.budgets.get(before.name);
  if (left !== undefined && left <= 0) return [];
  const amount = left === undefined ? 'an unknown number of' : String(left);
  const message = `"${before.name}" still has ${amount} prepaid tokens, which nobody could spend`;
  return [{ guard: 'removes-account-with-budget', message }];
}

function findService(name: string, context: GuardContext): ServiceDeclaration | undefined {
  return context.after.filter((one) => one.kind === 'Service').find((one) => one.name === name);
}
