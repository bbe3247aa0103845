import type { TestContext } from 'node:test';
import type { PeerHealth } from '@flamingocourse/core';
import type { TestRouter } from './fixtures.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MeshClient, packHeartbeat, unpackHeartbeat } from '@flamingocourse/mesh';
import { MemoryObjectStore } from '@flamingocourse/store';
import { MembershipTable, routerInstanceList } from '../../packages/router/src/node/fleet/index.js';
import { createMember, setPartition, startRouter, times, until } from './fixtures.js';

/** Starts two routers in each of two data centres; the first is the seed of the others. */
async function startFleet(t: TestContext): Promise<TestRouter[]> {
  const store = new MemoryObjectStore();
  const first = { instance: 'r1', dataCentre: 'dc-a', centre: 1, store };
  const routers = [await startRouter(t, first)];
  const seeds = [routers[0]?.link.url ?? ''];
  for (const [instance, centre] of [
    ['r2', 1],
    ['r3', 2],
    ['r4', 2],
  ] as const) {
    const dataCentre = centre === 1 ? 'dc-a' : 'dc-b';
    routers.push(await startRouter(t, { instance, dataCentre, centre, store, seeds }));
  }
  await until('each router knows all others', () =>
    routers.every((r) => countHealth(r, 'alive') === 3),
  );
  return routers;
}

function countHealth(router: TestRouter, health: PeerHealth): number {
  return router.fleet.peers().filter((peer) => peer.health === health).length;
}

test('routers find each other through one seed and agree on owners', async (t) => {
  const [r1, r2, r3, r4] = await startFleet(t);
  assert.ok(r1 && r2 && r3 && r4);
  await until('all serve', () => r1.fleet.peers().every(({ info }) => info.state === 'serving'));
  const owners = (router: TestRouter): string[] =>
    ['a', 'b', 'c', 'd'].map((key) => router.fleet.localOwner(key).incarnation);
  await until('dc-a agrees', () => owners(r1).join() === owners(r2).join());
  await until('dc-b agrees', () => owners(r3).join() === owners(r4).join());
  assert.equal(r1.fleet.localPeers().length, 1);
  assert.match(r1.fleet.self.incarnation, /^dc-a\/r1\/[0-9a-f]{12}$/);
});

test('a router finds the others through the instance list', async (t) => {
  const store = new MemoryObjectStore();
  const options = { dataCentre: 'dc-a', centre: 1, store };
  const r1 = await startRouter(t, { ...options, instance: 'r1' });
  const service = routerInstanceList;
  store.setInstances([{ service, id: 'r1', dataCentre: 'dc-a', url: r1.link.url, state: 'live' }]);
  const r2 = await startRouter(t, { ...options, instance: 'r2' });
  assert.equal(countHealth(r2, 'alive'), 1, 'known when its start ends');
  await until('known to the other too', () => countHealth(r1, 'alive') === 1);
});

// Guards against entries of a crashed router that stay unsettled because no peer detects the crash.
// Peers must mark it as suspect, then gone, notify their services, and take over what it owned.
test('a crash is detected and reported, and peers take over', async (t) => {
  const [r1, r2, r3] = await startFleet(t);
  assert.ok(r1 && r2 && r3);
  const seen: PeerHealth[] = [];
  const { incarnation } = r2.fleet.self;
  r1.fleet.onHealthChange(({ info, health }) => {
    if (info.incarnation === incarnation) seen.push(health);
  });
  await r2.kill();
  await until('gone at all peers', () =>
    [r1, r3].every((r) => r.fleet.find(incarnation)?.health === 'gone'),
  );
  await until('reported', () => seen.join() === 'suspect,gone');
  for (const key of ['a', 'b', 'c', 'd']) assert.equal(r1.fleet.localOwner(key), r1.fleet.self);
});

// Guards against a data centre that stalls because a stopped router keeps its duties until its
// failure is detected. Its last heartbeat must hand them over immediately.
test('a graceful stop hands duties over before the failure is detected', async (t) => {
  const [r1, r2] = await startFleet(t);
  assert.ok(r1 && r2);
  await r2.stop();
  assert.equal(r1.fleet.find(r2.fleet.self.incarnation)?.info.state, 'leaving');
  for (const key of ['a', 'b', 'c', 'd']) assert.equal(r1.fleet.localOwner(key), r1.fleet.self);
});

