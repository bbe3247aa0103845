/** Promise 8: accepted changes come into force at every reachable router and never revert. */

import type { ServiceDeclaration } from '@flamingocourse/core';
import type { PhaseContext } from './loadPhase.js';
import type { ProveDeployment } from './proveDeployment.js';
import { setTimeout as delay } from 'node:timers/promises';
import { setEntry } from '@flamingocourse/core';
import { z } from 'zod';
import {
  MODEL_SERVICE,
  PROVE_MODEL,
  proveAccounts,
  writeDeclarations,
} from './proveDeclarations.js';
import { readAll } from './proveDeployment.js';
import { watchRevisions } from './watchers.js';

/** Time limit for an accepted change to be in force. */
const IN_FORCE_MS = 3_000;
/** Wait for a change that missed the time limit, to measure its delay. */
const WAIT_LIMIT_MS = 20_000;
const MAX_ATTEMPTS = 12;
const POLL_MS = 100;
const CALL_TIMEOUT_MS = 1_000;

/** Each change removes the model of the previous change, which requires an acknowledgement. */
const ACKNOWLEDGEMENTS = [
  '--acknowledge',
  'refuses-whole-class',
  '--acknowledge',
  'allows-repeats',
];

const modelsSchema = z.object({ data: z.array(z.object({ id: z.string() })) });

/** Time in which each accepted change reached all routers. */
export interface ConfigurationFigures {
  phase: 'configuration';
  inForceAfterMs: Record<string, number>;
  revisionSamples: number;
}

/** Runs the changes one after another. */
export async function runConfigurationPhase(context: PhaseContext): Promise<ConfigurationFigures> {
  const { deployment, findings } = context;
  context.onProgress('phase configuration: changes under faults');
  const watch = watchRevisions(deployment.fleet);
  const inForceAfterMs: ConfigurationFigures['inForceAfterMs'] = {};
  for (const [index, change] of changes.entries()) {
    const problems = await change.make(deployment, `${PROVE_MODEL}-${index}`);
    const { afterMs, late } = await waitUntilInForce(deployment);
    setEntry(inForceAfterMs, change.name, afterMs);
    const violations = [...problems, ...late].map((text) => `${change.name}: ${text}`);
    findings.add(8, { faults: [change.name], checks: 1, violations });
    await change.undo?.(deployment);
  }
  await delay(IN_FORCE_MS);
  const { late } = await waitUntilInForce(deployment);
  findings.add(8, { checks: 1, violations: late.map((text) => `at the end: ${text}`) });
  watch.stop();
  findings.add(8, { checks: watch.samples, violations: watch.violations });
  return { phase: 'configuration', inForceAfterMs, revisionSamples: watch.samples };
}

interface Change {
  name: string;
  /** Makes the change; returns descriptions of problems. */
  make: (deployment: ProveDeployment, model: string) => Promise<string[]>;
  undo?: (deployment: ProveDeployment) => Promise<unknown> | undefined;
}

const changes: Change[] = [
  { name: 'no fault', make: apply },
  {
    name: 'replies to apply lost',
    make: applyWithLostReplies,
    undo: (deployment) => {
      deployment.platform.setFaults('operators', { lostReplies: 0 });
    },
  },
  {
    name: 'platform silent for one data centre',
    make: (deployment, model) => {
      deployment.platform.setFaults(deployment.plan.dataCentres[1] ?? '', { outage: 'silent' });
      return apply(deployment, model);
    },
    undo: (deployment) => {
      deployment.platform.setFaults('all', { outage: 'none' });
    },
  },
  {
    name: 'watches of all data centres say nothing',
    make: (deployment, model) => {
      deployment.platform.setFaults('all', { freezeWatch: true });
      return apply(deployment, model);
    },
    undo: (deployment) => {
      deployment.platform.setFaults('all', { freezeWatch: false });
    },
  },
  { name: 'two operators at once', make: applyConcurrently },
  {
    name: 'router killed and restarted',
    make: async (deployment, model) => {
      const problems = await apply(deployment, model);
      await deployment.fleet.kill(4);
      await deployment.fleet.restart(4);
      return problems;
    },
  },
];

