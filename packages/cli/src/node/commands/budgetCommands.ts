/** Commands on budgets and on backend servers. */

import { command, flag, number, option, optional, positional, string, subcommands } from 'cmd-ts';
import { changeAccountBudget, showBudgets, writeOffHolder } from '../../runtime/budget.js';
import { drainServer, undrainServer } from '../../runtime/drain.js';
import { platformArgs, runOnPlatform } from '../commonArgs.js';
import type { BudgetLine } from '../../runtime/budget.js';
import { CliError } from '../../utils/cliError.js';
import type { Operator } from '../../types/operator.js';
import type { Report } from '../report.js';
import { Result } from 'true-myth';
import { renderTable } from '../../utils/renderTable.js';

const changeArgs = {
  ...platformArgs,
  account: option({ type: string, long: 'account', description: 'name of the client account' }),
  tokens: option({ type: number, long: 'tokens', description: 'whole number of tokens' }),
  changeId: option({
    type: optional(string),
    long: 'change-id',
    description: 'id such as a receipt number; the same id is never counted twice',
  }),
};

const showCommand = command({
  name: 'show',
  description: 'show the budgets of all accounts or of one',
  args: {
    ...platformArgs,
    account: option({ type: optional(string), long: 'account' }),
  },
  handler: async (args) => {
    await runOnPlatform(args, async (operator) => {
      const budgets = await showBudgets(operator);
      return budgets.map((lines): Report => {
        const chosen = lines.filter((line) => !args.account || line.account === args.account);
        if (chosen.length > 0 || !args.account) return describeBudgets(chosen);
        const warnings = [`There is no budget of "${args.account}".`];
        return { reason: 'faults', json: chosen, text: '', warnings };
      });
    });
  },
});

const topUpCommand = command({
  name: 'top-up',
  description: 'raise a budget',
  args: changeArgs,
  handler: async (args) => {
    await runOnPlatform(args, (operator) => changeTokens(operator, args, 1));
  },
});

const reduceCommand = command({
  name: 'reduce',
  description: 'lower a budget, down to what is already committed; the rest stays pending',
  args: changeArgs,
  handler: async (args) => {
    await runOnPlatform(args, (operator) => changeTokens(operator, args, -1));
  },
});

const writeOffCommand = command({
  name: 'write-off',
  description:
    'declare a router and one of its witnesses destroyed; the tokens that it held are billed',
  args: {
    ...platformArgs,
    dataCentre: option({ type: string, long: 'data-centre' }),
    holder: option({ type: string, long: 'holder', description: 'incarnation of the router' }),
    destroyed: flag({
      long: 'instances-are-destroyed',
      description: 'required: your confirmation',
    }),
  },
  handler: async (args) => {
    await runOnPlatform(args, async (operator) => {
      if (!args.destroyed) {
        const message =
          'What the router held is billed and cannot be taken back. If the instances are destroyed for good, add --instances-are-destroyed.';
        return Result.err(new CliError('guard-rail', message));
      }
      const done = await writeOffHolder(operator, args.dataCentre, args.holder);
      const { holder } = args;
      return done.map(() => ({ reason: 'ok', json: { holder }, text: `${holder} written off` }));
    });
  },
});

/** `budget ...`. */
export const budgetCommands = subcommands({
  name: 'budget',
  description: 'show and change prepaid budgets',
  cmds: {
    show: showCommand,
    'top-up': topUpCommand,
    reduce: reduceCommand,
    'write-off': writeOffCommand,
  },
});

/** `drain`: takes a backend server out of service. */
export const drainCommand = command({
  name: 'drain',
  description: 'send no new requests to a backend server; running requests finish',
  args: {
    ...platformArgs,
    service: positional({ type: string, displayName: 'service' }),
    server: positional({ type: string, displayName: 'server' }),
    undo: flag({ long: 'undo', description: 'take the server back into service' }),
  },
  handler: async (args) => {
    await runOnPlatform(args, async (operator) => {
      const { service, server } = args;
      const done = args.undo
        ? await undrainServer(operator, service, server)
        : await drainServer(operator, service, server);
      return done.map((outcome): Report => {
        const json = { service, server, outcome };
        return { reason: 'ok', json, text: `${service} ${server}: ${outcome}` };
      });
    });
  },
});

async function changeTokens(
  operator: Operator,
  args: { account: string; tokens: number; changeId: string | undefined },
  sign: 1 | -1,
): Promise<Result<Report, CliError>> {
  if (!Number.isSafeInteger(args.tokens) || args.tokens <= 0) {
    const message = `--tokens ${args.tokens} is not a whole number above 0.`;
    return Result.err(new CliError('usage', message));
  }
  const id = args.changeId ?? operator.newId();
  const { who: by } = operator;
  const change = { id, amount: sign * args.tokens, by, at: operator.now() };
  const changed = await changeAccountBudget(operator, args.account, change);
  return changed
    .map((line) => {
      const report = describeBudgets([line]);
      return { ...report, text: `${report.text}\nchange id ${id}` };
    })
    .mapErr((err) => withRetryAdvice(err, id));
}

// Without the id, a retry would count as a second top-up.
function withRetryAdvice(err: CliError, id: string): CliError {
  if (err.code === 'faults') return err;
  const advice = `To retry without counting the change twice, add --change-id ${id}.`;
  return new CliError(err.code, `${err.message} ${advice}`, { cause: err });
}

function describeBudgets(lines: readonly BudgetLine[]): Report {
  const head = ['account', 'limit', 'spent', 'held', 'left', 'in doubt', 'waiting reduction'];
  const rows = lines.map((one) => [
    one.account,
    one.limit,
    one.spent,
    one.held,
    one.left,
    one.inDoubt,
    one.pendingReduction,
  ]);
  return { reason: 'ok', json: lines, text: renderTable(head, rows) };
}
