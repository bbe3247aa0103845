/** `npm run soak`: plays fresh or given seeds and prints each that broke a promise. */

import { writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { command, number, option, optional, run } from 'cmd-ts';
import { runSoak } from './runSoak.js';

/** Milliseconds of faults in a run. */
const FAULTS_MS = 8_000;
/** Runs at once; each has a handful of processes. */
const AT_ONCE = 4;
const MS_PER_MINUTE = 60_000;

const soak = command({
  name: 'soak',
  description: 'real processes under faults from outside, by seed',
  args: {
    seed: option({ long: 'seed', type: optional(number), description: 'plays this seed alone' }),
    seeds: option({ long: 'seeds', type: optional(number), description: 'seeds to play' }),
    minutes: option({ long: 'minutes', type: optional(number), description: 'time to play for' }),
  },
  handler: async ({ seed, seeds = 8, minutes }) => {
    if (seed !== undefined) return play(seed);
    const first = Math.floor(Date.now() / 1_000);
    const lastAt = minutes === undefined ? Infinity : Date.now() + minutes * MS_PER_MINUTE;
    const most = minutes === undefined ? seeds : Infinity;
    let next = 0;
    const worker = async (): Promise<void> => {
      while (next < most && Date.now() < lastAt) {
        next += 1;
        await play(first + next);
      }
    };
    await Promise.all(Array.from({ length: AT_ONCE }, worker));
  },
});

await run(soak, process.argv.slice(2));

async function play(seed: number): Promise<void> {
  const { calls, answered, faults, broken, output } = await runSoak(seed, FAULTS_MS);
  const figures = `${String(calls)} calls, ${String(answered)} answered, ${String(faults.length)} faults`;
  console.log(`seed ${String(seed)}: ${figures}, ${String(broken.length)} promises broken`);
  if (broken.length === 0) return;
  process.exitCode = 1;
  console.log([...faults, ...broken].map((line) => `  ${line}`).join('\n'));
  const file = join(tmpdir(), `flamingocourse-soak-${String(seed)}.log`);
  await writeFile(file, output);
  console.log(`  output of the processes: ${file}`);
}