async function apply(deployment: ProveDeployment, model: string): Promise<string[]> {
  const file = await writeDeclarations(deployment.directory, model, [PROVE_MODEL, model]);
  const end = await deployment.operate('apply', file, ...ACKNOWLEDGEMENTS);
  const accepted = storedModels(deployment).includes(model);
  if (end.code === 0) return accepted ? [] : ['apply exited with 0 but the change is not stored'];
  return [`apply exited with ${end.code}: ${end.output}`];
}

/** Half of the replies are lost; the operator repeats the command until it succeeds. */
async function applyWithLostReplies(deployment: ProveDeployment, model: string): Promise<string[]> {
  deployment.platform.setFaults('operators', { lostReplies: 0.5 });
  let problems: string[] = [];
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    problems = await apply(deployment, model);
    // an error without a stored change is correct, and the operator retries; an error although the
    // change was stored is a violation.
    const stored = storedModels(deployment).includes(model);
    if (problems.length === 0) return [];
    if (stored) return problems;
  }
  return problems;
}

/**
 * Two operators apply at the same time. Both may be accepted, one after the other; the stored
 * change must be one of those that exited with 0.
 */
async function applyConcurrently(deployment: ProveDeployment, model: string): Promise<string[]> {
  const names = [`${model}-one`, `${model}-two`];
  const files = await Promise.all(
    names.map((name) => writeDeclarations(deployment.directory, name, [PROVE_MODEL, name])),
  );
  const ends = await Promise.all(
    files.map((file) => deployment.operate('apply', file, ...ACKNOWLEDGEMENTS)),
  );
  const acceptedNames = names.filter((_, index) => ends[index]?.code === 0);
  const stored = storedModels(deployment).find((name) => names.includes(name));
  if (acceptedNames.length === 0) return ['neither of two operators was accepted'];
  if (stored !== undefined && acceptedNames.includes(stored)) return [];
  return [`${acceptedNames.join(' and ')} accepted, and ${stored ?? 'neither'} is stored`];
}

/** Waits until every running router serves the models of the stored configuration. */
async function waitUntilInForce(
  deployment: ProveDeployment,
): Promise<{ afterMs: number; late: string[] }> {
  const startedAt = performance.now();
  for (;;) {
    const late = await findOutdatedRouters(deployment);
    const afterMs = Math.round(performance.now() - startedAt);
    if (late.length === 0 && afterMs <= IN_FORCE_MS) return { afterMs, late };
    if (late.length === 0) return { afterMs, late: [`in force only after ${afterMs} ms`] };
    if (afterMs > WAIT_LIMIT_MS) return { afterMs, late };
    await delay(POLL_MS);
  }
}

async function findOutdatedRouters(deployment: ProveDeployment): Promise<string[]> {
  const expected = storedModels(deployment).sort().join(' ');
  const running = deployment.fleet.routers.filter((router) => router.state === 'running');
  const served = await Promise.all(
    running.map(async ({ slot, entryUrl }) => ({ slot, models: await readModels(entryUrl) })),
  );
  return served
    .filter(({ models }) => models !== expected)
    .map(
      ({ slot, models }) => `${slot.dataCentre}/${slot.instance} has ${models}, not ${expected}`,
    );
}

async function readModels(entryUrl: string): Promise<string> {
  try {
    const headers = { authorization: `Bearer ${proveAccounts[0]?.apiKey ?? ''}` };
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    const res = await fetch(`${entryUrl}/v1/models`, { headers, signal });
    const { data } = modelsSchema.parse(await res.json());
    return data
      .map(({ id }) => id)
      .sort()
      .join(' ');
  } catch {
    return 'no answer';
  }
}

function storedModels(deployment: ProveDeployment): string[] {
  const all = readAll<Partial<ServiceDeclaration>>(deployment.platform, 'declarations');
  const service = all.find((one) => one.kind === 'Service' && one.name === MODEL_SERVICE);
  return [...(service?.models ?? [])];
}
