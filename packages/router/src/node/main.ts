/** Entry point of the `flamingocourse-router` command. */

import type { RouterSettings } from '../types/routerSettings.js';
import {
  describeError,
  runInBackground,
  SystemClock,
  WinstonEventLog,
} from '@flamingocourse/kernel';
import { command, flag, positional, run, string } from 'cmd-ts';
import { createRouter } from './createRouter.js';
import { printSettings, resolveConfig } from './resolveConfig.js';

/** Exit codes of the daemon. */
const exitCodes = { ok: 0, settings: 1, start: 3, stop: 4 } as const;

const app = command({
  name: 'flamingocourse-router',
  description: 'Routes requests to model engines and plain services within prepaid budgets.',
  version: '0.1.0',
  args: {
    file: positional({
      type: string,
      displayName: 'SETTINGS',
      description: 'settings file in JSON with comments; docs/SETTINGS.md lists every setting',
    }),
    check: flag({ long: 'check', description: 'check the settings file and exit' }),
    print: flag({
      long: 'print-settings',
      description: 'print all settings with defaults filled in and exit',
    }),
  },
  handler: async ({ file, check, print }) => {
    const settings = await resolveConfig(file);
    if (settings.isErr) {
      process.stderr.write(`${settings.error.message}\n`);
      process.exitCode = exitCodes.settings;
      return;
    }
    if (print) process.stdout.write(`${printSettings(settings.value)}\n`);
    if (check) process.stdout.write(`${file}: settings are valid\n`);
    if (!print && !check) await serve(settings.value);
  },
});

async function serve(settings: RouterSettings): Promise<void> {
  const { instance, dataCentre } = settings;
  const log = new WinstonEventLog({ level: settings.logLevel, defaults: { instance, dataCentre } });
  const router = createRouter({ settings, clock: new SystemClock(), log, random: Math.random });
  // A second signal must not start a second shutdown while the first one waits for requests.
  let stopping = false;
  const stop = (): void => {
    if (stopping) return;
    stopping = true;
    const end = async (): Promise<void> => {
      await router.stop();
      process.exit(exitCodes.ok);
    };
    // a stop that fails must not leave a process that serves nobody.
    runInBackground(end, (err) => {
      log.write('service-failed', { error: describeError(err) });
      process.exit(exitCodes.stop);
    });
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  try {
    await router.start();
  } catch (err) {
    log.write('service-failed', { error: describeError(err) });
    process.exit(exitCodes.start);
  }
}

await run(app, process.argv.slice(2));
