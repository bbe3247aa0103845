/** Measurements by name, and the mutants check; each resolves to the exit code. */

import { mkdir, writeFile } from 'node:fs/promises';
import { dirname } from 'node:path';
import { measureBudget } from '../budgetMeasure/index.js';
import { hasFailed, renderMutants, runMutants } from '../mutants/index.js';
import { runConfigMeasure } from '../configMeasure/index.js';
import { runRoutingMeasure } from '../../runtime/routingExperiment/index.js';
import { createCapacityReport, measureSlopes } from '../capacity/index.js';
import { renderText } from '../report/index.js';

/** Options of a measurement, from the command line. */
export interface MeasureOptions {
  /** The seed, or the first one of a measurement that uses several. */
  seed: number;
  /** Output file for the raw figures. */
  json?: string;
  /** Duration of the load in seconds, for measurements that run in real time. */
  seconds?: number;
  /** Name of the only scenario to run. */
  only?: string;
}

/** A named measurement. */
export type Measure = (options: MeasureOptions) => Promise<number>;

/** Number of seeds in one run of the routing measurement. */
const ROUTING_SEEDS = 3;

/** Duration of the load in one scenario of the budget measurement, in seconds. */
const BUDGET_SECONDS = 24;

/** `npm run measure -- NAME`. */
export const measures: Record<string, Measure> = {
  budget: measureBudgets,
  routing: measureRouting,
  capacity: measureCapacity,
  config: measureConfig,
};

/** `npm run mutants`: fails if a mutant of the rules is not detected. */
export const mutants: Measure | undefined = checkMutants;

async function checkMutants({ json }: MeasureOptions): Promise<number> {
  const report = runMutants();
  process.stdout.write(`${renderMutants(report)}\n`);
  if (json !== undefined) await writeResult(json, report);
  return hasFailed(report) ? 1 : 0;
}

async function measureRouting({ seed, json }: MeasureOptions): Promise<number> {
  const seeds = Array.from({ length: ROUTING_SEEDS }, (_, index) => seed + index);
  const printed = runRoutingMeasure({ seeds, json: json !== undefined });
  if (json === undefined) {
    process.stdout.write(`${printed}\n`);
    return 0;
  }
  await mkdir(dirname(json), { recursive: true });
  await writeFile(json, `${printed}\n`);
  process.stdout.write(`written: ${json}\n`);
  return 0;
}

async function measureCapacity({ seed, json }: MeasureOptions): Promise<number> {
  const lines = await measureSlopes(seed, (line) => {
    process.stderr.write(`${line}\n`);
  });
  const report = createCapacityReport(lines, seed);
  process.stdout.write(`${renderText(report)}\n`);
  if (json !== undefined) await writeResult(json, { report, lines: [...lines.values()] });
  return 0;
}

async function writeResult(file: string, result: unknown): Promise<void> {
  await mkdir(dirname(file), { recursive: true });
  await writeFile(file, `${JSON.stringify(result, null, 2)}\n`);
  process.stdout.write(`written: ${file}\n`);
}

async function measureBudgets(options: MeasureOptions): Promise<number> {
  const { seed, seconds = BUDGET_SECONDS, only, json } = options;
  const onProgress = (line: string): void => {
    process.stderr.write(`${line}\n`);
  };
  const scenario = only === undefined ? {} : { only };
  const result = await measureBudget({ seed, seconds, ...scenario, onProgress });
  process.stdout.write(`${renderText(result.report)}\n`);
  for (const violation of result.violations) process.stdout.write(`BROKEN: ${violation}\n`);
  if (json !== undefined) await writeResult(json, result);
  return result.violations.length === 0 ? 0 : 1;
}

async function measureConfig({ json }: MeasureOptions): Promise<number> {
  const result = await runConfigMeasure((line) => {
    process.stderr.write(`${line}\n`);
  });
  process.stdout.write(`${renderText(result.report)}\n`);
  for (const violation of result.violations) process.stdout.write(`BROKEN: ${violation}\n`);
  if (json !== undefined) await writeResult(json, result);
  return result.violations.length === 0 ? 0 : 1;
}