// Guards against peers that call an old incarnation after a restart: a delayed heartbeat of the old
// incarnation arrived after its end and marked it as alive again.
test('a restart is a new incarnation, and a stale beat does not revive the old one', async (t) => {
  const [r1, r2] = await startFleet(t);
  assert.ok(r1 && r2);
  const old = r1.fleet.find(r2.fleet.self.incarnation)?.info;
  assert.ok(old);
  await r2.kill();
  const again = await startRouter(t, {
    instance: 'r2',
    dataCentre: 'dc-a',
    centre: 1,
    store: new MemoryObjectStore(),
    seeds: [r1.link.url],
  });
  await until('old incarnation is gone', () => r1.fleet.find(old.incarnation)?.health === 'gone');
  const late = new MeshClient();
  t.after(() => {
    late.close();
  });
  const target = { meshUrl: r1.link.url };
  const message = packHeartbeat({ info: old, digest: [], members: [old] });
  assert.ok((await late.call(target, 'heartbeat', message)).isOk);
  assert.equal(r1.fleet.find(old.incarnation)?.health, 'gone');
  assert.equal(r1.fleet.find(again.fleet.self.incarnation)?.health, 'alive');
});

test('a partition separates the data centres, and they find each other again', async (t) => {
  const [r1, r2, r3, r4] = await startFleet(t);
  assert.ok(r1 && r2 && r3 && r4);
  setPartition([r1, r2], [r3, r4], 'silent');
  await until('separated', () => [r1, r2, r3, r4].every((r) => countHealth(r, 'gone') === 2));
  assert.equal(r1.fleet.localPeers().length, 1, 'routers of one data centre still see each other');
  assert.equal(r3.fleet.localPeers().length, 1);
  setPartition([r1, r2], [r3, r4], 'none');
  await until('together', () => [r1, r2, r3, r4].every((r) => countHealth(r, 'alive') === 3));
});

test('calls meant for an earlier incarnation of the same process still reach it', async (t) => {
  const [r1, r2] = await startFleet(t);
  assert.ok(r1 && r2);
  const before = r1.fleet.self;
  const after = r1.fleet.renewIncarnation();
  assert.notEqual(after, before.incarnation);
  await until('the new incarnation is known', () => r2.fleet.find(after)?.health === 'alive');
  const client = new MeshClient();
  t.after(() => {
    client.close();
  });
  const pull = await client.call(before, 'pullConfiguration', { since: 0 });
  assert.ok(pull.isOk);
});

// Guards against a router that seals all its peers on resume, as it heard of none while its machine was suspended.
test('a router that resumes after a pause does not consider its peers gone', () => {
  const table = new MembershipTable(createMember('r1'), times, []);
  const message = { info: createMember('r2'), digest: [], members: [] };
  table.tick(1_000);
  table.observe(message, 1_000);
  const wake = 1_000 + 60_000;
  assert.equal(table.peers(wake)[0]?.health, 'alive', 'before the first tick');
  table.tick(wake);
  assert.equal(table.peers(wake)[0]?.health, 'alive', 'after it');
  for (let now = wake; now <= wake + times.goneMs; now += times.heartbeatMs) table.tick(now);
  assert.equal(
    table.peers(wake + times.goneMs)[0]?.health,
    'gone',
    'the timeout counts from the resume',
  );
});

const packed = [
  { name: 'nothing but itself', message: { info: createMember('r1'), digest: [], members: [] } },
  {
    name: 'others, and names that are not part of the incarnation',
    message: {
      info: createMember('r1', { state: 'leaving', beat: 9, revision: 7 }),
      digest: [{ incarnation: 'dc-a/r2/1', beat: 3, ageMs: 40 }],
      members: [createMember('r2'), createMember('r3', { incarnation: 'x', state: 'starting' })],
    },
  },
];
for (const { name, message } of packed) {
  test(`unpacking returns the packed heartbeat: ${name}`, () => {
    const sent: unknown = JSON.parse(JSON.stringify(packHeartbeat(message)));
    assert.deepEqual(unpackHeartbeat(sent as ReturnType<typeof packHeartbeat>), message);
  });
}
