/** `npm run compat -- --other DIR`: runs this build and another one in one fleet, in both orders. */

import { command, option, run, string } from 'cmd-ts';
import { BuildMissingError, findBuild } from './builds.js';
import { checkGateways } from './checkGateways.js';
import { checkRouters } from './checkRouters.js';

const exitCodes = { held: 0, broken: 1, usage: 2 } as const;

const compat = command({
  name: 'compat',
  description: 'checks that two builds work in one fleet and read the data that the other wrote',
  args: {
    other: option({
      long: 'other',
      type: string,
      description: 'built checkout of the other version',
    }),
  },
  handler: async ({ other }) => {
    process.exitCode = await check(other);
  },
});

await run(compat, process.argv.slice(2));

async function check(directory: string): Promise<number> {
  try {
    const builds = [findBuild('this', '.'), findBuild('other', directory)] as const;
    const [current, previous] = builds;
    let broken = 0;
    for (const [first, second] of [
      [previous, current],
      [current, previous],
    ] as const) {
      for (const checkFleet of [checkGateways, checkRouters]) {
        const report = await checkFleet(first, second);
        console.log(
          `${report.title}: ${first.label} build alone, then the ${second.label} build beside it`,
        );
        for (const line of report.seen) console.log(`  ${line}`);
        for (const line of report.broken) console.log(`  BROKEN: ${line}`);
        broken += report.broken.length;
      }
    }
    console.log(`${String(broken)} promises broken`);
    return broken === 0 ? exitCodes.held : exitCodes.broken;
  } catch (err) {
    // Each check has stopped the processes that it started.
    console.error(err instanceof Error ? err.message : String(err));
    return err instanceof BuildMissingError ? exitCodes.usage : exitCodes.broken;
  }
}
