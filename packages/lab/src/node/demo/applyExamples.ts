/** Applies the example declarations of a deployment with the operators' command. */

import { execFile } from 'node:child_process';
import { readdir } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { LabError } from '../../utils/labError.js';

const root = new URL('../../../../../', import.meta.url);
const APPLY_TIMEOUT_MS = 30_000;

/** Runs `flamingocourse apply` over `examples/{deployment}/*.jsonc`; throws `apply-failed`. */
export async function applyExamples(deployment: string, platformUrl: string): Promise<void> {
  const directory = fileURLToPath(new URL(`examples/${deployment}/`, root));
  const files = await findDeclarations(directory);
  const binary = fileURLToPath(new URL('packages/cli/bin/flamingocourse.mjs', root));
  await runCommand([binary, 'apply', '--who', 'demo', ...files], platformUrl);
}

async function findDeclarations(directory: string): Promise<string[]> {
  const names = await readdir(directory).catch(() => []);
  const files = names.filter((name) => name.endsWith('.jsonc')).map((name) => directory + name);
  if (files.length > 0) return files.sort();
  throw new LabError(
    'apply-failed',
    `${directory} contains no declarations; add *.jsonc files to it`,
  );
}

function runCommand(args: string[], platformUrl: string): Promise<void> {
  const env = { ...process.env, FLAMINGOCOURSE_PLATFORM: platformUrl };
  return new Promise((resolve, reject) => {
    execFile(process.execPath, args, { env, timeout: APPLY_TIMEOUT_MS }, (err, stdout, stderr) => {
      if (!err) {
        resolve();
        return;
      }
      const message = `flamingocourse apply failed:\n${stdout}${stderr}`;
      reject(new LabError('apply-failed', message, { cause: err }));
    });
  });
}
