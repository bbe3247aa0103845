/** Settings of the operators' command: flags override the environment, which overrides the file. */

import { checkWithPositions, formatFault, parseJsonc } from '@flamingocourse/core';
import { CliError } from '../utils/cliError.js';
import { Result } from 'true-myth';
import { readText } from './files.js';
import { z } from 'zod';

const maxLedgerPages = 1_024;

const settingsSchema = z.strictObject({
  platform: z
    .url({ protocol: /^http$/ })
    .optional()
    .describe('the URL of the platform'),
  who: z.string().min(1).optional().describe('your name as the audit trail shows it'),
  ledgerPages: z
    .int()
    .min(1)
    .max(maxLedgerPages)
    .optional()
    .describe('the number of ledger pages, the same as in the routers settings'),
});

/** Settings from one source: the flags or the settings file. */
export interface GivenSettings {
  platform?: string | undefined;
  who?: string | undefined;
  ledgerPages?: number | undefined;
}

/** Settings that a command runs with. */
export interface CliSettings {
  platform: string;
  who: string;
  ledgerPages: number;
}

/**
 * Merges the settings of all sources. Errors: `usage` when no source names the platform, or when
 * the settings file is not readable or not valid.
 */
export async function resolveCliSettings(
  flags: GivenSettings & { settings?: string | undefined },
  env: Record<string, string | undefined>,
): Promise<Result<CliSettings, CliError>> {
  const file = flags.settings ?? env.FLAMINGOCOURSE_SETTINGS;
  const read = file === undefined ? Result.ok<GivenSettings, CliError>({}) : await readFile(file);
  return read.andThen((written) => {
    const platform = flags.platform ?? env.FLAMINGOCOURSE_PLATFORM ?? written.platform;
    const who = flags.who ?? env.FLAMINGOCOURSE_WHO ?? written.who ?? env.USER ?? 'unknown';
    const ledgerPages = flags.ledgerPages ?? written.ledgerPages ?? 1;
    if (platform !== undefined) return Result.ok({ platform, who, ledgerPages });
    const message =
      'The platform URL is missing. Use --platform URL, FLAMINGOCOURSE_PLATFORM or --settings FILE.';
    return Result.err(new CliError('usage', message));
  });
}

async function readFile(file: string): Promise<Result<GivenSettings, CliError>> {
  const text = await readText(file);
  return text.andThen((content) =>
    parseJsonc(content, file)
      .andThen((document) => checkWithPositions(settingsSchema, document))
      .map((written): GivenSettings => written)
      .mapErr((faults) => new CliError('usage', faults.map(formatFault).join('\n'))),
  );
}
