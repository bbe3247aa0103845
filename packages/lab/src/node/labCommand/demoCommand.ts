/** `demo`: runs a deployment and prints its figures. */

import type { DemoResult } from '../../types/demo.js';
import { mkdir, mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { command, flag, number, oneOf, option, optional, string } from 'cmd-ts';
import { deployments } from '../../runtime/deployments.js';
import { runDemo } from '../demo/index.js';
import { renderText } from '../report/index.js';

const names = Object.keys(deployments) as (keyof typeof deployments)[];
const STOP_SIGNALS = ['SIGINT', 'SIGTERM'] as const;

export const demoCommand = command({
  name: 'demo',
  description: 'starts a whole deployment on loopback, runs a bounded load and shows the figures',
  args: {
    deployment: option({
      type: oneOf(names),
      long: 'deployment',
      defaultValue: () => 'tsagaan-deel' as const,
    }),
    seconds: option({ type: number, long: 'seconds', defaultValue: () => 15 }),
    ratePerSecond: option({ type: number, long: 'rate', defaultValue: () => 30 }),
    seed: option({ type: number, long: 'seed', defaultValue: () => 1 }),
    json: option({
      type: optional(string),
      long: 'json',
      description: 'output file for the figures; `npm run report` renders it',
    }),
    keep: flag({ long: 'keep', description: 'keeps the deployment running until Ctrl-C' }),
  },
  handler: async ({ json, ...options }) => {
    const abort = new AbortController();
    const stop = (): void => {
      abort.abort();
    };
    for (const name of STOP_SIGNALS) process.once(name, stop);
    const directory = await mkdtemp(join(tmpdir(), 'flamingocourse-demo-'));
    const onProgress = (line: string): void => {
      process.stderr.write(`${line}\n`);
    };
    onProgress(`settings and logs of the routers are in ${directory}`);
    const result = await runDemo({ ...options, directory, signal: abort.signal, onProgress });
    for (const name of STOP_SIGNALS) process.off(name, stop);
    await show(result, json);
    return result.violations.length === 0 ? 0 : 1;
  },
});

async function show(result: DemoResult, json: string | undefined): Promise<void> {
  process.stdout.write(`${renderText(result.report)}\n`);
  for (const violation of result.violations) process.stdout.write(`BROKEN: ${violation}\n`);
  if (json === undefined) return;
  await mkdir(dirname(json), { recursive: true });
  await writeFile(json, `${JSON.stringify(result, null, 2)}\n`);
}
