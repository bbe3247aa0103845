import type { TestContext } from 'node:test';
import type { PeerHealth } from '@flamingocourse/core';
import type { TestRouter } from './fixtures.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MeshClient, packHeartbeat, unpackHeartbeat } from '@flamingocourse/mesh';
import { MemoryObjectStore } from '@flamingocourse/store';
import { MembershipTable, routerInstanceList } from '../../packages/router/src/node/fleet/index.js';
import { createMember, setPartition, startRouter, times, until } from './fixtures.js';

/** Two routers in each of two data centres; all but the first know only the first. */
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
  await until('all know all', () => routers.every((r) => countHealth(r, 'alive') === 3));
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
  assert.equal(countHealth(r2, 'alive'), 1, 'known at the end of its start');
  await until('known to the other too', () => countHealth(r1, 'alive') === 1);
});

// duty pilots wait for a dead router's entries to be settled: the router crashed, and nobody noticed.
// Peers must take it as suspect, then gone, tell their services, and take over what it owned.
test('a death is noticed, reported and taken over', async (t) => {
  const [r1, r2, r3] = await startFleet(t);
  assert.ok(r1 && r2 && r3);
  const seen: PeerHealth[] = [];
  const { incarnation } = r2.fleet.self;
  r1.fleet.onHealthChange(({ info, health }) => {
    if (info.incarnation === incarnation) seen.push(health);
  });
  await r2.kill();
  await until('gone at all', () =>
    [r1, r3].every((r) => r.fleet.find(incarnation)?.health === 'gone'),
  );
  await until('reported', () => seen.join() === 'suspect,gone');
  for (const key of ['a', 'b', 'c', 'd']) assert.equal(r1.fleet.localOwner(key), r1.fleet.self);
});

// a stopped router keeps its duties until its silence is noticed, and its data centre stalls. Its
// last heartbeat must hand them over at once.
test('a planned stop moves duties before the silence is noticed', async (t) => {
  const [r1, r2] = await startFleet(t);
  assert.ok(r1 && r2);
  await r2.stop();
  assert.equal(r1.fleet.find(r2.fleet.self.incarnation)?.info.state, 'leaving');
  for (const key of ['a', 'b', 'c', 'd']) assert.equal(r1.fleet.localOwner(key), r1.fleet.self);
});

// after a restart peers go on calling the dead life of a router: a delayed heartbeat of it arrived
// after it had died and revived it.
test('a restart is a new life, and a stale beat does not revive the old one', async (t) => {
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
  await until('old life is gone', () => r1.fleet.find(old.incarnation)?.health === 'gone');
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
  assert.equal(r1.fleet.localPeers().length, 1, 'the own data centre stays together');
  assert.equal(r3.fleet.localPeers().length, 1);
  setPartition([r1, r2], [r3, r4], 'none');
  await until('together', () => [r1, r2, r3, r4].every((r) => countHealth(r, 'alive') === 3));
});

test('calls meant for an earlier life of the same process still reach it', async (t) => {
  const [r1, r2] = await startFleet(t);
  assert.ok(r1 && r2);
  const before = r1.fleet.self;
  const after = r1.fleet.renewIncarnation();
  assert.notEqual(after, before.incarnation);
  await until('the new life is known', () => r2.fleet.find(after)?.health === 'alive');
  const client = new MeshClient();
  t.after(() => {
    client.close();
  });
  const pull = await client.call(before, 'pullConfiguration', { since: 0 });
  assert.ok(pull.isOk);
});

// an operator sees a router seal all its peers after the machine was suspended: it woke, had heard
// nobody for minutes, and took everyone as gone before the first heartbeat came in.
test('a router that wakes from a pause does not take its peers as gone', () => {
  const table = new MembershipTable(createMember('r1'), times, []);
  const message = { info: createMember('r2'), digest: [], members: [] };
  table.tick(1_000);
  table.observe(message, 1_000);
  const wake = 1_000 + 60_000;
  assert.equal(table.peers(wake)[0]?.health, 'alive', 'before the first tick');
  table.tick(wake);
  assert.equal(table.peers(wake)[0]?.health, 'alive', 'after it');
  for (let now = wake; now <= wake + times.goneMs; now += times.heartbeatMs) table.tick(now);
  assert.equal(table.peers(wake + times.goneMs)[0]?.health, 'gone', 'silence counts from then on');
});

const packed = [
  { name: 'nothing but itself', message: { info: createMember('r1'), digest: [], members: [] } },
  {
    name: 'others, and names that the incarnation does not spell',
    message: {
      info: createMember('r1', { state: 'leaving', beat: 9, revision: 7 }),
      digest: [{ incarnation: 'dc-a/r2/1', beat: 3, ageMs: 40 }],
      members: [createMember('r2'), createMember('r3', { incarnation: 'x', state: 'starting' })],
    },
  },
];
for (const { name, message } of packed) {
  test(`a heartbeat is unpacked as it was packed: ${name}`, () => {
    const sent: unknown = JSON.parse(JSON.stringify(packHeartbeat(message)));
    assert.deepEqual(unpackHeartbeat(sent as ReturnType<typeof packHeartbeat>), message);
  });
}
