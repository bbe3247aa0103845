/** `npm run soak`: runs new or given seeds and prints each run that broke a promise. */

import { writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { command, number, option, optional, run, string } from 'cmd-ts';
import { runSoak } from './runSoak.js';

/** Duration of the faults in a run, in milliseconds. */
const FAULTS_MS = 8_000;
/** Concurrent runs; each starts several processes. */
const CONCURRENT_RUNS = 4;
const MS_PER_MINUTE = 60_000;

const soak = command({
  name: 'soak',
  description: 'runs real processes under injected faults, by seed',
  args: {
    seed: option({ long: 'seed', type: optional(number), description: 'run only this seed' }),
    seeds: option({ long: 'seeds', type: optional(number), description: 'number of seeds to run' }),
    minutes: option({
      long: 'minutes',
      type: optional(number),
      description: 'run new seeds for this time',
    }),
    bundle: option({
      long: 'bundle',
      type: optional(string),
      description: 'router to start; default: the bundle of this checkout',
    }),
  },
  handler: async ({ seed, seeds = 8, minutes, bundle }) => {
    if (seed !== undefined) return runSeed(seed, bundle);
    const first = Math.floor(Date.now() / 1_000);
    const endAt = minutes === undefined ? Infinity : Date.now() + minutes * MS_PER_MINUTE;
    const seedLimit = minutes === undefined ? seeds : Infinity;
    let next = 0;
    const worker = async (): Promise<void> => {
      while (next < seedLimit && Date.now() < endAt) {
        next += 1;
        await runSeed(first + next, bundle);
      }
    };
    await Promise.all(Array.from({ length: CONCURRENT_RUNS }, worker));
  },
});

await run(soak, process.argv.slice(2));

async function runSeed(seed: number, bundle: string | undefined): Promise<void> {
  const report = await runSoak(seed, FAULTS_MS, bundle);
  const { calls, answered, metStop, cutOff, servedCutOff, takenUp, wentOn } = report;
  const { faults, broken, output, scarce, copies } = report;
  const figures = `${String(calls)} calls, ${String(answered)} answered, ${String(metStop)} met a stop, ${String(servedCutOff)} of ${String(cutOff)} answered while cut off, ${String(wentOn)} of ${String(takenUp)} streams went on, ${String(scarce.held)} of ${String(scarce.sent)} held while the processor was scarce, ${String(copies)} duplicate responses, ${String(faults.length)} faults`;
  console.log(`seed ${String(seed)}: ${figures}, ${String(broken.length)} promises broken`);
  if (broken.length === 0) return;
  process.exitCode = 1;
  console.log([...faults, ...broken].map((line) => `  ${line}`).join('\n'));
  const file = join(tmpdir(), `flamingocourse-soak-${String(seed)}.log`);
  await writeFile(file, output);
  console.log(`  output of the processes: ${file}`);
}
