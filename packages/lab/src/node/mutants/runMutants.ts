/** Walks every mutant until it is caught, and the unbroken protocol to the end. */

import type { Mutant, WalkResult } from '../../runtime/walk/index.js';
import Table from 'cli-table3';
import { coreRules, mutantList, scopes, walk } from '../../runtime/walk/index.js';

/** What became of one mutant. */
export interface MutantResult {
  readonly name: string;
  /** The walk that caught it; none if it survived. */
  readonly caught?: WalkResult;
  /** States seen until then, in all scopes. */
  readonly states: number;
}

/** What all walks found. */
export interface MutantReport {
  readonly unbroken: readonly WalkResult[];
  readonly mutants: readonly MutantResult[];
}

/** States per scope, for a mutant. */
const MUTANT_STATES = 60_000;

/** States per scope, for the unbroken protocol. */
const UNBROKEN_STATES = 150_000;

/**
 * Runs everything; `fail` in the report is for the caller to judge.
 *
 * @example
 * const report = runMutants();
 * hasFailed(report);
 */
export function runMutants(list: readonly Mutant[] = mutantList): MutantReport {
  const unbroken = scopes.map((scope) =>
    walk(scope, { rules: coreRules, maxDepth: scope.fullDepth, maxStates: UNBROKEN_STATES }),
  );
  return { unbroken, mutants: list.map(catchMutant) };
}

/** Walks the scopes, its own first, until one catches the mutant. */
export function catchMutant({ name, scope: first, rules }: Mutant): MutantResult {
  const others = scopes.filter((scope) => scope.name !== first);
  let states = 0;
  for (const scope of [...scopes.filter((one) => one.name === first), ...others]) {
    const result = walk(scope, { rules, maxStates: MUTANT_STATES });
    states += result.states;
    if (result.violation) return { name, caught: result, states };
  }
  return { name, states };
}

/** Whether a mutant survived or the unbroken protocol is wrong. */
export function hasFailed({ unbroken, mutants }: MutantReport): boolean {
  return unbroken.some((one) => one.violation) || mutants.some((one) => !one.caught);
}

/** Prints both tables. */
export function renderMutants({ unbroken, mutants }: MutantReport): string {
  const walks = new Table({ head: ['scope', 'states', 'depth', 'end', 'violation'] });
  for (const one of unbroken) {
    walks.push([one.scope, one.states, one.depth, one.end, one.violation ?? 'none']);
  }
  const caught = new Table({ head: ['mutant', 'caught by', 'scope', 'steps', 'states'] });
  for (const { name, caught: by, states } of mutants) {
    const cells = by ? [by.violation ?? '', by.scope, by.depth] : ['SURVIVED', '', ''];
    caught.push([name, ...cells, states]);
  }
  return `${walks.toString()}\n${caught.toString()}`;
}
