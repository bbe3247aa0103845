import type { BackendServer, Candidate, LoadReport } from '@flamingocourse/core';
import type { UnevenResult, UnevenSetup } from './fixtures/unevenServers.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  ExpectedTimeChooser,
  ServerPool,
  chooseServer,
  createServerChooser,
} from '@flamingocourse/core';
import { simulateUnevenServers } from './fixtures/unevenServers.js';
import { createRandom } from './fixtures/seededRandom.js';

const WORK_MS = 42.9;
const SLOW = 2.5;
const TURN_MS = 600;
const SERVERS = 3;
/** Capacity of three servers of which one is slow, in servers of the usual speed. */
const CAPACITY = 2 + 1 / SLOW;
const SLOW_SHARE_OF_CAPACITY = 1 / SLOW / CAPACITY;

/** Three servers, one of which is slower in turns, at two thirds of their capacity. */
function setup(fields: Partial<UnevenSetup> = {}): UnevenSetup {
  const slots = fields.slots ?? 2;
  return {
    choosers: 4,
    slowdowns: Array.from({ length: SERVERS }, (_, at) => (now: number) => {
      return Math.floor(now / TURN_MS) % SERVERS === at ? SLOW : 1;
    }),
    slots,
    workMs: WORK_MS,
    perSecond: ((2 / 3) * CAPACITY * slots * 1_000) / WORK_MS,
    targetMs: 200,
    linkMs: 0.9,
    reported: (slowdown) => slowdown,
    forMs: 65_000,
    ...fields,
  };
}

function run(
  kind: 'expected-time' | 'power-of-two',
  fields: UnevenSetup,
  seed: number,
): UnevenResult {
  const create = (): ReturnType<typeof createServerChooser> => {
    const powerOfTwo = createServerChooser('power-of-two');
    return kind === 'power-of-two'
      ? powerOfTwo
      : new ExpectedTimeChooser(powerOfTwo, () => fields.choosers);
  };
  return simulateUnevenServers(fields, create, createRandom(seed));
}

/** Mean over three seeds; single runs differ by 0.02 under such load. */
function meanInTime(kind: Parameters<typeof run>[0], fields: UnevenSetup): number {
  return [1, 2, 3].reduce((sum, seed) => sum + run(kind, fields, seed).inTime, 0) / 3;
}

function describeResult({ inTime, slowShare, meanMs }: UnevenResult): string {
  return `${inTime.toFixed(3)} in time, ${slowShare.toFixed(3)} to the slow one, ${meanMs.toFixed(0)} ms`;
}

// Guards against callers who wait at a server that is slow at the moment while others are free.
describe('three servers of 2 slots, one 2.5 times slower by turns of 600 ms, two thirds of the capacity', () => {
  const results = [1, 2, 3, 4, 5].map((seed) => run('expected-time', setup(), seed));
  const summary = results.map(describeResult).join('; ');

  test('0.98 are in time', () => {
    const inTime = results.reduce((sum, next) => sum + next.inTime, 0) / results.length;
    assert.ok(inTime >= 0.98, summary);
  });

  for (const [at, result] of results.entries()) {
    test(`the slow server gets its share of the capacity and a tenth at most, seed ${String(at + 1)}`, () => {
      assert.ok(result.slowShare <= 1.1 * SLOW_SHARE_OF_CAPACITY, summary);
    });
  }
});

// Guards against a thundering herd: many instances send to the server that all their reports show as idle.
describe('no thundering herd', () => {
  for (const choosers of [4, 75, 300]) {
    for (const reportDelayMs of [0, 100, 300]) {
      const fields = { choosers, reportDelayMs, slots: 6, forMs: 30_000 };
      const name = `${String(choosers)} choosers, reports ${String(reportDelayMs)} ms old`;
      test(`${name}, one slow by turns: as many in time as without speeds`, () => {
        const chosen = meanInTime('expected-time', setup(fields));
        const usual = meanInTime('power-of-two', setup(fields));
        const summary = `${chosen.toFixed(3)}; without speeds ${usual.toFixed(3)}`;
        assert.ok(chosen >= usual - 0.01, summary);
      });
      test(`${name}, all as fast as usual: 0.99 in time, and none gets over 0.4`, () => {
        const slowdowns = Array.from({ length: SERVERS }, () => () => 1);
        const result = run('expected-time', setup({ ...fields, slowdowns }), 3);
        const most = Math.max(...result.shares);
        assert.ok(
          result.inTime >= 0.99 && most <= 0.4,
          `${describeResult(result)}, ${String(most)}`,
        );
      });
    }
  }
});

