import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EventTiming } from '@flamingocourse/core';

const cases = [
  { name: 'no event', batches: [], pause: 0, quickest: undefined },
  { name: 'too few events for a pace', batches: [0, 20, 40, 60], pause: 20, quickest: undefined },
  { name: 'even intervals', batches: [0, 20, 40, 60, 80], pause: 20, quickest: 20 },
  { name: 'one long pause', batches: [0, 20, 40, 60, 80, 400, 420], pause: 320, quickest: 20 },
  { name: 'two events at once after a gap', batches: [0, 38, 39, 58, 80], pause: 38, quickest: 20 },
];
for (const { name, batches, pause, quickest } of cases) {
  test(name, () => {
    const timing = new EventTiming();
    for (const at of batches) timing.observe(1, 1_000 + at);
    assert.equal(timing.longestPauseMs, pause);
    assert.equal(timing.quickestMs, quickest);
    assert.equal(timing.firstAt, batches.length === 0 ? undefined : 1_000);
  });
}

test('a batch counts as many events as it has', () => {
  const timing = new EventTiming();
  for (const at of [0, 40, 80, 120, 160]) timing.observe(2, at);
  assert.equal(timing.quickestMs, 20);
});
