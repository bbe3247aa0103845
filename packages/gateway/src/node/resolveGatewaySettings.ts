/** Reads and checks the settings file of a process with the pass-through entry. */

import type { GatewaySettings } from '../types/gatewaySettings.js';
import { readFile } from 'node:fs/promises';
import { checkWithPositions, formatFault, parseJsonc } from '@flamingocourse/core';
import { describeError } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { gatewaySettingsSchema } from '../utils/gatewaySettingsSchema.js';

/**
 * Reads a settings file in JSON with comments. The error has a line for each fault, with its place.
 *
 * @example
 * const settings = await resolveGatewaySettings('gateway.jsonc');
 * if (settings.isErr) return stop(settings.error);
 */
export async function resolveGatewaySettings(
  file: string,
): Promise<Result<GatewaySettings, string>> {
  try {
    return parseGatewaySettings(await readFile(file, 'utf8'), file);
  } catch (err) {
    return Result.err(`${file} cannot be read: ${describeError(err)}`);
  }
}

/** Checks the text of a settings file. */
export function parseGatewaySettings(text: string, file: string): Result<GatewaySettings, string> {
  return parseJsonc(text, file)
    .andThen((document) => checkWithPositions(gatewaySettingsSchema, document))
    .mapErr((faults) => faults.map(formatFault).join('\n'));
}
