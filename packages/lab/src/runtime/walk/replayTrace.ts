/**
 * Replays traces of the specification against the production reducers: each action is also taken in
 * the model, and the two states are compared after it.
 */

import type { Step, StepType, SystemState, SystemSetup } from './types.js';
import type { ProtocolRules } from './rules.js';
import { entryOf, tableSchema } from '@flamingocourse/core';
import { Result } from 'true-myth';
import { z } from 'zod';
import { LabError } from '../../utils/labError.js';
import { createInitialState } from './initialState.js';
import { decodeItf } from './decodeItf.js';
import { projectModel, projectSystem } from './projection.js';
import { coreRules } from './rules.js';
import { takeStep } from './walk.js';

/** Setup that equals the initial state of the specification. */
export const SPEC_SETUP: SystemSetup = {
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

const traceSchema = z.object({ states: z.array(tableSchema(z.string(), z.unknown())).min(1) });

const pick = <T extends z.ZodType>(value: T) => z.object({ tag: z.literal('Some'), value });

const picksSchema = z.object({
  h: pick(z.string()),
  d: pick(z.string()),
  amount: pick(z.number()),
  req: pick(z.number()),
  revision: pick(z.number()),
});

/** Steps that the specification may take without any effect. */
const MAY_DO_NOTHING: readonly StepType[] = ['readJournal', 'deliver', 'grant', 'merge'];

/**
 * Replays one trace. Returns the number of steps, or `trace-differs` with the first difference.
 *
 * @example
 * replayTrace(JSON.parse(await readFile('trace.itf.json', 'utf8')));
 */
export function replayTrace(
  trace: unknown,
  rules: ProtocolRules = coreRules,
): Result<number, LabError> {
  const states = traceSchema.parse(trace).states.map(decodeItf);
  let system = createInitialState(SPEC_SETUP);
  for (const [index, state] of states.entries()) {
    if (index > 0) {
      const step = stepOf(state);
      const next = takeStep(system, step, rules, SPEC_SETUP.maxLines);
      if (!next && !MAY_DO_NOTHING.includes(step.type))
        return differenceAt(index, step, 'is not possible');
      system = next ?? system;
    }
    const difference = findDifference(system, state);
    if (difference) return differenceAt(index, index > 0 ? stepOf(state) : undefined, difference);
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

/** Amount of a step; some actions have a fixed one, and that of `merge` is the revision. */
function amountOf(type: StepType, picked: number, revision: number): number {
  if (type === 'merge') return revision;
  if (type === 'copyGrant') return 0;
  if (type === 'give' || type === 'startReturn') return 1;
  return picked;
}

function findDifference(system: SystemState, state: Record<string, unknown>): string | undefined {
  const actual = projectSystem(system);
  const expected = projectModel(state);
  const name = Object.keys(actual).find((key) => entryOf(actual, key) !== entryOf(expected, key));
  if (name === undefined) return undefined;
  return `leaves ${name} as ${entryOf(actual, name) ?? ''}, the specification as ${entryOf(expected, name) ?? ''}`;
}

function differenceAt(
  index: number,
  step: Step | undefined,
  what: string,
): Result<number, LabError> {
  const name = step ? `${step.type}(${step.holder}, ${step.dataCentre}, ${step.amount})` : 'init';
  return Result.err(new LabError('trace-differs', `step ${index}, ${name}, ${what}.`));
}
