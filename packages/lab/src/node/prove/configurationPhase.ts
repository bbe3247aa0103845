/** Promise 8: accepted changes reach every router that can be reached, and stay. */

import type { ServiceDeclaration } from '@flamingocourse/core';
import type { PhaseSite } from './loadPhase.js';
import type { ProveStage } from './proveStage.js';
import { setTimeout as delay } from 'node:timers/promises';
import { z } from 'zod';
import {
  MODEL_SERVICE,
  PROVE_MODEL,
  proveAccounts,
  writeDeclarations,
} from './proveDeclarations.js';
import { readAll } from './proveStage.js';
import { watchRevisions } from './watchers.js';

/** Time after which an accepted change must be in force. */
const IN_FORCE_MS = 3_000;
/** A change that is late is still awaited, to know how late it is. */
const GIVE_UP_MS = 20_000;
const MOST_TRIES = 12;
const POLL_MS = 100;
const CALL_TIMEOUT_MS = 1_000;

/** Each change takes the model of the change before away, which must be said to be meant. */
const MEANT = ['--acknowledge', 'refuses-whole-class', '--acknowledge', 'allows-repeats'];

const modelsSchema = z.object({ data: z.array(z.object({ id: z.string() })) });

/** Time that each accepted change took to reach all routers. */
export interface ConfigurationFigures {
  phase: 'configuration';
  inForceAfterMs: Record<string, number>;
  revisionSamples: number;
}

/** Runs the changes one after the other. */
export async function runConfigurationPhase(site: PhaseSite): Promise<ConfigurationFigures> {
  const { stage, findings } = site;
  site.onProgress('phase configuration: changes under faults');
  const watch = watchRevisions(stage.fleet);
  const inForceAfterMs: ConfigurationFigures['inForceAfterMs'] = {};
  for (const [index, change] of changes.entries()) {
    const problems = await change.make(stage, `${PROVE_MODEL}-${index}`);
    const { afterMs, late } = await waitInForce(stage);
    inForceAfterMs[change.name] = afterMs;
    const violations = [...problems, ...late].map((text) => `${change.name}: ${text}`);
    findings.add(8, { faults: [change.name], checks: 1, violations });
    await change.undo?.(stage);
  }
  await delay(IN_FORCE_MS);
  const { late } = await waitInForce(stage);
  findings.add(8, { checks: 1, violations: late.map((text) => `at the end: ${text}`) });
  watch.stop();
  findings.add(8, { checks: watch.samples, violations: watch.violations });
  return { phase: 'configuration', inForceAfterMs, revisionSamples: watch.samples };
}

interface Change {
  name: string;
  /** Makes the change; returns what went wrong. */
  make: (stage: ProveStage, model: string) => Promise<string[]>;
  undo?: (stage: ProveStage) => Promise<unknown> | undefined;
}

const changes: Change[] = [
  { name: 'no fault', make: apply },
  {
    name: 'replies to apply lost',
    make: applyWithLostReplies,
    undo: (stage) => {
      stage.platform.setFaults('operators', { lostReplies: 0 });
    },
  },
  {
    name: 'platform silent for one data centre',
    make: (stage, model) => {
      stage.platform.setFaults(stage.plan.dataCentres[1] ?? '', { outage: 'silent' });
      return apply(stage, model);
    },
    undo: (stage) => {
      stage.platform.setFaults('all', { outage: 'none' });
    },
  },
  {
    name: 'watches of all data centres say nothing',
    make: (stage, model) => {
      stage.platform.setFaults('all', { freezeWatch: true });
      return apply(stage, model);
    },
    undo: (stage) => {
      stage.platform.setFaults('all', { freezeWatch: false });
    },
  },
  { name: 'two operators at once', make: race },
  {
    name: 'router killed and restarted',
    make: async (stage, model) => {
      const problems = await apply(stage, model);
      await stage.fleet.kill(4);
      await stage.fleet.restart(4);
      return problems;
    },
  },
];

async function apply(stage: ProveStage, model: string): Promise<string[]> {
  const file = await writeDeclarations(stage.directory, model, [PROVE_MODEL, model]);
  const end = await stage.operate('apply', file, ...MEANT);
  const accepted = storedModels(stage).includes(model);
  if (end.code === 0) return accepted ? [] : ['apply ended with 0 and the change is not stored'];
  return [`apply ended with ${end.code}: ${end.output}`];
}

/** Half of the replies get lost; an operator repeats the command until it says that all is well. */
async function applyWithLostReplies(stage: ProveStage, model: string): Promise<string[]> {
  stage.platform.setFaults('operators', { lostReplies: 0.5 });
  let problems: string[] = [];
  for (let tries = 0; tries < MOST_TRIES; tries += 1) {
    problems = await apply(stage, model);
    // refused and not stored is honest, and so the operator tries again; refused and stored is not.
    const stored = storedModels(stage).includes(model);
    if (problems.length === 0) return [];
    if (stored) return problems;
  }
  return problems;
}

/** Both may be accepted, one after the other; who is told 0 must have been in force. */
async function race(stage: ProveStage, model: string): Promise<string[]> {
  const names = [`${model}-one`, `${model}-two`];
  const files = await Promise.all(
    names.map((name) => writeDeclarations(stage.directory, name, [PROVE_MODEL, name])),
  );
  const ends = await Promise.all(files.map((file) => stage.operate('apply', file, ...MEANT)));
  const winners = names.filter((_, index) => ends[index]?.code === 0);
  const stored = storedModels(stage).find((name) => names.includes(name));
  if (winners.length === 0) return ['neither of two operators was accepted'];
  if (stored !== undefined && winners.includes(stored)) return [];
  return [`${winners.join(' and ')} accepted, and ${stored ?? 'neither'} is stored`];
}

/** Waits until every running router shows the stored configuration. */
async function waitInForce(stage: ProveStage): Promise<{ afterMs: number; late: string[] }> {
  const startedAt = performance.now();
  for (;;) {
    const late = await findLate(stage);
    const afterMs = Math.round(performance.now() - startedAt);
    if (late.length === 0 && afterMs <= IN_FORCE_MS) return { afterMs, late };
    if (late.length === 0) return { afterMs, late: [`in force after ${afterMs} ms only`] };
    if (afterMs > GIVE_UP_MS) return { afterMs, late };
    await delay(POLL_MS);
  }
}

async function findLate(stage: ProveStage): Promise<string[]> {
  const expected = storedModels(stage).sort().join(' ');
  const running = stage.fleet.routers.filter((router) => router.state === 'running');
  const shown = await Promise.all(
    running.map(async ({ slot, entryUrl }) => ({ slot, models: await readModels(entryUrl) })),
  );
  return shown
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

function storedModels(stage: ProveStage): string[] {
  const all = readAll<Partial<ServiceDeclaration>>(stage.platform, 'declarations');
  const service = all.find((one) => one.kind === 'Service' && one.name === MODEL_SERVICE);
  return [...(service?.models ?? [])];
}
