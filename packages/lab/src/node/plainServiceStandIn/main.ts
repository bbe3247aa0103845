/** Runs one plain service stand-in in its own process. */

import { binary, command, number, option, run } from 'cmd-ts';
import { createPlainServiceStandIn } from './plainServiceStandIn.js';

const CRASH_EXIT_CODE = 70;

const serviceCommand = command({
  name: 'plain-service-stand-in',
  args: {
    port: option({ type: number, long: 'port', defaultValue: () => 0 }),
    serviceMs: option({ type: number, long: 'service-ms', defaultValue: () => 5 }),
    seed: option({ type: number, long: 'seed', defaultValue: () => 1 }),
  },
  handler: async (args) => {
    const onCrash = (): never => process.exit(CRASH_EXIT_CODE);
    const service = await createPlainServiceStandIn({ ...args, onCrash });
    process.stdout.write(`${JSON.stringify({ url: service.url })}\n`);
    process.on('SIGTERM', () => process.exit(0));
  },
});

await run(binary(serviceCommand), process.argv);
