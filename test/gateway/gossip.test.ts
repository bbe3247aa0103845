import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { GossipFleetShape } from './fleet/gossipFleet.js';
import { GossipFleet } from './fleet/gossipFleet.js';

/** Milliseconds within which all instances have to receive a fact. */
const DELIVERY_MS = 3_000;
/** Maximum characters of a message, which a link of 7 Mbit/s transfers in a fifth of a second. */
const MAX_CHARACTERS = 175_000;

const SMALL = { dataCentres: 4, instancesPerDataCentre: 2, lost: 0, seed: 1 };
const LARGE = { dataCentres: 6, instancesPerDataCentre: 32, lost: 0, seed: 2 };

// Guards against facts about crashing requests that do not reach the other instances.
const cases: (GossipFleetShape & { name: string })[] = [
  { ...SMALL, name: 'a small fleet' },
  { ...SMALL, name: 'a small fleet whose messages get lost', lost: 0.3 },
  { ...LARGE, name: 'a large fleet' },
  { ...LARGE, name: 'a large fleet whose messages get lost', lost: 0.3 },
];
for (const { name, ...shape } of cases) {
  test(`all instances of ${name} are informed of a server crash in time`, async (t) => {
    const fleet = await GossipFleet.start(t, shape);
    await fleet.advance(500);
    report(fleet, 'edge-0', 's1');
    await fleet.advance(DELIVERY_MS);
    assert.equal(fleet.informedCount('s1'), fleet.names.length - 1);
  });
}

// Guards against instances that, after a partition, still send a request that all others refuse.
test('after a partition, facts from both sides reach all instances', async (t) => {
  const fleet = await GossipFleet.start(t, SMALL);
  await fleet.advance(500);
  fleet.setCut('hall-0', true);
  report(fleet, 'edge-0', 'within');
  report(fleet, 'edge-1', 'without');
  await fleet.advance(8_000);
  assert.deepEqual([fleet.informedCount('within'), fleet.informedCount('without')], [1, 5]);
  fleet.setCut('hall-0', false);
  await fleet.advance(DELIVERY_MS);
  assert.deepEqual([fleet.informedCount('within'), fleet.informedCount('without')], [7, 7]);
});

// Guards against senders that count a message as received although the receiver's inbound link has failed.
test('an instance that can send but not receive does not prevent the others from receiving a fact', async (t) => {
  const fleet = await GossipFleet.start(t, SMALL);
  await fleet.advance(500);
  fleet.dropMessagesTo('edge-5');
  report(fleet, 'edge-0', 's1');
  await fleet.advance(DELIVERY_MS);
  assert.equal(fleet.informedCount('s1'), 6);
});

// Guards against peers that confuse a restarted process with its predecessor of the same name, which had
// received the facts, and therefore send it nothing.
test('a restarted process receives the facts found before', async (t) => {
  const fleet = await GossipFleet.start(t, SMALL);
  await fleet.advance(500);
  report(fleet, 'edge-0', 's1');
  await fleet.advance(DELIVERY_MS);
  await fleet.startProcess('edge-3');
  await fleet.advance(100);
  assert.ok(fleet.knows('edge-3', 's1'));
});

// Guards against messages that are too long for the link of a small instance after a thousand crashes.
test('messages stay short and the latest facts arrive, however many facts are known', async (t) => {
  const fleet = await GossipFleet.start(t, SMALL);
  await fleet.advance(500);
  for (let i = 0; i < 1_000; i += 1) report(fleet, `edge-${String(i % 8)}`, `s${String(i)}`, 24);
  await fleet.advance(DELIVERY_MS);
  assert.equal(fleet.informedCount('s999'), 7);
  assert.ok(fleet.largest <= MAX_CHARACTERS, `${String(fleet.largest)} characters`);
});

// Guards against useless messages from each of thousands of machines.
test('nothing is sent while there are no facts', async (t) => {
  const fleet = await GossipFleet.start(t, SMALL);
  await fleet.advance(1_000);
  const before = fleet.messages;
  await fleet.advance(10_000);
  assert.equal(fleet.messages, before);
});

test('messages become rare while there are no new facts', async (t: TestContext) => {
  const fleet = await GossipFleet.start(t, SMALL);
  await fleet.advance(500);
  report(fleet, 'edge-0', 's1');
  await fleet.advance(200_000);
  const before = fleet.messages;
  await fleet.advance(60_000);
  const each = (fleet.messages - before) / fleet.names.length;
  assert.ok(each <= 5, `${String(each)} of each instance in a minute`);
});

function report(fleet: GossipFleet, name: string, server: string, requests = 1): void {
  const inFlight = Array.from({ length: requests }, (_, i) => `${server}-${String(i)}`.padEnd(28));
  fleet.process(name).gossip.publish({ type: 'crashed', server, inFlight });
}
