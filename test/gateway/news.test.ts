import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { NewsShape } from './fleet/newsFleet.js';
import { NewsFleet } from './fleet/newsFleet.js';

/** Milliseconds in which all instances have to know what one has found out. */
const KNOWN_MS = 3_000;
/** Characters of a message: what a link of 7 Mbit/s carries in a fifth of a second. */
const MOST_CHARACTERS = 175_000;

const SMALL = { dataCentres: 4, instancesPerDataCentre: 2, lost: 0, seed: 1 };
const LARGE = { dataCentres: 6, instancesPerDataCentre: 32, lost: 0, seed: 2 };

// What one instance has found out about a request that ends servers stays with it.
const cases: (NewsShape & { name: string })[] = [
  { ...SMALL, name: 'a small fleet' },
  { ...SMALL, name: 'a small fleet whose messages get lost', lost: 0.3 },
  { ...LARGE, name: 'a large fleet' },
  { ...LARGE, name: 'a large fleet whose messages get lost', lost: 0.3 },
];
for (const { name, ...shape } of cases) {
  test(`all instances of ${name} hear in time of a server's end`, async (t) => {
    const fleet = await NewsFleet.start(t, shape);
    await fleet.pass(500);
    report(fleet, 'edge-0', 's1');
    await fleet.pass(KNOWN_MS);
    assert.equal(fleet.informed('s1'), fleet.names.length - 1);
  });
}

// An instance that was cut off goes on sending a request that all others refuse.
test('a data centre that was cut off hears both ways after the cut what was found out in it', async (t) => {
  const fleet = await NewsFleet.start(t, SMALL);
  await fleet.pass(500);
  fleet.setCut('hall-0', true);
  report(fleet, 'edge-0', 'within');
  report(fleet, 'edge-1', 'without');
  await fleet.pass(8_000);
  assert.deepEqual([fleet.informed('within'), fleet.informed('without')], [1, 5]);
  fleet.setCut('hall-0', false);
  await fleet.pass(KNOWN_MS);
  assert.deepEqual([fleet.informed('within'), fleet.informed('without')], [7, 7]);
});

// A message gets lost in one direction only, and its sender takes it for told.
test('an instance that is heard and hears nothing keeps nobody else from hearing', async (t) => {
  const fleet = await NewsFleet.start(t, SMALL);
  await fleet.pass(500);
  fleet.setDeaf('edge-5');
  report(fleet, 'edge-0', 's1');
  await fleet.pass(KNOWN_MS);
  assert.equal(fleet.informed('s1'), 6);
});

// A process that starts anew, under the name of one that knew, is told nothing because its peers take it for that one.
test('a process that starts anew hears what was found out before', async (t) => {
  const fleet = await NewsFleet.start(t, SMALL);
  await fleet.pass(500);
  report(fleet, 'edge-0', 's1');
  await fleet.pass(KNOWN_MS);
  await fleet.startProcess('edge-3');
  await fleet.pass(100);
  assert.ok(fleet.knows('edge-3', 's1'));
});

// After a thousand servers' ends a message is too long for the link of a small instance.
test('messages stay short, and the last news come through, however much is known', async (t) => {
  const fleet = await NewsFleet.start(t, SMALL);
  await fleet.pass(500);
  for (let i = 0; i < 1_000; i += 1) report(fleet, `edge-${String(i % 8)}`, `s${String(i)}`, 24);
  await fleet.pass(KNOWN_MS);
  assert.equal(fleet.informed('s999'), 7);
  assert.ok(fleet.largest <= MOST_CHARACTERS, `${String(fleet.largest)} characters`);
});

// Instances talk without having anything to say, on each of thousands of machines.
test('nothing is sent while nothing was found out', async (t) => {
  const fleet = await NewsFleet.start(t, SMALL);
  await fleet.pass(1_000);
  const before = fleet.messages;
  await fleet.pass(10_000);
  assert.equal(fleet.messages, before);
});

test('messages become few while nothing new is found out', async (t: TestContext) => {
  const fleet = await NewsFleet.start(t, SMALL);
  await fleet.pass(500);
  report(fleet, 'edge-0', 's1');
  await fleet.pass(200_000);
  const before = fleet.messages;
  await fleet.pass(60_000);
  const each = (fleet.messages - before) / fleet.names.length;
  assert.ok(each <= 5, `${String(each)} of each instance in a minute`);
});

function report(fleet: NewsFleet, name: string, server: string, requests = 1): void {
  const inFlight = Array.from({ length: requests }, (_, i) => `${server}-${String(i)}`.padEnd(28));
  fleet.process(name).news.publish({ type: 'crashed', server, inFlight });
}
