/** Flags that the commands share, and the platform client created from them. */

import { number, oneOf, option, optional, string } from 'cmd-ts';
import type { CliError } from '../utils/cliError.js';
import type { GivenSettings } from './cliSettings.js';
import type { Operator } from '../types/operator.js';
import type { OutputFormat, Report } from './report.js';
import { HttpObjectStore } from '@flamingocourse/store';
import { Result } from 'true-myth';
import { createOperatorStore } from './platformStore.js';
import { finishCommand } from './report.js';
import { randomUUID } from 'node:crypto';
import { resolveCliSettings } from './cliSettings.js';

/** Timeout of one request to the platform, in milliseconds. */
const platformTimeoutMs = 5_000;

const formats: OutputFormat[] = ['table', 'json'];

/** `--output`. */
export const outputArg = option({
  type: oneOf(formats),
  long: 'output',
  defaultValue: (): OutputFormat => 'table',
  description: 'table or json',
});

/** Flags of commands that connect to the platform. */
export const platformArgs = {
  platform: option({
    type: optional(string),
    long: 'platform',
    description: 'URL of the platform',
  }),
  settings: option({ type: optional(string), long: 'settings', description: 'settings file' }),
  who: option({ type: optional(string), long: 'who', description: 'your name in the audit trail' }),
  ledgerPages: option({
    type: optional(number),
    long: 'ledger-pages',
    description: 'pages of the ledger, as in the routers settings',
  }),
  output: outputArg,
};

/** Values of {@link platformArgs}. */
export interface PlatformFlags extends GivenSettings {
  settings: string | undefined;
  output: OutputFormat;
}

/** Runs an operation on the platform, prints its report and sets the exit code. */
export async function runOnPlatform(
  flags: PlatformFlags,
  operation: (operator: Operator) => Promise<Result<Report, CliError>>,
): Promise<void> {
  const settings = await resolveCliSettings(flags, process.env);
  if (settings.isErr) {
    finishCommand(Result.err(settings.error), flags.output);
    return;
  }
  const { platform, who, ledgerPages } = settings.value;
  const objects = new HttpObjectStore({ url: platform, timeoutMs: platformTimeoutMs });
  const store = createOperatorStore(objects);
  const now = (): number => Date.now();
  try {
    const operator = { store, who, ledgerPages, now, newId: () => randomUUID() };
    finishCommand(await operation(operator), flags.output);
  } finally {
    objects.close();
  }
}
