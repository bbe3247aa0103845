import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { shortageTrustMs, reportPeriodMs } from '@flamingocourse/gateway';

// Guards against the cost of store calls using up the earnings of a large fleet, as when each instance
// reported every second.
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

// Guards against refusals by an older page after tokens were returned, and against a store flooded by fetches of all instances.
describe('how long a page with too few tokens is trusted', () => {
  const cases = [
    { periodMs: 2_000, instances: 1, trustMs: 36 },
    { periodMs: 2_000, instances: 7, trustMs: 252 },
    { periodMs: 4_000, instances: 86, trustMs: 3_096 },
    { periodMs: 4_000, instances: 2_800, trustMs: 4_000 },
  ];
  for (const { periodMs, instances, trustMs } of cases) {
    test(`${String(instances)} instances: ${String(trustMs)} ms`, () => {
      assert.equal(shortageTrustMs(periodMs, instances), trustMs);
    });
  }
});
