/** Measurements and proofs by name; each resolves to the exit code. */

import { mkdir, writeFile } from 'node:fs/promises';
import { dirname } from 'node:path';
import { renderText } from '../report/index.js';
import { runConfigMeasure } from '../configMeasure/index.js';
import { runRoutingMeasure } from '../../runtime/routingExperiment/index.js';

/** What a measurement is given from the command line. */
export interface MeasureOptions {
  /** Seeds start here, for measurements with several. */
  seed: number;
  /** File for the raw figures. */
  json?: string;
}

/** A named measurement. */
export type Measure = (options: MeasureOptions) => Promise<number>;

/** Seeds of one run of the routing measurement. */
const ROUTING_SEEDS = 3;

/** `npm run measure -- NAME`. */
export const measures: Record<string, Measure> = {
  config: measureConfig,
  routing: measureRouting,
};

/** `npm run prove`, once there is something to prove. */
export const prove: Measure | undefined = undefined;

/** `npm run mutants`, once there are mutants to catch. */
export const mutants: Measure | undefined = undefined;

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

async function measureConfig({ json }: MeasureOptions): Promise<number> {
  const result = await runConfigMeasure((line) => {
    process.stderr.write(`${line}\n`);
  });
  process.stdout.write(`${renderText(result.report)}\n`);
  for (const violation of result.violations) process.stdout.write(`BROKEN: ${violation}\n`);
  if (json !== undefined) {
    await mkdir(dirname(json), { recursive: true });
    await writeFile(json, `${JSON.stringify(result, null, 2)}\n`);
  }
  return result.violations.length === 0 ? 0 : 1;
}
