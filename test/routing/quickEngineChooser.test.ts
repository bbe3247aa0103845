import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { PrefixAffinityChooser, QuickEngineChooser } from '@flamingocourse/core';
import { playChunkedEngines } from './fixtures/chunkedEngine.js';
import { createRandom } from './fixtures/seededRandom.js';

const affinity = new PrefixAffinityChooser(1.5);
const quick = new QuickEngineChooser(affinity);

// a forester's note stops for a third of a second and counts as late. Patrol reports with long prompts
// go to all engines alike; a slow one needs over 300 ms for the three parts between two events.
describe('long prompts beside streams on engines of different speeds', () => {
  const speeds = [1, 1, 1.3, 1, 1, 1.3, 1, 1];
  for (const seed of [1, 2, 3]) {
    test(`fewer streams pause for too long, seed ${String(seed)}`, () => {
      const before = playChunkedEngines(affinity, speeds, createRandom(seed));
      const after = playChunkedEngines(quick, speeds, createRandom(seed));
      const told = `${String(after.late)} late of ${String(after.notes)}, ${String(before.late)} before`;
      assert.ok(before.late > 100, told);
      assert.ok(after.late < 0.6 * before.late, told);
    });
  }
});

// with most engines slow the few quick ones must not get all long prompts: they would queue there
// for longer than their callers wait.
describe('nothing changes where too few engines would remain, or none is slow', () => {
  const cases = [
    { name: 'most are slow', speeds: [1, 1, 1, 1.3, 1.3, 1.3, 1.3, 1.3] },
    { name: 'all are alike', speeds: [1, 1, 1, 1, 1, 1, 1, 1] },
  ];
  for (const { name, speeds } of cases) {
    test(name, () => {
      const { busiest } = playChunkedEngines(quick, speeds, createRandom(4));
      assert.ok(busiest < 2, `the busiest engine got ${String(busiest)} times its part`);
    });
  }
});
