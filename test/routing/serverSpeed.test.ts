import type { BackendServer } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ServerPool, ServerSpeed, SpeedPersistence } from '@flamingocourse/core';
import { createRandom } from './fixtures/seededRandom.js';

const REPORT_EVERY_MS = 40;
/** Turns that a server has while its reports are compared; about 30 of them are slow. */
const TURNS = 200;

/** Persistence learned from one server that is 2.5 times slower for 15 % of its turns. */
function learn(turnMs: number, seed = 1): SpeedPersistence {
  const random = createRandom(seed);
  const persistence = new SpeedPersistence();
  const speed = new ServerSpeed(persistence);
  let slowdown = 1;
  for (let now = 0; now < TURNS * turnMs; now += REPORT_EVERY_MS) {
    if (now % turnMs < REPORT_EVERY_MS) slowdown = random() < 0.15 ? 2.5 : 1;
    speed.report(slowdown, now);
  }
  return persistence;
}

describe('the persistence of reports is learned', () => {
  const cases = [
    { name: 'turns of 600 ms, a new report', turnMs: 600, ageMs: 25, least: 0.9, most: 1 },
    { name: 'turns of 600 ms, half a turn old', turnMs: 600, ageMs: 300, least: 0.3, most: 0.7 },
    { name: 'turns of 600 ms, two turns old', turnMs: 600, ageMs: 1_200, least: 0, most: 0.2 },
    { name: 'turns of 80 ms, 300 ms old', turnMs: 80, ageMs: 300, least: 0, most: 0.2 },
    { name: 'turns of 30 s, 300 ms old', turnMs: 30_000, ageMs: 300, least: 0.9, most: 1 },
  ];
  for (const { name, turnMs, ageMs, least, most } of cases) {
    // Guards against reports that count for too long (a fast server is avoided) or too briefly.
    test(name, () => {
      const value = learn(turnMs).at(ageMs);
      assert.ok(value >= least && value <= most, `persistence ${String(value)}`);
    });
  }

  // Guards against an older report that counts for more than a newer one.
  test('never rises with the age', () => {
    for (const turnMs of [80, 600, 30_000]) {
      const persistence = learn(turnMs);
      let before = 1;
      for (let ageMs = 0; ageMs < 10_000; ageMs += 10) {
        const value = persistence.at(ageMs);
        assert.ok(value <= before && value >= 0, `${String(turnMs)} ms, age ${String(ageMs)}`);
        before = value;
      }
    }
  });
});

describe('the expected slowdown', () => {
  const cases = [
    { name: 'is unknown without a report', reports: [], now: 0, least: undefined },
    { name: 'follows a new report', reports: [[2.5, 0]], now: 0, least: 2.5, most: 2.5 },
    { name: 'nears the mean with age', reports: [[2.5, 0]], now: 5_000, least: 1, most: 1.2 },
    {
      name: 'follows the last',
      reports: [
        [2.5, 0],
        [1, 50],
      ],
      now: 50,
      least: 1,
      most: 1,
    },
    {
      name: 'ignores older ones',
      reports: [
        [1, 50],
        [2.5, 0],
      ],
      now: 50,
      least: 1,
      most: 1,
    },
  ] as const;
  for (const { name, reports, now, ...bounds } of cases) {
    // Guards against a figure from another moment that decides about the present one.
    test(name, () => {
      const speed = new ServerSpeed();
      for (const [slowdown, at] of reports) speed.report(slowdown, at);
      const value = speed.expected(now);
      if (bounds.least === undefined) {
        assert.equal(value, undefined);
        return;
      }
      assert.ok(value !== undefined && value >= bounds.least && value <= bounds.most);
    });
  }
});

describe('the speed of a server in a pool', () => {
  const listed: BackendServer = {
    service: 'ledger',
    id: 'p1',
    dataCentre: 'dc-a',
    url: 'http://p1',
    state: 'live',
    bornAt: 1,
  };
  const cases: { name: string; change: (pool: ServerPool) => void; expected?: number }[] = [
    {
      name: 'stays with a new list',
      change: (pool) => {
        pool.applyList([{ ...listed }], 10);
      },
      expected: 2.5,
    },
    {
      name: 'ends with the process in the list',
      change: (pool) => {
        pool.applyList([{ ...listed, bornAt: 2 }], 10);
      },
    },
    {
      name: 'ends if a connection shows another process',
      change: (pool) => {
        pool.recordReplaced(listed, 10);
      },
    },
  ];
  for (const { name, change, expected } of cases) {
    // Guards against a restarted server that is avoided for the speed of its predecessor.
    test(name, () => {
      const pool = new ServerPool({ dataCentre: 'dc-a', concurrencyPerServer: 2 });
      pool.applyList([listed], 0);
      pool.reportLoad('p1', { running: 0, waiting: 0, at: 10, slowdown: 2.5 }, 10);
      change(pool);
      assert.equal(pool.candidates({}, 10)[0]?.slowdown, expected);
      assert.equal(pool.speedReports(10)[0]?.slowdown, expected);
    });
  }
});
