import type { LateDecision, ServerQueue } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  decideLate,
  expectedFirstMs,
  isLate,
  StandingQueue,
  UsualTimes,
} from '@flamingocourse/core';

const usual = { firstMs: 68, slotMs: 68 };
const idle: ServerQueue = { load: 0, slots: 6 };
const short: ServerQueue = { load: 7, slots: 6 };
const full: ServerQueue = { load: 30, slots: 6 };

interface Case {
  name: string;
  leftMs: number;
  usable?: number;
  servers: ServerQueue[];
  expected: LateDecision;
}

const cases: Case[] = [
  { name: 'in time', leftMs: 336, servers: [full, idle], expected: 'send' },
  { name: 'late, a free slot', leftMs: 10, servers: [full, idle], expected: 'send-late' },
  { name: 'late, few wait there', leftMs: -9, servers: [short], expected: 'send-late' },
  { name: 'in time when the queue is shorter', leftMs: 200, servers: [full], expected: 'wait' },
  { name: 'no server has room', leftMs: 336, servers: [], expected: 'wait' },
  {
    name: 'late by the usual load, but the server is known to be quick',
    leftMs: 200,
    servers: [{ ...full, expectedMs: 150 }],
    expected: 'send',
  },
  {
    name: 'in time by the usual load, but the server is slow at present',
    leftMs: 150,
    servers: [{ load: 12, slots: 6, slowdown: 2.5 }],
    expected: 'wait',
  },
  {
    name: 'a full server by a report that is half a second old',
    leftMs: 150,
    servers: [{ ...full, loadAgeMs: 500 }],
    expected: 'send',
  },
  {
    name: 'in time, but in the part of the queue that is left to the more urgent',
    leftMs: 200,
    usable: 0.6,
    servers: [{ load: 14, slots: 6 }],
    expected: 'wait',
  },
];

describe('a request whose turn it is', () => {
  for (const { name, leftMs, usable = 1, servers, expected } of cases) {
    // Guards against a queue at servers that makes all late, and against servers that are left idle.
    test(`${name}: ${expected}`, () => {
      assert.equal(decideLate({ leftMs, usable, usual }, servers), expected);
    });
  }

  // Guards against a new instance, which knows no times, that sends nothing.
  test('is sent while the usual times are unknown', () => {
    const unknown = { firstMs: undefined, slotMs: undefined };
    assert.equal(decideLate({ leftMs: 1, usual: unknown }, [full]), 'send');
  });
});

describe('a waiting request', () => {
  const late = [
    { leftMs: 200, aheadMs: 100, expected: false },
    { leftMs: 200, aheadMs: 150, expected: true },
    { leftMs: 50, aheadMs: 0, expected: true },
  ];
  for (const { leftMs, aheadMs, expected } of late) {
    // Guards against refusals of requests that can be in time, and waits of those that can't.
    test(`${String(leftMs)} ms before its target, ${String(aheadMs)} ms ahead of it`, () => {
      assert.equal(isLate({ leftMs, usual }, aheadMs), expected);
    });
  }
});

// Guards against a request that is sent behind a queue of which nobody counted the slots.
test('the expected time counts the requests beyond the slots', () => {
  assert.equal(expectedFirstMs({ load: 5, slots: 6 }, usual), 68);
  assert.equal(expectedFirstMs({ load: 11, slots: 6 }, usual), 136);
});

describe('usual times', () => {
  // Guards against a queue that raises the time by which it is judged, so that it is never drained.
  test('hardly follow a queue of ten seconds', () => {
    const times = new UsualTimes();
    for (let count = 0; count < 20; count += 1) times.record('read', 70, 70);
    for (let count = 0; count < 5; count += 1) times.record('read', 700, 700);
    assert.ok((times.firstMs('read') ?? 0) < 140, String(times.firstMs('read')));
    assert.ok((times.slotMs ?? 0) < 140, String(times.slotMs));
  });

  // Guards against an estimate that stays too high for ever, so that all seem late.
  test('fall at once when requests are quick', () => {
    const times = new UsualTimes();
    times.record('read', 700, 700);
    for (let count = 0; count < 10; count += 1) times.record('read', 70, 70);
    assert.ok((times.firstMs('read') ?? 0) < 100);
  });
});

describe('a standing queue', () => {
  const observed: { name: string; at: [number, boolean][]; now: number; expected: boolean }[] = [
    {
      name: 'a burst',
      at: [
        [0, true],
        [200, true],
      ],
      now: 200,
      expected: false,
    },
    {
      name: 'some wait for 300 ms',
      at: [
        [0, true],
        [300, true],
      ],
      now: 300,
      expected: true,
    },
    {
      name: 'none waits in between',
      at: [
        [0, true],
        [200, false],
        [400, true],
      ],
      now: 400,
      expected: false,
    },
    {
      name: 'nothing seen in between',
      at: [
        [0, true],
        [5_000, true],
      ],
      now: 5_000,
      expected: false,
    },
    {
      name: 'nothing seen since',
      at: [
        [0, true],
        [400, true],
      ],
      now: 5_000,
      expected: false,
    },
  ];
  for (const { name, at, now, expected } of observed) {
    // Guards against refusals in a burst that would drain, or by what was seen long ago.
    test(`${name}: ${String(expected)}`, () => {
      const queue = new StandingQueue();
      for (const [time, waits] of at) queue.observe(waits, time);
      assert.equal(queue.isStanding(now), expected);
    });
  }
});
