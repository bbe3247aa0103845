import type { FleetView, PressureLevel } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { FleetConditions } from '@flamingocourse/gateway';
import { slowEventLoop } from './blockEventLoop.js';
import { World, until } from './world.js';

/** Milliseconds of an iteration of the event loop that makes the instance overloaded. */
const ITERATION_MS = 400;
/** Milliseconds after which an instance may leave rotation, and longest time out of it. */
const START_MS = 10_000;
const MAX_OUT_MS = 5_000;
const TERMS = ['pressure'];

/** A view of four instances of the own data centre and four of another one. */
class FixedConditions extends FleetConditions {
  constructor(
    readonly peers: PressureLevel,
    readonly elsewhere: PressureLevel,
  ) {
    super();
  }

  override view(): FleetView {
    const instances = { calm: 0, pressed: 0, overloaded: 0, [this.elsewhere]: 4 };
    return {
      at: 0,
      peers: ['edge-1', 'edge-2', 'edge-3', 'edge-4'].map((instance) => {
        return { instance, pressure: this.peers, ready: true, ageMs: 100 };
      }),
      dataCentres: [{ dataCentre: 'hall-b', instances, ready: 4, ageMs: 100 }],
      demand: {},
    };
  }
}

/** Sends requests to a slow instance until it counts as overloaded; returns how to restore its speed. */
async function overload(world: World): Promise<() => void> {
  const restoreSpeed = slowEventLoop(ITERATION_MS);
  const calling = setInterval(() => void world.call({ path: '/look/1', method: 'GET' }), 50);
  await until('overloaded', () => lastPressure(world) === 'overloaded');
  return () => {
    clearInterval(calling);
    restoreSpeed();
  };
}

function lastPressure(world: World): unknown {
  return world.log.events.findLast(({ event }) => event === 'pressure-changed')?.fields.pressure;
}

function rotations(world: World): { out: unknown; why: unknown }[] {
  return world.log.events
    .filter(({ event }) => event === 'rotation-changed')
    .map(({ fields: { out, why } }) => ({ out, why }));
}

describe('an overloaded instance', () => {
  const cases: {
    name: string;
    terms: string[];
    conditions?: FleetConditions;
    why: string | undefined;
  }[] = [
    {
      name: 'leaves rotation while others are calm, and returns',
      terms: TERMS,
      conditions: new FixedConditions('calm', 'pressed'),
      why: 'relief',
    },
    {
      name: 'leaves it with all others while another data centre is calm, and returns',
      terms: TERMS,
      conditions: new FixedConditions('pressed', 'calm'),
      why: 'diversion',
    },
    // Guards against an instance that leaves rotation by its own pressure, when all others may have it too.
    { name: 'stays if nothing is known of the others', terms: TERMS, why: undefined },
    {
      name: 'stays if all are overloaded',
      terms: TERMS,
      conditions: new FixedConditions('overloaded', 'overloaded'),
      why: undefined,
    },
    // Guards against a change for deployments that do not call for it.
    {
      name: 'stays in a deployment that does not call for it',
      terms: [],
      conditions: new FixedConditions('calm', 'calm'),
      why: undefined,
    },
  ];
  for (const { name, terms, conditions, why } of cases) {
    test(name, async (t) => {
      const world = await World.start(t, undefined, {
        terms,
        ...(conditions ? { conditions } : {}),
      });
      if (terms.length === 0) {
        const restoreSpeed = slowEventLoop(ITERATION_MS);
        await delay(3 * ITERATION_MS);
        restoreSpeed();
        assert.equal(await world.ready(), 200);
        assert.equal(world.events.includes('pressure-changed'), false);
        return;
      }
      if (why === 'relief') await delay(START_MS);
      const restore = await overload(world);
      if (why === undefined) {
        await delay(1_000);
        assert.deepEqual([await world.ready(), rotations(world)], [200, []]);
        restore();
        return;
      }
      await until('out', () => rotations(world).length > 0);
      restore();
      assert.equal(await world.ready(), 503);
      assert.match(await world.metrics(), new RegExp(`out_of_rotation{why="${why}"} 1`));
      const answer = await world.call({ path: '/look/1', method: 'GET' });
      assert.deepEqual([answer.status, answer.headers.connection], [200, 'close']);
      await delay(MAX_OUT_MS);
      assert.deepEqual(rotations(world), [
        { out: true, why },
        { out: false, why: undefined },
      ]);
      assert.equal(await world.ready(), 200);
    });
  }
});
