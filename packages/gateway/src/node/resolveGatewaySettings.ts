/** Reads and validates the settings file of a gateway process. */

import type { GatewaySettings } from '../types/gatewaySettings.js';
import { readFile } from 'node:fs/promises';
import { checkWithPositions, formatFault, parseJsonc } from '@flamingocourse/core';
import { describeError } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { gatewaySettingsSchema } from '../utils/gatewaySettingsSchema.js';

/**
 * Reads a settings file in JSON with comments. The error has one line per fault, with its position.
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

/** Validates the text of a settings file. `file` is its name in error messages. */
export function parseGatewaySettings(text: string, file: string): Result<GatewaySettings, string> {
  return parseJsonc(text, file)
    .andThen((document) => checkWithPositions(gatewaySettingsSchema, document))
    .mapErr((faults) => faults.map(formatFault).join('\n'));
}
