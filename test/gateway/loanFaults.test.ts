import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRandom } from '../../packages/lab/src/runtime/random.js';
import { PrepaidFleet } from './fleet/prepaidFleet.js';

const SMALL = { dataCentres: 3, instancesPerDataCentre: 5, accounts: 6, requestsPerSecond: 60 };

// Guards against overspending a prepaid budget: borrowed tokens are still spent after their lender was killed,
// cut off, replaced or stopped.
for (const seed of Array.from({ length: 8 }, (_, n) => n + 100)) {
  test(`no fault of instances, links or store lets loans exceed a prepaid budget (seed ${String(seed)})`, async (t) => {
    const fleet = await PrepaidFleet.start(t, { ...SMALL, budgetSeconds: 5, seed });
    const random = createRandom(seed);
    await fleet.advance(2_000);
    for (let step = 0; step < 60; step += 1) {
      await disturb(fleet, random);
      await fleet.serve(random.int(50, 700));
      for (const [account, { committed, limit }] of fleet.tallies) {
        assert.ok(committed <= limit, `${account}: ${String(committed)} of ${String(limit)}`);
      }
    }
    const { asked, refused } = fleet.total;
    assert.ok(refused < asked, 'nobody was served');
  });
}

async function disturb(
  fleet: PrepaidFleet,
  random: ReturnType<typeof createRandom>,
): Promise<void> {
  const name = random.pick(fleet.names);
  const faults = fleet.faults(name);
  switch (random.int(0, 8)) {
    case 0:
    case 1:
      fleet.kill(name);
      break;
    case 2:
      fleet.stop(name);
      break;
    case 3:
    case 4:
      for (const other of fleet.names) await fleet.restart(other);
      break;
    case 5:
      faults.isStoreCut = !faults.isStoreCut;
      break;
    case 6:
      faults.isPeerCut = !faults.isPeerCut;
      break;
    case 7:
      faults.lostAnswers = faults.lostAnswers === 0 ? 0.5 : 0;
      break;
    case 8:
      fleet.topUp(0.05);
      break;
  }
}
