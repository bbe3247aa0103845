/** Runs one engine stand-in in its own process; a simulated crash ends the process. */

import { binary, boolean, command, flag, number, option, run } from 'cmd-ts';
import { createEngineStandIn } from './engineStandIn.js';

const CRASH_EXIT_CODE = 70;

const engineCommand = command({
  name: 'engine-stand-in',
  args: {
    port: option({ type: number, long: 'port', defaultValue: () => 0 }),
    slots: option({ type: number, long: 'slots', defaultValue: () => 8 }),
    decodeMs: option({ type: number, long: 'decode-ms', defaultValue: () => 10 }),
    seed: option({ type: number, long: 'seed', defaultValue: () => 1 }),
    checksFencing: flag({ type: boolean, long: 'checks-fencing' }),
  },
  handler: async (args) => {
    const onCrash = (): never => process.exit(CRASH_EXIT_CODE);
    const engine = await createEngineStandIn({ ...args, onCrash });
    process.stdout.write(`${JSON.stringify({ url: engine.url })}\n`);
    process.on('SIGTERM', () => process.exit(0));
  },
});

await run(binary(engineCommand), process.argv);
