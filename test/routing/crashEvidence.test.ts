import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { QuarantineEvent, QuarantineState } from '@flamingocourse/core';
import { createQuarantine, judgeFingerprint, reduceQuarantine } from '@flamingocourse/core';
import type { CrashShape, CrashTally } from './fixtures/crashingFleet.js';
import { playCrashes } from './fixtures/crashingFleet.js';

const SEEDS = 40;
const MS_PER_SECOND = 1_000;
const MS_PER_MINUTE = 60_000;
/** Servers that a cause may end: three, and three more until all know of it. */
const MOST_ENDED = 6;

/** A crash as one of several instances that had requests at the server reports it. */
function crash(server: string, ...inFlight: string[]): QuarantineEvent {
  return { type: 'crashed', server, inFlight, isShared: true };
}

function finish(fingerprint: string): QuarantineEvent {
  return { type: 'finished', fingerprint };
}

/** Applies one event a second. */
function after(events: QuarantineEvent[]): QuarantineState {
  return events.reduce(
    (state, event, i) => reduceQuarantine(state, event, (i + 1) * MS_PER_SECOND),
    createQuarantine(),
  );
}

describe('a request at whose servers several instances have requests', () => {
  // An instance takes an innocent request for the cause, because it does not see the cause that another sent there.
  const cases = [
    {
      name: 'two crashes, alone as far as its instance sees',
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
      name: 'three servers, and nobody else was at all of them',
      events: [crash('s1', 'cause', 'other'), crash('s2', 'cause', 'other'), crash('s3', 'cause')],
      cause: 'quarantined',
      other: 'suspect',
    },
    {
      name: 'three servers, and another was at all of them',
      events: [
        crash('s1', 'cause', 'other'),
        crash('s2', 'cause', 'other'),
        crash('s3', 'cause', 'other'),
      ],
      cause: 'suspect',
      other: 'suspect',
    },
    {
      name: 'a fourth tells them apart',
      events: [
        ...['s1', 's2', 's3'].map((server) => crash(server, 'cause', 'other')),
        crash('s4', 'cause'),
      ],
      cause: 'quarantined',
      other: 'suspect',
    },
    {
      name: 'two that always come together are both refused after the fifth',
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
      name: 'it finished somewhere in between',
      events: [crash('s1', 'cause'), crash('s2', 'cause'), finish('cause'), crash('s3', 'cause')],
      cause: 'suspect',
      other: 'clear',
    },
    {
      name: 'servers end without it as well',
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

  test('is let run again after ten minutes, and refused for a day if that ends a server', () => {
    let state = after(['s1', 's2', 's3'].map((server) => crash(server, 'cause')));
    assert.equal(judgeFingerprint(state, 'cause', 9 * MS_PER_MINUTE), 'quarantined');
    assert.equal(judgeFingerprint(state, 'cause', 11 * MS_PER_MINUTE), 'suspect');
    state = reduceQuarantine(state, crash('s4', 'cause'), 11 * MS_PER_MINUTE);
    assert.equal(judgeFingerprint(state, 'cause', 600 * MS_PER_MINUTE), 'quarantined');
  });

  test('is cleared when it finishes, also while it is refused', () => {
    const crashes = ['s1', 's2', 's3'].map((server) => crash(server, 'cause'));
    const state = after([...crashes, finish('cause')]);
    assert.equal(judgeFingerprint(state, 'cause', 10 * MS_PER_SECOND), 'clear');
  });
});

describe('ten servers beside callers', () => {
  // Requests that were only beside a cause are refused, or a cause ends server after server.
  const quiet = { repeatMs: 450, ownCrashMs: Infinity, repeated: 5 };
  const cases: (Omit<CrashShape, 'seed'> & { name: string; refused: number })[] = [
    { ...quiet, name: 'one cause', causes: 1, refused: 0 },
    { ...quiet, name: 'three causes', causes: 3, refused: 0.01 },
    { ...quiet, name: 'one cause, often', causes: 1, repeatMs: 100, refused: 0.01 },
    { ...quiet, name: 'a crash each 600 ms', causes: 0, ownCrashMs: 600, refused: 0.01 },
    { ...quiet, name: 'a cause beside crashes', causes: 1, ownCrashMs: 600, refused: 0.01 },
  ];
  for (const { name, refused, ...shape } of cases) {
    test(`${name}: at most ${String(MOST_ENDED)} end by it, others are hardly refused`, () => {
      const runs = play(shape);
      const ended = Math.max(0, ...runs.flatMap(({ endedBy }) => endedBy));
      const sent = runs.reduce((sum, run) => sum + run.sent, 0);
      const wrong = runs.reduce((sum, run) => sum + run.refused, 0);
      assert.ok(ended <= MOST_ENDED, `${String(ended)} servers`);
      assert.ok(wrong <= refused * sent, `${String(wrong)} of ${String(sent)} refused`);
    });
  }

  // An innocent request that was taken for a cause is refused for a day.
  const storms = [
    { ...quiet, name: 'a crash each 250 ms', causes: 0, ownCrashMs: 250 },
    { ...quiet, name: 'three causes, often', causes: 3, repeatMs: 100 },
  ];
  for (const { name, ...shape } of storms) {
    test(`${name}: nobody else is refused for longer than a minute`, () => {
      const runs = play(shape);
      const later = runs.reduce((sum, { refusedLater }) => sum + refusedLater, 0);
      assert.equal(later, 0);
    });
  }
});

function play(shape: Omit<CrashShape, 'seed'>): CrashTally[] {
  return Array.from({ length: SEEDS }, (_, i) => playCrashes({ ...shape, seed: i + 1 }));
}
