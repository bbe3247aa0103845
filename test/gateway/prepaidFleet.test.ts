import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PrepaidFleet } from './fleet/prepaidFleet.js';

/** As many instances and accounts as a grown deployment has; one account's callers come in at one of them. */
const GROWN = {
  dataCentres: 4,
  instancesPerDataCentre: 22,
  accounts: 24,
  requestsPerSecond: 352,
  budgetSeconds: 44,
  atOneInstance: 0.14,
  seed: 27,
};
/** Milliseconds that each way to the store takes longer for the instance with so many callers. */
const BUSY_MS = 60;
/** Milliseconds after a cut in which a call of that time may hang, and the next one be due. */
const HANGING_MS = 1_500;
/** Part of the requests that may be refused for want of tokens while the store answers and budgets are hardly touched. */
const MOST_REFUSED = 0.02;

// Callers of one account are refused for half a minute: their instance is the slowest writer and loses each race.
test('an account whose callers come in at one busy instance is served after a cut', async (t) => {
  const fleet = await comeBackFromCut(t);
  const before = { ...fleet.tally('club-0') };
  await fleet.serve(5_000);
  const { asked, refused } = fleet.tally('club-0');
  const part = (refused - before.refused) / (asked - before.asked);
  assert.ok(part <= MOST_REFUSED, `${part.toFixed(3)} of its requests were refused`);
});

// Requests are refused without a question although the store answers: a lost race was taken for a lost store.
test('an instance whose reports lose to others does not take the store for lost', async (t) => {
  const fleet = await PrepaidFleet.start(t, { ...GROWN, instancesPerDataCentre: 2, seed: 5 });
  await fleet.rest(2_000);
  await fleet.serve(1_000);
  fleet.setAlone('edge-0', true);
  await fleet.serve(3_000);
  fleet.setAlone('edge-0', false);
  fleet.faults('edge-0').losesRaces = true;
  await fleet.serve(HANGING_MS);
  const before = refusedAway(fleet);
  await fleet.serve(5_000);
  assert.equal(refusedAway(fleet) - before, 0);
});

// A store that is over its rate for a second is taken for lost by most instances, which refuse all they can't cover.
test('a store that is over its rate is not taken for lost', async (t) => {
  const fleet = await PrepaidFleet.start(t, { ...GROWN, instancesPerDataCentre: 2, seed: 5 });
  await fleet.rest(2_000);
  fleet.setWritesPerSecond(2);
  await fleet.serve(1_000);
  fleet.setWritesPerSecond(1_200);
  await fleet.serve(1_000);
  assert.deepEqual(fleet.lines('store-lost'), []);
});

// Instances that start together hold rights of their own until they know of each other, and leave budgets in pieces.
test('a large fleet that starts for the first time joins with its listed spenders only', async (t) => {
  const fleet = await PrepaidFleet.start(t, { ...GROWN, atOneInstance: 0 });
  await fleet.rest(6_000);
  assert.equal(fleet.lines('prepaid-group-joined').length, 2 * GROWN.dataCentres);
});

// After a cut of all, a quarter of a fleet writes to the store, and their own callers' loans are given back.
test('the listed spenders alone hold rights soon after a cut of all instances', async (t) => {
  const shape = { ...GROWN, instancesPerDataCentre: 6, requestsPerSecond: 60, callers: 60 };
  const fleet = await PrepaidFleet.start(t, { ...shape, atOneInstance: 0, seed: 3 });
  await fleet.rest(4_000);
  await fleet.serve(3_000);
  for (const name of fleet.names) fleet.setAlone(name, true);
  await fleet.serve(4_000);
  for (const name of fleet.names) fleet.setAlone(name, false);
  await fleet.serve(20_000);
  const before = new Map(fleet.names.map((name) => [name, fleet.reportsOf(name)]));
  await fleet.serve(6_000);
  const writers = fleet.names.filter((name) => fleet.reportsOf(name) > (before.get(name) ?? 0));
  assert.equal(writers.length, 2 * GROWN.dataCentres);
});

/**
 * A fleet whose third, the busy instance among them, was cut off for three seconds and is back for longer than
 * a call may hang that was under way when the cut ended.
 */
async function comeBackFromCut(t: TestContext): Promise<PrepaidFleet> {
  const fleet = await PrepaidFleet.start(t, GROWN);
  await fleet.rest(4_000);
  fleet.faults('edge-0').slowMs = BUSY_MS;
  await fleet.serve(2_000);
  const cutOff = fleet.names.filter((_, at) => at % 3 === 0);
  for (const name of cutOff) fleet.setAlone(name, true);
  await fleet.serve(3_000);
  for (const name of cutOff) fleet.setAlone(name, false);
  await fleet.serve(HANGING_MS);
  return fleet;
}

function refusedAway(fleet: PrepaidFleet): number {
  return fleet.lines('prepaid-refused').filter(({ why }) => why === 'away').length;
}
