/** Operators on an in-memory platform, and small declaration files. */

import type { Operator } from '@flamingocourse/cli';
import { createOperatorStore, planFiles, applyPlan } from '@flamingocourse/cli';
import type { AppliedChange, PlannedFiles } from '@flamingocourse/cli';
import type { GuardName } from '@flamingocourse/core';
import type { MemoryObjectStore } from '@flamingocourse/store';
import assert from 'node:assert/strict';

export const now = 1_700_000_000_000;

let ids = 0;

export function createOperator(who: string, objects: MemoryObjectStore): Operator {
  const newId = (): string => `change-${(ids += 1)}`;
  return { store: createOperatorStore(objects), who, ledgerPages: 1, now: () => now, newId };
}

export const serviceText = `{ "kind": "Service", "name": "deel-llm", "type": "model", "models": ["deel"], "discovery": { "instanceList": "deel-llm" } }`;

export function classText(name: string, more = ''): string {
  return `{ "kind": "WorkClass", "name": "${name}", "service": "deel-llm", "target": { "firstTokenMs": 800, "completeMs": 20000 }, ${more} }`;
}

export function accountText(name: string, digit: string): string {
  return `{ "kind": "ClientAccount", "name": "${name}", "apiKeyDigests": ["${digit.repeat(64)}"], "openingTokens": 1000 }`;
}

export async function plan(
  operator: Operator,
  objects: string[],
  prune = false,
): Promise<PlannedFiles> {
  const text = `[${objects.join(',')}]`;
  const planned = await planFiles(operator, [{ file: 'f.jsonc', text }], prune);
  return planned.unwrapOrElse((err) => assert.fail(err.message));
}

export async function apply(
  operator: Operator,
  planned: PlannedFiles,
  acknowledged: GuardName[] = [],
): Promise<AppliedChange[]> {
  return applyPlan(operator, planned.plan.changes, planned.current, acknowledged);
}

export function verdicts(applied: AppliedChange[]): Record<string, string> {
  return Object.fromEntries(applied.map(({ object, verdict }) => [object, verdict]));
}