// Guards against a server that attracts or repels all requests by what it says of itself.
describe('an incorrect figure', () => {
  const cases: { name: string; reported: UnevenSetup['reported'] }[] = [
    {
      name: 'one server always reports a tenth',
      reported: (value, at) => (at === 0 ? 0.1 : value),
    },
    {
      name: 'one server always reports ten times',
      reported: (value, at) => (at === 0 ? 10 : value),
    },
    {
      name: 'one server reports 0.1 and 100 by turns of a second',
      reported: (value, at, now) => (at > 0 ? value : Math.floor(now / 1_000) % 2 > 0 ? 100 : 0.1),
    },
    { name: 'all report the opposite', reported: (value) => 2.5 / value },
    { name: 'only one server reports', reported: (value, at) => (at === 0 ? value : undefined) },
  ];
  for (const { name, reported } of cases) {
    test(name, () => {
      const result = run('expected-time', setup({ reported }), 1);
      const usual = run('power-of-two', setup({ reported }), 1);
      const summary = `${describeResult(result)}; without speeds ${describeResult(usual)}`;
      assert.ok(result.inTime >= usual.inTime - 0.01, summary);
      assert.ok(Math.max(...result.shares) <= 0.5, `${summary}, ${result.shares.join(' ')}`);
      assert.ok(Math.min(...result.shares) >= 0.1, `${summary}, ${result.shares.join(' ')}`);
    });
  }
});

describe('without speed reports', () => {
  // Guards against another choice for deployments whose servers report no speed.
  test('each choice is that of power of two', () => {
    const fields = setup({ reported: () => undefined, forMs: 20_000 });
    assert.deepEqual(run('expected-time', fields, 1), run('power-of-two', fields, 1));
  });
});

describe('data centres', () => {
  function server(id: string, dataCentre: string): BackendServer {
    return { service: 'ledger', id, dataCentre, url: `http://${id}`, state: 'live', slots: 2 };
  }
  function choose(here: number | undefined, elsewhere: number | undefined): Candidate | undefined {
    const options = { dataCentre: 'dc-a', concurrencyPerServer: 4, timesAnswers: true };
    const pool = new ServerPool(options);
    pool.applyList([server('here', 'dc-a'), server('elsewhere', 'dc-b')], 0);
    pool.settle(pool.dispatch('here', 0), { end: 'ok', firstTokenMs: 43 }, 43);
    for (const [id, slowdown] of Object.entries({ here, elsewhere })) {
      const report: LoadReport = { running: 0, waiting: 0, at: 50 };
      pool.reportLoad(id, slowdown === undefined ? report : { ...report, slowdown }, 50);
    }
    const chooser = new ExpectedTimeChooser(createServerChooser('power-of-two'), () => 83);
    return chooseServer(pool, chooser, {}, {}, 50, createRandom(1));
  }
  const cases = [
    { name: 'stays here among equals', here: 1, elsewhere: 1, expected: 'here' },
    { name: 'stays here for a small gain', here: 1.2, elsewhere: 1, expected: 'here' },
    { name: 'leaves a slow server', here: 2.5, elsewhere: 1, expected: 'elsewhere' },
    { name: 'stays here without speeds', here: undefined, elsewhere: undefined, expected: 'here' },
  ];
  for (const { name, here, elsewhere, expected } of cases) {
    // Guards against bytes between data centres for nothing, and against a wait at a slow local server.
    test(name, () => {
      assert.equal(choose(here, elsewhere)?.id, expected);
    });
  }
});
