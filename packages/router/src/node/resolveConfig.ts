/** Reads and validates the settings file of a router and fills in the defaults. */

import type { JsoncDocument, JsoncPath, SourceFault } from '@flamingocourse/core';
import type { ListenAddress, RouterSettings } from '../types/routerSettings.js';
import { checkWithPositions, faultAt, formatFault, parseJsonc } from '@flamingocourse/core';
import { LayerError, describeError } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import type { WrittenSettings } from '../utils/settingsSchema.js';
import { readFile } from 'node:fs/promises';
import { settingsSchema } from '../utils/settingsSchema.js';

/** Why a settings file cannot be used. */
export type SettingsErrorCode = 'unreadable' | 'invalid';

/** The settings file cannot be used. The message has one line per fault. */
export class SettingsError extends LayerError<SettingsErrorCode> {
  override readonly layer = 'settings';
  readonly faults: readonly SourceFault[];

  constructor(
    code: SettingsErrorCode,
    message: string,
    options: { cause?: unknown; faults?: readonly SourceFault[] } = {},
  ) {
    super(code, message, options);
    this.faults = options.faults ?? [];
  }
}

/**
 * Reads a settings file.
 *
 * @example
 * const settings = await resolveConfig('router.jsonc');
 * if (settings.isErr) return stop(settings.error.message);
 */
export async function resolveConfig(file: string): Promise<Result<RouterSettings, SettingsError>> {
  try {
    return parseSettings(await readFile(file, 'utf8'), file);
  } catch (err) {
    const message = `${file} cannot be read. Give the path of a settings file. ${describeError(err)}`;
    return Result.err(new SettingsError('unreadable', message, { cause: err }));
  }
}

/**
 * Validates the text of a settings file and fills in the defaults.
 *
 * @example
 * const settings = parseSettings('{ "instance": "router-1", ... }', 'router.jsonc');
 */
export function parseSettings(text: string, file: string): Result<RouterSettings, SettingsError> {
  return parseJsonc(text, file)
    .andThen((document) =>
      checkWithPositions(settingsSchema, document, { isSecret }).andThen((written) =>
        checkRelations(written, document),
      ),
    )
    .map(completeSettings)
    .mapErr((faults) => {
      const message = faults.map(formatFault).join('\n');
      return new SettingsError('invalid', message, { faults });
    });
}

/** Replaces the secret in printed settings. */
const hiddenSecret = '(set and not shown)';

/** Formats settings as JSON for `flamingocourse-router --print-settings`, without the secret. */
export function printSettings(settings: RouterSettings): string {
  return JSON.stringify({ ...settings, fleetSecret: hiddenSecret }, null, 2);
}

function isSecret(path: JsoncPath): boolean {
  return path[0] === 'fleetSecret';
}

function checkRelations(
  written: WrittenSettings,
  document: JsoncDocument,
): Result<WrittenSettings, SourceFault[]> {
  const { entry, mesh } = written;
  const faults: SourceFault[] = [];
  // Otherwise a live peer would become suspect between two heartbeats and could be sealed.
  if (mesh.suspectMs <= mesh.heartbeatMs) {
    const message = `suspectMs (${mesh.suspectMs}) is not above heartbeatMs (${mesh.heartbeatMs})`;
    faults.push(faultAt(document, ['mesh', 'suspectMs'], message, 'Raise suspectMs.'));
  }
  if (mesh.goneMs <= mesh.suspectMs) {
    const message = `goneMs (${mesh.goneMs}) is not above suspectMs (${mesh.suspectMs})`;
    faults.push(faultAt(document, ['mesh', 'goneMs'], message, 'Raise goneMs.'));
  }
  if (entry.port !== 0 && entry.port === mesh.port && entry.host === mesh.host) {
    const message = `the entry and the mesh both listen on ${entry.host}:${entry.port}`;
    faults.push(faultAt(document, ['mesh', 'port'], message, 'Give the mesh another port.'));
  }
  return faults.length === 0 ? Result.ok(written) : Result.err(faults);
}

function completeSettings(written: WrittenSettings): RouterSettings {
  const { entry, mesh, statsd, ...rest } = written;
  return {
    ...rest,
    entry: { ...entry, publicUrl: entry.publicUrl ?? urlOf(entry) },
    mesh: { ...mesh, publicUrl: mesh.publicUrl ?? urlOf(mesh) },
    ...(statsd && { statsd }),
  };
}

function urlOf({ host, port }: ListenAddress): string {
  const name = host.includes(':') ? `[${host}]` : host;
  return `http://${name}:${port}`;
}
