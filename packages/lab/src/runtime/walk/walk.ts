/**
 * Exhaustive breadth-first walk: visits every reachable state of a small model up to a depth, and
 * checks the invariants in each.
 */

import type { ProtocolRules } from './rules.js';
import type { Step, SystemState, SystemSetup } from './types.js';
import type { Violation } from './findViolation.js';
import { createInitialState } from './initialState.js';
import { findViolation } from './findViolation.js';
import { requestSteps } from './requestSteps.js';
import { coreRules } from './rules.js';
import { StateKeys } from './stateKey.js';
import { storeSteps } from './storeSteps.js';

/** A setup with the steps that may be taken from it. */
export interface Scope {
  readonly name: string;
  readonly setup: SystemSetup;
  readonly steps: readonly Step[];
  /** Maximum number of steps from the initial state. */
  readonly maxDepth: number;
  /** Maximum number of steps in the larger walk of the mutant report. */
  readonly fullDepth: number;
}

/** Bounds of a walk. */
export interface WalkOptions {
  readonly rules?: ProtocolRules;
  readonly maxDepth?: number;
  /** The walk stops unfinished at this number of states. @default 2,000,000 */
  readonly maxStates?: number;
}

/** Result of a walk. */
export interface WalkResult {
  readonly scope: string;
  readonly states: number;
  readonly depth: number;
  /** `whole`: all reachable states; `depth`: all within the depth; `states`: stopped at the limit. */
  readonly end: 'whole' | 'depth' | 'states' | 'violation';
  readonly violation?: Violation;
  /** Shortest sequence of steps to the violation. */
  readonly trace?: readonly Step[];
  /** Number of requests that are answered in at least one state. */
  readonly answered: number;
}

interface Node {
  readonly system: SystemState;
  readonly step?: Step;
  readonly from?: Node;
}

const DEFAULT_MAX_STATES = 2_000_000;

/** Takes one step; `undefined` when it is not possible in this state. */
export function takeStep(
  system: SystemState,
  step: Step,
  rules: ProtocolRules,
  maxLines: number,
): SystemState | undefined {
  const stepFunction = storeSteps[step.type] ?? requestSteps[step.type];
  return stepFunction?.(system, step, rules, maxLines);
}

/**
 * Walks through a scope and stops at the first state that breaks an invariant.
 *
 * @example
 * const seal = scopes.find((scope) => scope.name === 'seal');
 * walk(seal).violation === undefined;
 */
export function walk(scope: Scope, options: WalkOptions = {}): WalkResult {
  const { rules = coreRules, maxDepth = scope.maxDepth, maxStates = DEFAULT_MAX_STATES } = options;
  const keys = new StateKeys();
  const first: Node = { system: createInitialState(scope.setup) };
  const seen = new Set([keys.keyOf(first.system)]);
  const answered = new Set<number>();
  let level: Node[] = [first];
  const result = (depth: number, end: WalkResult['end'], at?: Node): WalkResult => ({
    scope: scope.name,
    states: seen.size,
    depth,
    end,
    answered: answered.size,
    ...(at && describe(at)),
  });
  for (let depth = 1; depth <= maxDepth; depth += 1) {
    const next: Node[] = [];
    for (const node of level) {
      for (const child of childrenOf(node, scope, rules)) {
        const key = keys.keyOf(child.system);
        if (seen.has(key)) continue;
        seen.add(key);
        for (const request of child.system.observed.answered) answered.add(request);
        if (findViolation(child.system)) return result(depth, 'violation', child);
        if (seen.size >= maxStates) return result(depth, 'states');
        next.push(child);
      }
    }
    if (next.length === 0) return result(depth - 1, 'whole');
    level = next;
  }
  return result(maxDepth, 'depth');
}

function childrenOf(node: Node, scope: Scope, rules: ProtocolRules): Node[] {
  const children: Node[] = [];
  for (const step of scope.steps) {
    const system = takeStep(node.system, step, rules, scope.setup.maxLines);
    if (system && system !== node.system) children.push({ system, step, from: node });
  }
  return children;
}

function describe(node: Node): Pick<WalkResult, 'violation' | 'trace'> {
  const trace: Step[] = [];
  for (let at: Node | undefined = node; at?.step; at = at.from) trace.unshift(at.step);
  const violation = findViolation(node.system);
  return violation ? { violation, trace } : { trace };
}
