/** Plans the changes that bring what is in force to what the files say. */

import type { Declaration, DeclaredObject } from '../../types/declaration.js';
import type { GuardFinding, GuardName } from './guards.js';
import type { AccountId, EpochMs, Tokens } from '../../types/ids.js';
import type { ChangeType } from './storedDeclaration.js';
import type { ObjectKey } from './readDeclarations.js';
import { declarationKinds } from './declarationSchema.js';
import { findGuards } from './guards.js';
import { objectName } from './readDeclarations.js';

/** A planned change of one object, against the revision that it was planned upon. */
export interface PlannedChange extends ObjectKey {
  type: ChangeType;
  /** Revision that must still be in force when the change is made; 0 where there was no object. */
  fromRevision: number;
  before?: Declaration;
  after?: Declaration;
  /** Guard rails that the change meets. */
  guards: GuardFinding[];
}

/** A change that cannot be made, whatever is acknowledged. */
export interface BlockedChange extends ObjectKey {
  message: string;
}

/** What would change. */
export interface Plan {
  plannedAt: EpochMs;
  changes: PlannedChange[];
  unchanged: ObjectKey[];
  /** In force, absent from the files and left alone because pruning was not asked for. */
  kept: ObjectKey[];
  blocked: BlockedChange[];
}

/** What a plan takes into account besides the objects. */
export interface PlanOptions {
  /** Whether objects that are absent from the files are removed. @default false */
  prune?: boolean;
  /** Objects that are in the files and faulty; they stay as they are in force. */
  faulty?: readonly ObjectKey[];
  /** Unspent tokens by account; an absent account counts as unknown. */
  budgets?: ReadonlyMap<AccountId, Tokens>;
}

/**
 * Compares what is in force with what is wanted. Each change carries its own guard rails.
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

/** Guard rails of a plan that are not among the acknowledged ones. */
export function unacknowledgedGuards(
  change: PlannedChange,
  acknowledged: readonly GuardName[],
): GuardFinding[] {
  return change.guards.filter(({ guard }) => !acknowledged.includes(guard));
}

/** What would be in force once the changes are made. */
export function objectsAfter(
  current: readonly DeclaredObject[],
  changes: readonly PlannedChange[],
): Declaration[] {
  const changed = new Set(changes.map(objectName));
  const standing = current.filter((object) => !changed.has(objectName(object)));
  return [
    ...standing.map((object) => object.declaration),
    ...changes.map(({ after }) => after),
  ].filter((one) => one !== undefined);
}

/**
 * Says which reference a change would break, given what is in force at that moment. While a plan is
 * carried out an earlier change may have been withheld, so what the plan relied on may be missing.
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

/** Objects in force that neither the wanted nor the faulty objects name. */
function findAbsent(
  current: readonly DeclaredObject[],
  wanted: readonly Declaration[],
  faulty: readonly ObjectKey[],
): DeclaredObject[] {
  const named = new Set([...wanted, ...faulty].map(objectName));
  return current.filter((object) => object.declaration && !named.has(objectName(object)));
}

// what others still refer to is removed last, so no object ever refers to nothing
function planRemovals(
  removals: readonly DeclaredObject[],
  current: readonly DeclaredObject[],
  plan: Plan,
): void {
  const removed = new Set(removals.map(objectName));
  const standing = objectsAfter(
    current.filter((object) => !removed.has(objectName(object))),
    plan.changes,
  );
  const ordered = [...removals].sort((a, b) => kindRank(b.kind) - kindRank(a.kind));
  for (const object of ordered) {
    const user = standing.find((one) => refersTo(one, object));
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
  const world = {
    after: objectsAfter(current, plan.changes),
    countBefore: current.filter((object) => object.declaration).length,
    removals: plan.changes.filter(({ type }) => type === 'delete').length,
    budgets,
  };
  const changes = plan.changes.map((change) => ({ ...change, guards: findGuards(change, world) }));
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
