/** Plans the changes that turn the configuration in force into the one in the files. */

import type { Declaration, DeclaredObject } from '../../types/declaration.js';
import type { GuardFinding, GuardName } from './guards.js';
import type { AccountId, EpochMs, Tokens } from '../../types/ids.js';
import type { ChangeType } from './storedDeclaration.js';
import type { ObjectKey } from './readDeclarations.js';
import { declarationKinds } from './declarationSchema.js';
import { findGuards } from './guards.js';
import { objectName } from './readDeclarations.js';

/** A planned change of one object, based on a given revision of it. */
export interface PlannedChange extends ObjectKey {
  type: ChangeType;
  /** Revision that must still be in force when the change is made; 0 for a new object. */
  fromRevision: number;
  before?: Declaration;
  after?: Declaration;
  /** Guard rails that the change triggers. */
  guards: GuardFinding[];
}

/** A change that cannot be made, regardless of acknowledgements. */
export interface BlockedChange extends ObjectKey {
  message: string;
}

/** Result of comparing the files with the configuration in force. */
export interface Plan {
  plannedAt: EpochMs;
  changes: PlannedChange[];
  unchanged: ObjectKey[];
  /** Objects in force that are absent from the files and stay, because `prune` is not set. */
  kept: ObjectKey[];
  blocked: BlockedChange[];
}

/** Options of {@link planChanges}. */
export interface PlanOptions {
  /** Whether objects that are absent from the files are removed. @default false */
  prune?: boolean;
  /** Faulty objects in the files. Their versions in force stay unchanged. */
  faulty?: readonly ObjectKey[];
  /** Unspent tokens by account; the balance of an absent account is unknown. */
  budgets?: ReadonlyMap<AccountId, Tokens>;
}

/**
 * Compares the objects in force with the wanted ones. Each change lists the guard rails it
 * triggers.
 *
 * @example
 * const plan = planChanges(current, accepted, now, { prune: true, faulty });
 */
export function planChanges(
  current: readonly DeclaredObject[],
  wanted: readonly Declaration[],
  now: EpochMs,
  options: PlanOptions = {},
): Plan {
  const known = new Map(current.map((object) => [objectName(object), object]));
  const plan: Plan = { plannedAt: now, changes: [], unchanged: [], kept: [], blocked: [] };
  for (const after of sortByKind(wanted)) planWanted(after, known.get(objectName(after)), plan);
  const removals = findAbsent(current, wanted, options.faulty ?? []);
  if (options.prune) planRemovals(removals, current, plan);
  else plan.kept.push(...removals.map(keyOf));
  return addGuards(plan, current, options.budgets ?? new Map());
}

/** Guard rails of a change that are not acknowledged. */
export function unacknowledgedGuards(
  change: PlannedChange,
  acknowledged: readonly GuardName[],
): GuardFinding[] {
  return change.guards.filter(({ guard }) => !acknowledged.includes(guard));
}

/** Objects that would be in force after the changes. */
export function objectsAfter(
  current: readonly DeclaredObject[],
  changes: readonly PlannedChange[],
): Declaration[] {
  const changed = new Set(changes.map(objectName));
  const remaining = current.filter((object) => !changed.has(objectName(object)));
  return [
    ...remaining.map((object) => object.declaration),
    ...changes.map(({ after }) => after),
  ].filter((one) => one !== undefined);
}

/**
 * Describes the reference that a change would break, given the objects in force at that moment;
 * undefined if there is none. While a plan is applied, an earlier change may have been skipped, so
 * an object that the plan relied on may be missing.
 *
 * @example
 * const broken = findBrokenReference(change, inForce);
 */
export function findBrokenReference(
  change: PlannedChange,
  inForce: readonly Declaration[],
): string | undefined {
  const { after } = change;
  if (!after) {
    const user = inForce.find((one) => refersTo(one, change));
    return user && `${objectName(user)} still refers to it`;
  }
  const missing = referencesOf(after).find(
    (key) => !inForce.some((one) => objectName(one) === objectName(key)),
  );
  return missing && `${objectName(missing)} is not in force`;
}

