/** Model-checks each mutant until a violation is found, and the correct protocol up to a limit. */

import type { Mutant, WalkResult } from '../../runtime/walk/index.js';
import Table from 'cli-table3';
import { coreRules, mutantList, scopes, walk } from '../../runtime/walk/index.js';

/** Result for one mutant. */
export interface MutantResult {
  readonly name: string;
  /** The walk that found a violation; absent if the mutant survived. */
  readonly caught?: WalkResult;
  /** States explored until then, in all scopes. */
  readonly states: number;
}

/** Results of all walks. */
export interface MutantReport {
  readonly unbroken: readonly WalkResult[];
  readonly mutants: readonly MutantResult[];
}

/** Limit of states per scope for a mutant. */
const MUTANT_STATES = 60_000;

/** Limit of states per scope for the correct protocol. */
const UNBROKEN_STATES = 150_000;

/**
 * Walks the correct protocol and all mutants; pass the report to {@link hasFailed}.
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

/** Walks the scopes, beginning with the mutant's own, until one finds a violation. */
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

/** Returns whether a mutant survived or the correct protocol has a violation. */
export function hasFailed({ unbroken, mutants }: MutantReport): boolean {
  return unbroken.some((one) => one.violation) || mutants.some((one) => !one.caught);
}

/** Renders both results as text tables. */
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
