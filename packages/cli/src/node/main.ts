/** Entry point of the `flamingocourse` binary. */

import { applyCommand, planCommand, validateCommand } from './commands/declarationCommands.js';
import {
  billsCommand,
  getCommand,
  historyCommand,
  statusCommand,
} from './commands/readCommands.js';
import { budgetCommands, drainCommand } from './commands/budgetCommands.js';
import { runSafely, subcommands } from 'cmd-ts';
import { describeError, runInBackground } from '@flamingocourse/kernel';
import { exitCodes } from '../utils/cliError.js';

const application = subcommands({
  name: 'flamingocourse',
  description: 'declare, apply and inspect a router fleet for prepaid token budgets',
  cmds: {
    validate: validateCommand,
    plan: planCommand,
    apply: applyCommand,
    get: getCommand,
    history: historyCommand,
    budget: budgetCommands,
    bills: billsCommand,
    status: statusCommand,
    drain: drainCommand,
  },
});

/** Runs the command line. The command sets the exit code; a usage error exits with 2. */
async function main(args: string[]): Promise<void> {
  const result = await runSafely(application, args);
  if (result._tag === 'ok') return;
  const { message, exitCode, into } = result.error.config;
  process[into].write(`${message}\n`);
  process.exitCode = exitCode === 0 ? exitCodes.ok : exitCodes.usage;
}

runInBackground(
  () => main(process.argv.slice(2)),
  (err) => {
    process.stderr.write(`The command failed: ${describeError(err)}. Report it.\n`);
    process.exitCode = exitCodes.faults;
  },
);
