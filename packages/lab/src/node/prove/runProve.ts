/** Runs the proof of all promises on one fleet. */

import type { PromiseNumber, ProveResult } from '../../types/prove.js';
import type { PhaseContext } from './loadPhase.js';
import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { deployments } from '../../runtime/deployments.js';
import { Findings } from '../../runtime/prove/findings.js';
import { runConfigurationPhase } from './configurationPhase.js';
import { runLeavingPhase } from './leavingPhase.js';
import { runLoadPhase } from './loadPhase.js';
import { loadPhases } from './phases.js';
import { startProveDeployment } from './proveDeployment.js';

/** Options of {@link runProve}. */
export interface ProveOptions {
  seed: number;
  /** Runs only the phases that check this promise. */
  only?: PromiseNumber;
  onProgress: (line: string) => void;
}

type PhaseRun = (context: PhaseContext) => Promise<object>;

interface ListedPhase {
  promises: readonly PromiseNumber[];
  run: PhaseRun;
}

const MS_PER_SECOND = 1_000;
/** Distance of the seeds of two runs; the phases of a run use consecutive seeds. */
const SEED_STEP = 100;

const phases: ListedPhase[] = [
  ...loadPhases.map((phase): ListedPhase => ({
    promises: phase.mayBreak ? [1, 2, 3, 4, 5] : [1, 2, 3, 4, 5, 7],
    run: (context) => runLoadPhase(context, phase),
  })),
  { promises: [6], run: runLeavingPhase },
  { promises: [8], run: runConfigurationPhase },
];

/**
 * Checks the promises with real router processes under injected faults.
 *
 * @example
 * const { promises } = await runProve({ seed: 1, onProgress: console.error });
 * const broken = promises.filter((report) => report.verdict === 'broken');
 */
export async function runProve(options: ProveOptions): Promise<ProveResult> {
  const startedAt = performance.now();
  const directory = await mkdtemp(join(tmpdir(), 'flamingocourse-prove-'));
  options.onProgress(`settings and logs of the routers are in ${directory}`);
  const deployment = await startProveDeployment(
    deployments['tsagaan-deel'],
    directory,
    options.seed,
  );
  const findings = new Findings();
  const figures: Record<string, unknown>[] = [];
  try {
    for (const [index, phase] of phases.entries()) {
      if (options.only !== undefined && !phase.promises.includes(options.only)) continue;
      const seed = options.seed * SEED_STEP + index;
      const run = await phase.run({ deployment, findings, seed, onProgress: options.onProgress });
      figures.push({ ...run });
    }
    findings.add(7, { checks: 0, violations: deployment.stopViolations });
  } finally {
    await deployment.close();
  }
  const seconds = Math.round((performance.now() - startedAt) / MS_PER_SECOND);
  const promises = findings
    .reports()
    .filter(({ promise }) => options.only === undefined || promise === options.only);
  return { seed: options.seed, seconds, promises, phases: figures };
}
