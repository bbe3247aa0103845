/** Runs the platform stand-in in its own process. */

import { runInBackground } from '@flamingocourse/kernel';
import { endOnFailure } from '../../utils/endOnFailure.js';
import { array, command, multioption, number, option, run, string } from 'cmd-ts';
import { createPlatformStandIn } from './platformStandIn.js';

const main = command({
  name: 'platform-stand-in',
  description: 'Object API and instance list on loopback, with fault switches',
  args: {
    listen: multioption({
      type: array(string),
      long: 'listen',
      description: 'data centre and port, such as dc-a=7001; may be given several times',
    }),
    operatorsPort: option({ type: number, long: 'operators-port', defaultValue: () => 0 }),
    seed: option({ type: number, long: 'seed', defaultValue: () => 1 }),
    instanceLagMs: option({ type: number, long: 'instance-lag-ms', defaultValue: () => 1_000 }),
    readsPerSecond: option({ type: number, long: 'reads-per-second', defaultValue: () => 2_000 }),
    writesPerSecond: option({ type: number, long: 'writes-per-second', defaultValue: () => 400 }),
  },
  handler: async ({ listen, ...options }) => {
    const standIn = await createPlatformStandIn({ listenPorts: parseListen(listen), ...options });
    const { urls, operatorsUrl } = standIn;
    process.stdout.write(`${JSON.stringify({ urls, operatorsUrl })}\n`);
    const stop = (): void => {
      runInBackground(() => standIn.close().then(() => process.exit(0)), endOnFailure);
    };
    process.once('SIGTERM', stop);
    process.once('SIGINT', stop);
  },
});

function parseListen(entries: string[]): Record<string, number> {
  return Object.fromEntries(
    entries.map((entry) => {
      const [, dataCentre, port] = /^([^=]+)=(\d+)$/.exec(entry) ?? [];
      if (dataCentre === undefined) throw new Error(`write "${entry}" as data-centre=port`);
      return [dataCentre, Number(port)] as const;
    }),
  );
}

await run(main, process.argv.slice(2));
