import type { BackendServer, ServerBounds } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  ANY_SERVER,
  Evacuations,
  SendRules,
  ServerNotices,
  ServerPool,
  ServerRateLimits,
} from '@flamingocourse/core';

const NOW = 1_000;
const NOTHING = {
  leaving: false,
  rest: { type: 'none' },
  rateLimit: { type: 'none' },
  brittle: { type: 'none' },
  cold: { type: 'none' },
  rejected: false,
} as const;

class GateWorld {
  readonly rules = new SendRules(
    new ServerNotices(new ServerRateLimits(() => 0), () => 0),
    new Evacuations(),
  );
  readonly pool = new ServerPool({
    dataCentre: 'dc-a',
    concurrencyPerServer: 8,
    rules: this.rules,
  });
  readonly server: BackendServer = {
    service: 'chat',
    id: 's1',
    dataCentre: 'dc-a',
    url: 'http://a:1',
    state: 'live',
    softwareVersion: 'v1',
  };

  list(change: Partial<BackendServer> = {}): void {
    this.pool.applyList([{ ...this.server, ...change }], NOW);
  }
}

// Guards against an obstacle that one way to a server knows and another does not.
describe('a server is sent nothing', () => {
  const cases: {
    name: string;
    set: (world: GateWorld) => void;
    bounds?: ServerBounds;
    closedBy?: string;
  }[] = [
    {
      name: 'that is listed as leaving',
      set: (world) => {
        world.list({ state: 'leaving' });
      },
    },
    {
      name: 'that was marked as leaving',
      set: ({ pool }) => {
        pool.markLeaving('s1');
      },
    },
    {
      name: 'that reported that it leaves',
      set: ({ rules }) => {
        rules.notices.record({ id: 's1' }, { ...NOTHING, leaving: true }, 0);
      },
    },
    {
      name: 'that is drained',
      set: ({ pool }) => {
        pool.setDrained('s1', true);
      },
    },
    {
      name: 'outside the subset',
      set: ({ pool }) => {
        pool.setSubset(new Set(['s2']));
      },
    },
    {
      name: 'of another software',
      set: () => undefined,
      bounds: { software: { type: 'version', version: 'v2' } },
      closedBy: 'other-software',
    },
    {
      name: 'in an evacuated data centre',
      set: ({ rules }) => {
        rules.evacuations.begin('dc-a', 0);
      },
      closedBy: 'evacuated',
    },
  ];
  for (const { name, set, bounds = ANY_SERVER, closedBy } of cases) {
    test(name, () => {
      const world = new GateWorld();
      world.list();
      assert.equal(
        world.pool.candidates({ bounds }, NOW).length,
        closedBy === 'other-software' ? 0 : 1,
      );
      set(world);
      assert.equal(world.pool.candidates({ bounds }, NOW).length, 0);
      assert.equal(world.pool.hasOpenServer(undefined, NOW, bounds), false);
      assert.equal(world.pool.maySend(undefined, NOW, bounds), false);
      assert.equal(world.pool.sendPace(NOW, bounds), undefined);
      if (closedBy !== undefined) assert.equal(world.pool.closedBy(NOW, bounds), closedBy);
    });
  }
});

test('an evacuation that is taken back opens its servers again', () => {
  const world = new GateWorld();
  world.list();
  assert.equal(world.rules.evacuations.begin('dc-a', 100), true);
  assert.equal(world.rules.evacuations.begin('dc-a', 200), false);
  assert.equal(world.rules.nextAt(world.server, NOW), Infinity);
  assert.equal(world.rules.evacuations.end('dc-a', 400), 300);
  assert.equal(world.rules.evacuations.end('dc-a', 500), undefined);
  assert.equal(world.rules.nextAt(world.server, NOW), NOW);
  assert.equal(world.pool.candidates({}, NOW).length, 1);
});