function planWanted(after: Declaration, object: DeclaredObject | undefined, plan: Plan): void {
  const key = { kind: after.kind, name: after.name };
  const fromRevision = object?.revision ?? 0;
  const before = object?.declaration;
  if (!before) {
    plan.changes.push({ ...key, type: 'create', fromRevision, after, guards: [] });
    return;
  }
  if (isSameDeclaration(before, after)) {
    plan.unchanged.push(key);
    return;
  }
  plan.changes.push({ ...key, type: 'update', fromRevision, before, after, guards: [] });
}

/** Objects in force that are neither among the wanted nor among the faulty objects. */
function findAbsent(
  current: readonly DeclaredObject[],
  wanted: readonly Declaration[],
  faulty: readonly ObjectKey[],
): DeclaredObject[] {
  const named = new Set([...wanted, ...faulty].map(objectName));
  return current.filter((object) => object.declaration && !named.has(objectName(object)));
}

// an object is removed only after those that refer to it, so that no reference is ever broken
function planRemovals(
  removals: readonly DeclaredObject[],
  current: readonly DeclaredObject[],
  plan: Plan,
): void {
  const removed = new Set(removals.map(objectName));
  const remaining = objectsAfter(
    current.filter((object) => !removed.has(objectName(object))),
    plan.changes,
  );
  const ordered = [...removals].sort((a, b) => kindRank(b.kind) - kindRank(a.kind));
  for (const object of ordered) {
    const user = remaining.find((one) => refersTo(one, object));
    if (user) {
      const message = `${objectName(user)} still refers to it. Change that object first.`;
      plan.blocked.push({ ...keyOf(object), message });
      continue;
    }
    const before = object.declaration;
    const fromRevision = object.revision;
    const change = { ...keyOf(object), type: 'delete' as const, fromRevision, guards: [] };
    plan.changes.push(before ? { ...change, before } : change);
  }
}

function addGuards(
  plan: Plan,
  current: readonly DeclaredObject[],
  budgets: ReadonlyMap<AccountId, Tokens>,
): Plan {
  const context = {
    after: objectsAfter(current, plan.changes),
    countBefore: current.filter((object) => object.declaration).length,
    removals: plan.changes.filter(({ type }) => type === 'delete').length,
    budgets,
  };
  const changes = plan.changes.map((change) => ({
    ...change,
    guards: findGuards(change, context),
  }));
  return { ...plan, changes };
}

function refersTo(user: Declaration, object: ObjectKey): boolean {
  return referencesOf(user).some((key) => objectName(key) === objectName(object));
}

function referencesOf(declaration: Declaration): ObjectKey[] {
  if (declaration.kind === 'WorkClass') return [{ kind: 'Service', name: declaration.service }];
  if (declaration.kind !== 'ClientAccount' || !declaration.defaultClass) return [];
  return [{ kind: 'WorkClass', name: declaration.defaultClass }];
}

function sortByKind(declarations: readonly Declaration[]): Declaration[] {
  return [...declarations].sort((a, b) => kindRank(a.kind) - kindRank(b.kind));
}

function kindRank(kind: Declaration['kind']): number {
  return declarationKinds.indexOf(kind);
}

function keyOf(object: ObjectKey): ObjectKey {
  return { kind: object.kind, name: object.name };
}

/** Compares two declarations; the order of their keys does not matter. */
export function isSameDeclaration(left: Declaration, right: Declaration): boolean {
  return canonicalJson(left) === canonicalJson(right);
}

function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_, part: unknown) => {
    if (typeof part !== 'object' || part === null || Array.isArray(part)) return part;
    return Object.fromEntries(Object.entries(part).sort(([a], [b]) => (a < b ? -1 : 1)));
  });
}
