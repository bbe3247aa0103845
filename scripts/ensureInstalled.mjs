// Installs missing dependencies, so that any command works first on a fresh clone.
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';
import process from 'node:process';
import { fileURLToPath } from 'node:url';

export const root = fileURLToPath(new URL('..', import.meta.url));
export const npm = process.platform === 'win32' ? 'npm.cmd' : 'npm';

/** Runs a command in the repository root with its output on stderr; exits if the command fails. */
export function runStep(file, args) {
  const result = spawnSync(file, args, { cwd: root, stdio: ['inherit', 2, 2] });
  if (result.status !== 0) process.exit(result.status ?? 1);
}

export function ensureInstalled() {
  if (existsSync(new URL('../node_modules/typescript', import.meta.url))) return;
  runStep(npm, ['ci', '--prefer-offline']);
}
