/**
 * Replays traces of the specification against the real reducers: each action is taken in the small
 * world too, and both states are compared after it.
 */

import type { Step, StepType, World, WorldSetup } from './types.js';
import type { ProtocolRules } from './rules.js';
import { Result } from 'true-myth';
import { z } from 'zod';
import { LabError } from '../../utils/labError.js';
import { createWorld } from './createWorld.js';
import { decodeItf } from './decodeItf.js';
import { projectModel, projectWorld } from './projection.js';
import { coreRules } from './rules.js';
import { takeStep } from './walk.js';

/** The world of the specification. */
export const SPEC_SETUP: WorldSetup = {
  holders: [
    { id: 'a1', witnesses: ['a2'] },
    { id: 'a2', witnesses: ['a1'] },
    { id: 'b1', witnesses: [] },
  ],
  openingTokens: 4,
  grantedAtStart: 0,
  sliceAtStart: 0,
  maxLines: 6,
};

const traceSchema = z.object({ states: z.array(z.record(z.string(), z.unknown())).min(1) });

const pick = <T extends z.ZodType>(value: T) => z.object({ tag: z.literal('Some'), value });

const picksSchema = z.object({
  h: pick(z.string()),
  d: pick(z.string()),
  amount: pick(z.number()),
  req: pick(z.number()),
  revision: pick(z.number()),
});

/** Steps that the specification may take with no effect. */
const MAY_DO_NOTHING: readonly StepType[] = ['readJournal', 'deliver', 'grant', 'merge'];

/**
 * Replays one trace; gives the number of steps, or what differs first.
 *
 * @example
 * replayTrace(JSON.parse(await readFile('trace.itf.json', 'utf8')));
 */
export function replayTrace(
  trace: unknown,
  rules: ProtocolRules = coreRules,
): Result<number, LabError> {
  const states = traceSchema.parse(trace).states.map(decodeItf);
  let world = createWorld(SPEC_SETUP);
  for (const [index, state] of states.entries()) {
    if (index > 0) {
      const step = stepOf(state);
      const next = takeStep(world, step, rules, SPEC_SETUP.maxLines);
      if (!next && !MAY_DO_NOTHING.includes(step.type))
        return fault(index, step, 'is not possible');
      world = next ?? world;
    }
    const difference = findDifference(world, state);
    if (difference) return fault(index, index > 0 ? stepOf(state) : undefined, difference);
  }
  return Result.ok(states.length - 1);
}

function stepOf(state: Record<string, unknown>): Step {
  const type = z.string().parse(state['mbt::actionTaken']) as StepType;
  const picks = picksSchema.parse(state['mbt::nondetPicks']);
  const holder = picks.h.value;
  return {
    type,
    holder,
    dataCentre: picks.d.value,
    peer: holder === 'a1' ? 'a2' : 'a1',
    amount: amountOf(type, picks.amount.value, picks.revision.value),
    request: picks.req.value,
  };
}

/** Some actions of the specification have a fixed amount, or another meaning of it. */
function amountOf(type: StepType, picked: number, revision: number): number {
  if (type === 'merge') return revision;
  if (type === 'copyGrant') return 0;
  if (type === 'give' || type === 'startReturn') return 1;
  return picked;
}

function findDifference(world: World, state: Record<string, unknown>): string | undefined {
  const real = projectWorld(world);
  const model = projectModel(state);
  const name = Object.keys(real).find((key) => real[key] !== model[key]);
  if (name === undefined) return undefined;
  return `leaves ${name} as ${real[name] ?? ''}, the specification as ${model[name] ?? ''}`;
}

function fault(index: number, step: Step | undefined, what: string): Result<number, LabError> {
  const name = step ? `${step.type}(${step.holder}, ${step.dataCentre}, ${step.amount})` : 'init';
  return Result.err(new LabError('trace-differs', `step ${index}, ${name}, ${what}.`));
}
