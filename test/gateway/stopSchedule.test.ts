import type { StopPhase } from '../../packages/gateway/src/runtime/stopSchedule.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { StopSchedule } from '../../packages/gateway/src/runtime/stopSchedule.js';

/** Grace period of these tests, in milliseconds. */
const GRACE_MS = 8_000;

function stoppedAt(now: number): StopSchedule {
  const stop = new StopSchedule();
  stop.begin({ graceMs: GRACE_MS, since: now, now });
  return stop;
}

describe('the phase of a stop that began at 1,000', () => {
  const cases: { at: number; phase: StopPhase }[] = [
    { at: 1_000, phase: 'draining' },
    { at: 3_599, phase: 'draining' },
    { at: 3_600, phase: 'finishing' },
    { at: 8_399, phase: 'finishing' },
    { at: 8_400, phase: 'over' },
    { at: 20_000, phase: 'over' },
  ];
  for (const { at, phase } of cases) {
    test(`at ${String(at)} is ${phase}`, () => {
      assert.equal(stoppedAt(1_000).phase(at), phase);
    });
  }
});

// Guards against answers that are cut, or final answers that are never written, because it is not known when the grace period began.
describe('the phase of a stop that was asked for between 1,000 and 2,500', () => {
  const cases: { at: number; phase: StopPhase }[] = [
    { at: 5_099, phase: 'draining' },
    { at: 5_100, phase: 'finishing' },
    { at: 8_399, phase: 'finishing' },
    { at: 8_400, phase: 'ending' },
    { at: 9_166, phase: 'ending' },
    { at: 9_167, phase: 'over' },
  ];
  const stop = new StopSchedule();
  stop.begin({ graceMs: GRACE_MS, since: 1_000, now: 2_500 });
  for (const { at, phase } of cases) {
    test(`at ${String(at)} is ${phase}`, () => {
      assert.equal(stop.phase(at), phase);
    });
  }

  test('accepts any deadline only while the signal can have come within the time to drain', () => {
    assert.deepEqual([stop.accepts(20_000, 3_599), stop.accepts(20_000, 3_600)], [true, false]);
    assert.deepEqual([stop.accepts(8_400, 3_600), stop.accepts(8_401, 3_600)], [true, false]);
  });
});

// Guards against a request that is sent to a server and can't be answered before the process ends.
describe('a request that is read', () => {
  const cases: { name: string; readAt: number; endsAt: number; accepted: boolean }[] = [
    { name: 'while callers still come', readAt: 2_500, endsAt: 17_000, accepted: true },
    { name: 'late, with a deadline in time', readAt: 7_000, endsAt: 7_400, accepted: true },
    { name: 'late, with a later deadline', readAt: 7_000, endsAt: 7_401, accepted: false },
    { name: 'at the end', readAt: 7_400, endsAt: 7_400, accepted: false },
  ];
  for (const { name, readAt, endsAt, accepted } of cases) {
    test(`${name} is ${accepted ? 'accepted' : 'refused'}`, () => {
      assert.equal(stoppedAt(0).accepts(endsAt, readAt), accepted);
    });
  }
});

test('an instance that was not asked to stop accepts everything', () => {
  const stop = new StopSchedule();
  assert.deepEqual([stop.phase(0), stop.accepts(1e9, 0)], ['serving', true]);
});

// Guards against a second signal that gives a stop more time than the process has.
test('a second signal does not begin the stop again', () => {
  const stop = stoppedAt(0);
  stop.begin({ graceMs: GRACE_MS, since: 5_000, now: 5_000 });
  assert.deepEqual([stop.sinceMs(6_000), stop.phase(7_400)], [6_000, 'over']);
});
