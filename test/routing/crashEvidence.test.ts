import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { QuarantineEvent, QuarantineState } from '@flamingocourse/core';
import { createQuarantine, judgeFingerprint, reduceQuarantine } from '@flamingocourse/core';
import type { CrashScenario, CrashResult } from './fixtures/crashingFleet.js';
import { simulateCrashes } from './fixtures/crashingFleet.js';

const SEEDS = 40;
const MS_PER_SECOND = 1_000;
const MS_PER_MINUTE = 60_000;
/** Servers that a cause may crash: three, and three more until all instances know of it. */
const MAX_CRASHED = 6;

/** A crash as reported by one of several instances that had requests in flight at the server. */
function crash(server: string, ...inFlight: string[]): QuarantineEvent {
  return { type: 'crashed', server, inFlight, isShared: true };
}

function finish(fingerprint: string): QuarantineEvent {
  return { type: 'finished', fingerprint };
}

/** Applies one event per second. */
function after(events: QuarantineEvent[]): QuarantineState {
  return events.reduce(
    (state, event, i) => reduceQuarantine(state, event, (i + 1) * MS_PER_SECOND),
    createQuarantine(),
  );
}

describe('a request on servers shared by several instances', () => {
  // Guards against an instance that blames an innocent request because it does not see the cause,
  // which another instance sent to the same server.
  const cases = [
    {
      name: 'two crashes, alone as far as its instance knows',
      events: [
        crash('s1', 'cause'),
        crash('s1', 'other'),
        crash('s2', 'other'),
        crash('s2', 'cause'),
      ],
      cause: 'suspect',
      other: 'suspect',
    },
    {
      name: 'three servers, and no other request was in flight at all of them',
      events: [crash('s1', 'cause', 'other'), crash('s2', 'cause', 'other'), crash('s3', 'cause')],
      cause: 'quarantined',
      other: 'suspect',
    },
    {
      name: 'three servers, and another request was in flight at all of them',
      events: [
        crash('s1', 'cause', 'other'),
        crash('s2', 'cause', 'other'),
        crash('s3', 'cause', 'other'),
      ],
      cause: 'suspect',
      other: 'suspect',
    },
    {
      name: 'a fourth server distinguishes them',
      events: [
        ...['s1', 's2', 's3'].map((server) => crash(server, 'cause', 'other')),
        crash('s4', 'cause'),
      ],
      cause: 'quarantined',
      other: 'suspect',
    },
    {
      name: 'two that always run together are both refused after the fifth server',
      events: ['s1', 's2', 's3', 's4', 's5'].map((server) => crash(server, 'cause', 'other')),
      cause: 'quarantined',
      other: 'quarantined',
    },
    {
      name: 'one crash that three instances report counts once',
      events: [crash('s1', 'cause'), crash('s1', 'cause'), crash('s1', 'cause')],
      cause: 'suspect',
      other: 'clear',
    },
    {
      name: 'it finished between the crashes',
      events: [crash('s1', 'cause'), crash('s2', 'cause'), finish('cause'), crash('s3', 'cause')],
      cause: 'suspect',
      other: 'clear',
    },
    {
      name: 'servers also crash without it',
      events: [
        crash('s1', 'cause'),
        ...['s2', 's3'].map((server) => crash(server, 'other')),
        crash('s4', 'cause'),
        crash('s5', 'cause'),
      ],
      cause: 'suspect',
      other: 'suspect',
    },
  ];
  for (const { name, events, cause, other } of cases) {
    test(name, () => {
      const state = after(events);
      const now = 10 * MS_PER_SECOND;
      assert.equal(judgeFingerprint(state, 'cause', now), cause);
      assert.equal(judgeFingerprint(state, 'other', now), other);
    });
  }

  test('is allowed again after ten minutes, and refused for a day if it crashes a server then', () => {
    let state = after(['s1', 's2', 's3'].map((server) => crash(server, 'cause')));
    assert.equal(judgeFingerprint(state, 'cause', 9 * MS_PER_MINUTE), 'quarantined');
    assert.equal(judgeFingerprint(state, 'cause', 11 * MS_PER_MINUTE), 'suspect');
    state = reduceQuarantine(state, crash('s4', 'cause'), 11 * MS_PER_MINUTE);
    assert.equal(judgeFingerprint(state, 'cause', 600 * MS_PER_MINUTE), 'quarantined');
  });

  test('is cleared when it finishes, even while it is refused', () => {
    const crashes = ['s1', 's2', 's3'].map((server) => crash(server, 'cause'));
    const state = after([...crashes, finish('cause')]);
    assert.equal(judgeFingerprint(state, 'cause', 10 * MS_PER_SECOND), 'clear');
  });
});

describe('simulated load on ten servers', () => {
  // Guards against refusing requests that only ran beside a cause, and against a cause that crashes
  // one server after another.
  const quiet = { repeatMs: 450, ownCrashMs: Infinity, repeated: 5 };
  const cases: (Omit<CrashScenario, 'seed'> & { name: string; refused: number })[] = [
    { ...quiet, name: 'one cause', causes: 1, refused: 0 },
    { ...quiet, name: 'three causes', causes: 3, refused: 0.01 },
    { ...quiet, name: 'one cause, often', causes: 1, repeatMs: 100, refused: 0.01 },
    { ...quiet, name: 'a crash every 600 ms', causes: 0, ownCrashMs: 600, refused: 0.01 },
    { ...quiet, name: 'a cause and unrelated crashes', causes: 1, ownCrashMs: 600, refused: 0.01 },
  ];
  for (const { name, refused, ...shape } of cases) {
    test(`${name}: at most ${String(MAX_CRASHED)} servers crash, few other requests are refused`, () => {
      const runs = play(shape);
      const ended = Math.max(0, ...runs.flatMap(({ crashedBy }) => crashedBy));
      const sent = runs.reduce((sum, run) => sum + run.sent, 0);
      const wrong = runs.reduce((sum, run) => sum + run.refused, 0);
      assert.ok(ended <= MAX_CRASHED, `${String(ended)} servers`);
      assert.ok(wrong <= refused * sent, `${String(wrong)} of ${String(sent)} refused`);
    });
  }

  // Guards against an innocent request that is mistaken for a cause and refused for a day.
  const storms = [
    { ...quiet, name: 'a crash every 250 ms', causes: 0, ownCrashMs: 250 },
    { ...quiet, name: 'three causes, often', causes: 3, repeatMs: 100 },
  ];
  for (const { name, ...shape } of storms) {
    test(`${name}: no other request is refused for longer than a minute`, () => {
      const runs = play(shape);
      const later = runs.reduce((sum, { refusedLater }) => sum + refusedLater, 0);
      assert.equal(later, 0);
    });
  }
});

function play(shape: Omit<CrashScenario, 'seed'>): CrashResult[] {
  return Array.from({ length: SEEDS }, (_, i) => simulateCrashes({ ...shape, seed: i + 1 }));
}
