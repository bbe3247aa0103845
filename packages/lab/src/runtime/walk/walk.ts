/** Breadth-first walk through every state of a small world, up to a depth. */

import type { ProtocolRules } from './rules.js';
import type { Step, World, WorldSetup } from './types.js';
import type { Violation } from './findViolation.js';
import { createWorld } from './createWorld.js';
import { findViolation } from './findViolation.js';
import { requestSteps } from './requestSteps.js';
import { coreRules } from './rules.js';
import { StateKeys } from './stateKey.js';
import { storeSteps } from './storeSteps.js';

/** A world with the steps that may be taken in it. */
export interface Scope {
  readonly name: string;
  readonly setup: WorldSetup;
  readonly steps: readonly Step[];
  /** Steps from the first state. */
  readonly maxDepth: number;
  /** Depth of the larger walk, by command. */
  readonly fullDepth: number;
}

/** Bounds of a walk. */
export interface WalkOptions {
  readonly rules?: ProtocolRules;
  readonly maxDepth?: number;
  /** The walk ends unfinished beyond so many states. */
  readonly maxStates?: number;
}

/** What a walk found. */
export interface WalkResult {
  readonly scope: string;
  readonly states: number;
  readonly depth: number;
  /** `whole`: no state is left; `depth`: all within the depth; `states`: given up. */
  readonly end: 'whole' | 'depth' | 'states' | 'violation';
  readonly violation?: Violation;
  /** Shortest way to the violation. */
  readonly trace?: readonly Step[];
  /** Requests that some state shows as answered. */
  readonly answered: number;
}

interface Node {
  readonly world: World;
  readonly step?: Step;
  readonly from?: Node;
}

const DEFAULT_MAX_STATES = 2_000_000;

/** Takes one step; nothing when it is not possible in this state. */
export function takeStep(
  world: World,
  step: Step,
  rules: ProtocolRules,
  maxLines: number,
): World | undefined {
  const stepFunction = storeSteps[step.type] ?? requestSteps[step.type];
  return stepFunction?.(world, step, rules, maxLines);
}

/**
 * Walks through a scope and stops at the first state in which something is wrong.
 *
 * @example
 * walk(scopes.seal).violation === undefined;
 */
export function walk(scope: Scope, options: WalkOptions = {}): WalkResult {
  const { rules = coreRules, maxDepth = scope.maxDepth, maxStates = DEFAULT_MAX_STATES } = options;
  const keys = new StateKeys();
  const first: Node = { world: createWorld(scope.setup) };
  const seen = new Set([keys.keyOf(first.world)]);
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
        const key = keys.keyOf(child.world);
        if (seen.has(key)) continue;
        seen.add(key);
        for (const request of child.world.observed.answered) answered.add(request);
        if (findViolation(child.world)) return result(depth, 'violation', child);
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
    const world = takeStep(node.world, step, rules, scope.setup.maxLines);
    if (world && world !== node.world) children.push({ world, step, from: node });
  }
  return children;
}

function describe(node: Node): Pick<WalkResult, 'violation' | 'trace'> {
  const trace: Step[] = [];
  for (let at: Node | undefined = node; at?.step; at = at.from) trace.unshift(at.step);
  const violation = findViolation(node.world);
  return violation ? { violation, trace } : { trace };
}
