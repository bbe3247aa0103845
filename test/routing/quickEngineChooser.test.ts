import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { PrefixAffinityChooser, QuickEngineChooser } from '@flamingocourse/core';
import { simulateChunkedEngines } from './fixtures/chunkedEngine.js';
import { createRandom } from './fixtures/seededRandom.js';

const affinity = new PrefixAffinityChooser(1.5);
const quick = new QuickEngineChooser(affinity);

// Guards against streams made late by long prompts, which all engines get alike although some are slow.
describe('long prompts and streams on engines of different speeds', () => {
  const speeds = [1, 1, 1.3, 1, 1, 1.3, 1, 1];
  for (const seed of [1, 2, 3]) {
    test(`fewer streams pause for too long, seed ${String(seed)}`, () => {
      const before = simulateChunkedEngines(affinity, speeds, createRandom(seed));
      const after = simulateChunkedEngines(quick, speeds, createRandom(seed));
      const summary = `${String(after.late)} late of ${String(after.notes)}, ${String(before.late)} before`;
      assert.ok(before.late > 100, summary);
      assert.ok(after.late < 0.6 * before.late, summary);
    });
  }
});

// If most engines are slow, the few fast ones must not get all long prompts: these would queue
// there for longer than their callers wait.
describe('no engine is excluded if too few would remain, or if none is slow', () => {
  const cases = [
    { name: 'most are slow', speeds: [1, 1, 1, 1.3, 1.3, 1.3, 1.3, 1.3] },
    { name: 'all are equally fast', speeds: [1, 1, 1, 1, 1, 1, 1, 1] },
  ];
  for (const { name, speeds } of cases) {
    test(name, () => {
      const { busiest } = simulateChunkedEngines(quick, speeds, createRandom(4));
      assert.ok(busiest < 2, `the busiest engine got ${String(busiest)} times its even share`);
    });
  }
});
