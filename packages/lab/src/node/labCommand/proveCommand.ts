/** `prove`: checks the promises with real router processes under faults. */

import type { PromiseNumber } from '../../types/prove.js';
import { mkdir, writeFile } from 'node:fs/promises';
import { dirname } from 'node:path';
import { command, number, option, optional, string } from 'cmd-ts';
import { formatReport } from '../../runtime/prove/findings.js';
import { PROMISES } from '../../types/prove.js';
import { runProve } from '../prove/index.js';

const EXIT_USAGE = 2;

export const proveCommand = command({
  name: 'prove',
  description: 'checks the eight promises with real router processes under faults',
  args: {
    seed: option({ type: number, long: 'seed', defaultValue: () => 1 }),
    json: option({
      type: optional(string),
      long: 'json',
      description: 'output file for the figures',
    }),
    only: option({
      type: optional(number),
      long: 'only',
      description: 'number of the only promise to check, 1 to 8',
    }),
  },
  handler: async ({ seed, json, only }) => {
    if (only !== undefined && !isPromise(only)) {
      process.stderr.write(`--only ${only}: use a number from 1 to ${PROMISES.length}\n`);
      return EXIT_USAGE;
    }
    const onProgress = (line: string): void => {
      process.stderr.write(`${line}\n`);
    };
    const result = await runProve({ seed, ...(only === undefined ? {} : { only }), onProgress });
    for (const report of result.promises) {
      process.stdout.write(`${formatReport(report, seed)}\n`);
    }
    process.stdout.write(`${result.seconds} s\n`);
    if (json !== undefined) {
      await mkdir(dirname(json), { recursive: true });
      await writeFile(json, `${JSON.stringify(result, null, 2)}\n`);
    }
    return result.promises.some(({ verdict }) => verdict === 'broken') ? 1 : 0;
  },
});

function isPromise(value: number): value is PromiseNumber {
  return Number.isInteger(value) && value >= 1 && value <= PROMISES.length;
}
