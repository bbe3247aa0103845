import type { FleetInstance } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { StreamHolders } from '@flamingocourse/core';

/** Streams whose holders are compared in each case. */
const STREAMS = 300;
/** Numbers of instances of the own data centre, and of other data centres, that are asked. */
const NEAR = 2;
const FAR = 3;

function fleetOf(sizes: number[]): FleetInstance[] {
  return sizes.flatMap((count, centre) =>
    Array.from({ length: count }, (_, at) => ({
      name: `edge-${String(centre)}-${String(at)}`,
      dataCentre: `dc-${String(centre)}`,
      meshUrl: 'http://mesh',
    })),
  );
}

function keys(): string[] {
  return Array.from({ length: STREAMS }, (_, at) => `stream-${String(at)}`);
}

// Guards against later tries that are refused because the instances asked are not those that were told.
describe('an instance that is asked for a stream', () => {
  const cases = [
    { name: 'seven instances in four data centres', sizes: [2, 2, 2, 1] },
    { name: 'eight instances in three data centres', sizes: [3, 3, 2] },
    { name: 'one instance in each data centre', sizes: [1, 1, 1, 1, 1] },
    { name: 'one data centre', sizes: [6] },
    { name: 'two instances', sizes: [1, 1] },
    {
      name: 'many instances in many data centres',
      sizes: Array.from({ length: 22 }, () => 13),
    },
  ];
  for (const { name, sizes } of cases) {
    test(`was told of it, or is the asking one: ${name}`, () => {
      const fleet = fleetOf(sizes);
      let missed = 0;
      for (const [at, key] of keys().entries()) {
        const from = fleet[at % fleet.length];
        const asking = fleet[(at * 7 + 1) % fleet.length];
        if (!from || !asking || from === asking) continue;
        const told = new StreamHolders(fleet, from).toRecord(key).slice(0, 2);
        // the instance where the stream began is lost: neither asked nor of any use.
        const asked = new StreamHolders(fleet, asking)
          .toAsk(key, NEAR, FAR)
          .filter(({ name: other }) => other !== from.name);
        if (![asking, ...asked].some((instance) => told.includes(instance))) missed += 1;
      }
      assert.equal(missed, 0);
    });
  }

  test('was told of it although one instance joined in between', () => {
    const before = fleetOf([3, 3, 2]);
    const after = [...before, { name: 'new', dataCentre: 'dc-1', meshUrl: 'http://mesh' }];
    const [from, , , asking] = before;
    assert.ok(from && asking);
    const missed = keys().filter((key) => {
      const told = new StreamHolders(before, from).toRecord(key).slice(0, 2);
      const asked = new StreamHolders(after, asking).toAsk(key, NEAR, FAR);
      return ![asking, ...asked].some((instance) => told.includes(instance));
    });
    assert.deepEqual(missed, []);
  });
});

describe('the instances that hold a stream', () => {
  const fleet = fleetOf([4, 4, 4]);
  const [self] = fleet;
  assert.ok(self);

  test('are one in the own data centre and one elsewhere, and never the own one', () => {
    for (const key of keys()) {
      const [near, far, ...rest] = new StreamHolders(fleet, self).toRecord(key);
      assert.equal(near?.dataCentre, self.dataCentre);
      assert.notEqual(far?.dataCentre, self.dataCentre);
      assert.ok(![near, far, ...rest].includes(self));
    }
  });

  test('share the streams evenly', () => {
    const counts = new Map<string, number>();
    for (const key of keys()) {
      const [near] = new StreamHolders(fleet, self).toRecord(key);
      counts.set(near?.name ?? '', (counts.get(near?.name ?? '') ?? 0) + 1);
    }
    assert.equal(counts.size, 3);
    for (const count of counts.values()) assert.ok(count > STREAMS / 6, String(count));
  });

  test('serve peers', () => {
    const silent = fleet.map((instance, at) => {
      return at % 2 === 0 ? instance : { name: instance.name, dataCentre: instance.dataCentre };
    });
    for (const key of keys()) {
      const holders = new StreamHolders(silent, self).toRecord(key);
      assert.ok(holders.every(({ meshUrl }) => meshUrl !== undefined));
    }
  });
});

// Guards against a part of the fleet that is cut off together and takes itself for the whole.
describe('the fleet is reached', () => {
  const cases: { name: string; sizes: number[]; answered: string[]; reached: boolean }[] = [
    { name: 'if nobody answers', sizes: [2, 2], answered: [], reached: false },
    {
      name: 'if only the own data centre answers',
      sizes: [3, 2],
      answered: ['0-1', '0-2'],
      reached: false,
    },
    {
      name: 'if one data centre is missing',
      sizes: [2, 2, 2],
      answered: ['0-1', '1-0'],
      reached: false,
    },
    {
      name: 'if each other data centre answers',
      sizes: [2, 2, 2],
      answered: ['1-1', '2-0'],
      reached: true,
    },
    {
      name: 'if one of many in a single data centre answers',
      sizes: [4],
      answered: ['0-1'],
      reached: false,
    },
    {
      name: 'if two of many in a single data centre answer',
      sizes: [4],
      answered: ['0-1', '0-3'],
      reached: false,
    },
    {
      name: 'if most of a single data centre answer',
      sizes: [7],
      answered: ['0-1', '0-2', '0-3', '0-4', '0-5'],
      reached: false,
    },
    {
      name: 'if all of a single data centre answer',
      sizes: [4],
      answered: ['0-1', '0-2', '0-3'],
      reached: true,
    },
    { name: 'if the only other instance answers', sizes: [2], answered: ['0-1'], reached: true },
    { name: 'if there is no other instance', sizes: [1], answered: [], reached: false },
  ];
  for (const { name, sizes, answered, reached } of cases) {
    test(`${name}: ${String(reached)}`, () => {
      const fleet = fleetOf(sizes);
      const holders = new StreamHolders(fleet, { name: 'edge-0-0', dataCentre: 'dc-0' });
      const names = new Set(answered.map((suffix) => `edge-${suffix}`));
      assert.equal(holders.areReached(names), reached);
    });
  }

  test('not if an instance of a single data centre serves no peers', () => {
    const meshless = { name: 'edge-0-9', dataCentre: 'dc-0' };
    const self = { name: 'edge-0-0', dataCentre: 'dc-0' };
    const holders = new StreamHolders([...fleetOf([3]), meshless], self);
    assert.equal(holders.areReached(new Set(['edge-0-1', 'edge-0-2'])), false);
  });

  test('by others in place of those that do not answer', () => {
    const holders = new StreamHolders(fleetOf([2, 3, 3]), { name: 'edge-0-0', dataCentre: 'dc-0' });
    const asked = holders.toAsk('stream', NEAR, FAR).map(({ name }) => name);
    const answered = asked.filter((name) => name.startsWith('edge-1'));
    const next = holders.toAskNext('stream', new Set(asked), new Set(answered));
    assert.deepEqual(
      next.map(({ dataCentre }) => dataCentre),
      ['dc-2'],
    );
    assert.ok(!asked.includes(next[0]?.name ?? ''));
  });

  test('by all others of a single data centre', () => {
    const holders = new StreamHolders(fleetOf([6]), { name: 'edge-0-0', dataCentre: 'dc-0' });
    const asked = holders.toAsk('stream', NEAR, FAR).map(({ name }) => name);
    const next = holders.toAskNext('stream', new Set(asked), new Set(asked));
    const all = new Set([...asked, ...next.map(({ name }) => name)]);
    assert.equal(all.size, 5);
    assert.ok(holders.areReached(all));
  });
});
