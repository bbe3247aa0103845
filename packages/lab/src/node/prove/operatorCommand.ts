/** Runs the operators' command in its own process. */

import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';

/** Exit code and output of the command. */
export interface OperatorEnd {
  code: number;
  output: string;
}

const binary = fileURLToPath(new URL('../../../../cli/bin/flamingocourse.mjs', import.meta.url));
const TIMEOUT_MS = 30_000;

/** Runs `flamingocourse ARGS` against a platform; never throws. */
export function runOperator(platformUrl: string, args: readonly string[]): Promise<OperatorEnd> {
  const env = { ...process.env, FLAMINGOCOURSE_PLATFORM: platformUrl };
  return new Promise((resolve) => {
    const options = { env, timeout: TIMEOUT_MS };
    const child = execFile(process.execPath, [binary, ...args], options, (_, stdout, stderr) => {
      resolve({ code: child.exitCode ?? 1, output: `${stdout}${stderr}`.trim() });
    });
  });
}
