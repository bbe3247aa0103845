/** Output and exit code of a command. */

import type { CliError, ExitReason } from '../utils/cliError.js';
import type { Result } from 'true-myth';
import { exitCodes } from '../utils/cliError.js';

export type OutputFormat = 'table' | 'json';

/** Result of a command. */
export interface Report {
  reason: ExitReason;
  /** Printed with `--output json`. */
  json: unknown;
  /** Printed otherwise. */
  text: string;
  /** Printed to standard error in both cases. */
  warnings?: string[];
}

/** Prints a report or an error and sets the exit code. */
export function finishCommand(result: Result<Report, CliError>, output: OutputFormat): void {
  if (result.isErr) {
    process.stderr.write(`${result.error.message}\n`);
    process.exitCode = exitCodes[result.error.code];
    return;
  }
  const { reason, json, text, warnings = [] } = result.value;
  for (const warning of warnings) process.stderr.write(`${warning}\n`);
  const body = output === 'json' ? JSON.stringify(json, null, 2) : text;
  if (body !== '') process.stdout.write(`${body}\n`);
  process.exitCode = exitCodes[reason];
}
