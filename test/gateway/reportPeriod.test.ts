import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { believedShortMs, reportPeriodMs } from '@flamingocourse/gateway';

// the store's price eats up what a large fleet earns: each instance reported each second.
describe('the report period', () => {
  const cases = [
    { instances: 1, periodMs: 1_000 },
    { instances: 8, periodMs: 1_000 },
    { instances: 60, periodMs: 3_000 },
    { instances: 73, periodMs: 3_650 },
    { instances: 2_800, periodMs: 4_000 },
  ];
  for (const { instances, periodMs } of cases) {
    test(`of ${String(instances)} instances is ${String(periodMs)} ms`, () => {
      assert.equal(reportPeriodMs(1_000, instances), periodMs);
    });
  }
});

// foresters are refused for two seconds after another instance has given tokens back: this one believed
// a page from before. In a large fleet the same question of each would fill the store's rate.
describe('how long a page is believed that shows too few tokens', () => {
  const cases = [
    { periodMs: 2_000, instances: 1, believedMs: 36 },
    { periodMs: 2_000, instances: 7, believedMs: 252 },
    { periodMs: 4_000, instances: 86, believedMs: 3_096 },
    { periodMs: 4_000, instances: 2_800, believedMs: 4_000 },
  ];
  for (const { periodMs, instances, believedMs } of cases) {
    test(`${String(instances)} instances: ${String(believedMs)} ms`, () => {
      assert.equal(believedShortMs(periodMs, instances), believedMs);
    });
  }
});
