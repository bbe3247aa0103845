import type { FleetInstance } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { packSums, unpackSums } from '@flamingocourse/core';
import { AdaptiveLoad } from '@flamingocourse/gateway';
import { Kernel, MemoryEventLog, MonotonicClock } from '@flamingocourse/kernel';
import { MeshClient, MeshServer } from '@flamingocourse/mesh';
import { MemoryObjectStore } from '@flamingocourse/store';
import { FleetConditionsService } from '../../packages/gateway/src/node/fleetConditionsService.js';
import { MeshConditionCalls } from '../../packages/gateway/src/node/meshConditionCalls.js';
import {
  ConditionsFleet,
  SERVICE,
  SetDemand,
  SetInstances,
  demandOf,
} from './fleet/conditionsFleet.js';
import { testContext } from './testContext.js';

describe('the exchange of demand and pressure', () => {
  // Guards against sums that miss instances or data centres, or count some twice.
  for (const [dataCentres, instances] of [
    [1, 1],
    [1, 4],
    [3, 12],
    [2, 120],
  ] as const) {
    test(`sums the demand of ${String(instances)} instances in ${String(dataCentres)} data centres`, async (t) => {
      const fleet = await ConditionsFleet.start(t, { dataCentres, instances });
      for (const name of fleet.names) {
        fleet.process(name).demand.current = { [SERVICE]: demandOf({ large: 1, [name]: 0.01 }) };
      }
      await fleet.advance(4_500);
      for (const name of fleet.names) {
        assert.ok(Math.abs(fleet.seen(name, 'large') - instances) < 0.02 * instances + 1e-9, name);
        const { dataCentres: known } = fleet.process(name).conditions.view(fleet.clock.now());
        const calm = known.reduce((sum, each) => sum + each.instances.calm, 0);
        assert.deepEqual([known.length, calm], [dataCentres, instances]);
      }
    });
  }

  // Guards against calls in the deployments that are served without these parts.
  test('makes no call while the parts are off', async (t) => {
    const fleet = await ConditionsFleet.start(t, { dataCentres: 2, instances: 8, isOn: false });
    await fleet.advance(5_000);
    assert.equal(fleet.traffic.size, 0);
  });

  // Guards against control traffic that uses up the processor time of small instances.
  for (const { crowded, calls } of [
    { crowded: false, calls: 6 },
    { crowded: true, calls: 22 },
  ]) {
    test(`costs few calls and bytes ${crowded ? 'with' : 'without'} overload`, async (t) => {
      const fleet = await ConditionsFleet.start(t, { dataCentres: 3, instances: 75 });
      const accounts = Array.from({ length: 24 }, (_, i) => [`account-${String(i)}`, 0.123 * i]);
      for (const name of fleet.names) {
        const demand = demandOf(Object.fromEntries(accounts) as Record<string, number>, crowded);
        fleet.process(name).demand.current = { [SERVICE]: demand };
      }
      await fleet.advance(3_000);
      fleet.traffic.clear();
      await fleet.advance(10_000);
      const collectors = ['hall-0', 'hall-1', 'hall-2'].map((each) => fleet.collectorOf(each));
      for (const [name, { calls: made, bytes }] of fleet.traffic) {
        // a first collector calls those of the two other data centres instead of its own.
        if (collectors.includes(name)) {
          assert.ok(made <= 2 * calls, `${name}: ${String(made)} calls`);
          continue;
        }
        assert.ok(made <= calls, `${name}: ${String(made)} calls`);
        assert.ok(bytes <= 20_480, `${name}: ${String(bytes)} bytes`);
      }
      const all = [...fleet.traffic.values()].reduce((sum, { bytes }) => sum + bytes, 0);
      t.diagnostic(`${String(Math.round(all / 75 / 10))} bytes a second and instance`);
    });
  }

  // Guards against a view that stays wrong after the collector has died.
  test('the next collector takes over within a second', async (t) => {
    const fleet = await ConditionsFleet.start(t, { dataCentres: 1, instances: 8 });
    for (const name of fleet.names) {
      fleet.process(name).demand.current = { [SERVICE]: demandOf({ large: 1 }) };
    }
    await fleet.advance(4_000);
    const dead = fleet.collectorOf('hall-0');
    fleet.setSilent(dead, true);
    await fleet.advance(1_000);
    for (const name of fleet.names.filter((each) => each !== dead)) {
      fleet.process(name).demand.current = { [SERVICE]: demandOf({ large: 1, late: 1 }) };
    }
    await fleet.advance(1_100);
    for (const name of fleet.names.filter((each) => each !== dead)) {
      assert.equal(fleet.seen(name, 'late'), 7, name);
    }
    assert.equal(fleet.log.events.filter(({ event }) => event === 'conditions-lost').length, 0);
  });

  // Guards against shares by demand that a collector counts twice after it was silent.
  test('a collector that was silent for 5 s is followed again, and nobody counts twice', async (t) => {
    const fleet = await ConditionsFleet.start(t, { dataCentres: 2, instances: 12 });
    for (const name of fleet.names) {
      fleet.process(name).demand.current = { [SERVICE]: demandOf({ large: 1 }) };
    }
    await fleet.advance(4_000);
    const silent = fleet.collectorOf('hall-1');
    fleet.setSilent(silent, true);
    await fleet.advance(5_000);
    assert.equal(fleet.seen(silent, 'large'), 1);
    for (const name of fleet.names.filter((each) => each !== silent)) {
      assert.equal(fleet.seen(name, 'large'), 11, name);
    }
    fleet.setSilent(silent, false);
    await fleet.advance(12_000);
    for (const name of fleet.names) assert.equal(fleet.seen(name, 'large'), 12, name);
  });

  // Guards against shares of a capacity that a data centre can't reach.
  test('a data centre that is cut off counts itself alone within 4 s, and so do the others', async (t) => {
    const fleet = await ConditionsFleet.start(t, { dataCentres: 3, instances: 12 });
    for (const name of fleet.names) {
      fleet.process(name).demand.current = { [SERVICE]: demandOf({ large: 1 }) };
    }
    await fleet.advance(4_000);
    fleet.setCut('hall-2', true);
    await fleet.advance(4_000);
    for (const name of fleet.names) {
      const expected = fleet.dataCentreOf(name) === 'hall-2' ? 4 : 8;
      assert.equal(fleet.seen(name, 'large'), expected, name);
    }
    fleet.setCut('hall-2', false);
    await fleet.advance(8_000);
    for (const name of fleet.names) assert.equal(fleet.seen(name, 'large'), 12, name);
  });

  // Guards against a new instance whose demand nobody counts.
  test('a new instance counts from its first report', async (t) => {
    const fleet = await ConditionsFleet.start(t, { dataCentres: 2, instances: 8 });
    for (const name of fleet.names) {
      fleet.process(name).demand.current = { [SERVICE]: demandOf({ large: 1 }) };
    }
    await fleet.advance(4_000);
    await fleet.join('edge-new', 'hall-1');
    fleet.process('edge-new').demand.current = { [SERVICE]: demandOf({ large: 1 }) };
    await fleet.advance(3_000);
    for (const name of fleet.names) assert.equal(fleet.seen(name, 'large'), 9, name);
  });

  // Guards against a wire format that the schema of the mesh refuses, and against builds without it.
  test('works over real calls, and a build without the procedure counts as silent', async (t) => {
    const client = new MeshClient();
    const log = new MemoryEventLog();
    const listed: FleetInstance[] = [];
    const kernels: Kernel[] = [];
    const services: FleetConditionsService[] = [];
    const lists: SetInstances[] = [];
    for (const [i, isOld] of [false, false, false, true].entries()) {
      const server = new MeshServer({ host: '127.0.0.1', port: 0 });
      const base = testContext(new MonotonicClock(), log, new MemoryObjectStore());
      const name = `edge-${String(i)}`;
      const dataCentre = i === 0 ? 'hall-a' : 'hall-b';
      const context = {
        ...base,
        settings: { ...base.settings, instance: name, dataCentre },
        adaptiveLoad: new AdaptiveLoad(() => true),
      };
      const conditions = new FleetConditionsService(context, new MeshConditionCalls(client));
      const demand = new SetDemand();
      demand.current = { [SERVICE]: demandOf({ large: 1 }) };
      conditions.setDemandSource(demand);
      const list = new SetInstances(context);
      const kernel = new Kernel().register(server);
      if (!isOld) {
        server.handle('shareConditions', (sums) =>
          conditions.answer(unpackSums(sums)).map(packSums),
        );
        kernel.register(list).register(conditions);
        services.push(conditions);
        lists.push(list);
      }
      kernels.push(kernel);
      await kernel.start();
      listed.push({ name, dataCentre, meshUrl: server.url });
    }
    t.after(async () => {
      await Promise.all(kernels.map((kernel) => kernel.stop()));
      client.close();
    });
    for (const [i, list] of lists.entries()) list.set(listed, i === 0 ? 'hall-a' : 'hall-b');
    const now = (): number => performance.now();
    const seen = (): (number | undefined)[] => {
      return services.map((each) => each.view(now()).demand[SERVICE]?.accounts.large?.standard);
    };
    const end = now() + 8_000;
    while (now() < end && seen().some((each) => each !== 3)) await delay(50);
    assert.deepEqual(seen(), [3, 3, 3]);
  });
});
