/** A fleet in two data centres whose servers can be crashed by requests. */

import type { TestContext } from 'node:test';
import type { CrashMoment } from './fakeServer.js';
import { FakeServer } from './fakeServer.js';
import { restartUnder } from './restartUnder.js';
import { World } from './world.js';

export const INSTANCES = 6;
const SERVERS = 8;

/** Runs a check with a fleet, and stops the fleet while its store still answers. */
export async function withFleet(
  t: TestContext,
  moment: CrashMoment,
  check: (fleet: World[]) => Promise<void>,
): Promise<void> {
  const fleet = await startFleet(t, moment);
  try {
    await check(fleet);
  } finally {
    await Promise.all(fleet.map((instance) => instance.stop()));
  }
}

/** Starts instances in two data centres, and servers of both services that such a request crashes. */
export async function startFleet(t: TestContext, moment: CrashMoment): Promise<World[]> {
  const first = await World.start(t, undefined, { mesh: true });
  for (const kind of ['p', 'e']) {
    for (let i = 3; i <= SERVERS; i += 1) {
      const server = await new FakeServer(`${kind}${String(i)}`).listen(t);
      first.servers.push(server);
    }
  }
  for (const server of first.servers) restartUnder(first, server, moment);
  const names = Array.from({ length: INSTANCES - 1 }, (_, i) => `edge-${String(i + 2)}`);
  const others = names.map((name, i) => {
    return first.join(t, name, { mesh: true, dataCentre: i % 2 === 0 ? 'hall-b' : 'hall-a' });
  });
  const fleet = [first, ...(await Promise.all(others))];
  await first.allKnow(fleet);
  return fleet;
}
