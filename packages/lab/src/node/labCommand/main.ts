/** The lab's command line: demo, measure, prove, mutants, report. */

import type { Measure } from './measures.js';
import { entryOf } from '@flamingocourse/core';
import { describeError } from '@flamingocourse/kernel';
import {
  binary,
  command,
  number,
  option,
  optional,
  positional,
  run,
  string,
  subcommands,
} from 'cmd-ts';
import { demoCommand } from './demoCommand.js';
import { measures, mutants } from './measures.js';
import { proveCommand } from './proveCommand.js';
import { reportCommand } from './reportCommand.js';

const EXIT_NOT_AVAILABLE = 2;
const EXIT_FAILED = 1;

const commonArgs = {
  seed: option({ type: number, long: 'seed', defaultValue: () => 1 }),
  json: option({ type: optional(string), long: 'json' }),
};

const loadArgs = {
  seconds: option({ type: optional(number), long: 'seconds' }),
  only: option({
    type: optional(string),
    long: 'only',
    description: 'name of the only scenario to run',
  }),
};

interface CommonArgs {
  seed: number;
  json: string | undefined;
  seconds?: number | undefined;
  only?: string | undefined;
}

const measureCommand = command({
  name: 'measure',
  description: 'runs a measurement by name',
  args: { name: positional({ type: string, displayName: 'name' }), ...commonArgs, ...loadArgs },
  handler: ({ name, ...args }) => runMeasure(`measure ${name}`, entryOf(measures, name), args),
});

const mutantsCommand = command({
  name: 'mutants',
  description: 'checks that every mutant of the rules is detected',
  args: commonArgs,
  handler: (args) => runMeasure('mutants', mutants, args),
});

const labCommand = subcommands({
  name: 'lab',
  cmds: {
    demo: demoCommand,
    measure: measureCommand,
    prove: proveCommand,
    mutants: mutantsCommand,
    report: reportCommand,
  },
});

async function runMeasure(
  name: string,
  measure: Measure | undefined,
  { seed, json, seconds, only }: CommonArgs,
): Promise<number> {
  if (measure) {
    return measure({
      seed,
      ...(json === undefined ? {} : { json }),
      ...(seconds === undefined ? {} : { seconds }),
      ...(only === undefined ? {} : { only }),
    });
  }
  const known = Object.keys(measures).join(', ') || 'none yet';
  process.stderr.write(`${name}: not available yet (measurements: ${known})\n`);
  return EXIT_NOT_AVAILABLE;
}

try {
  const { value } = await run(binary(labCommand), process.argv);
  process.exitCode = await value;
} catch (err) {
  process.stderr.write(`${describeError(err)}\n`);
  process.exitCode = EXIT_FAILED;
}
// Node 20 can loop forever while it cleans up the handles of exited child processes; process.exit()
// skips that. All processes and servers have been stopped by now.
process.exit();
