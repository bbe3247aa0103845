import type { RateLimitChange, ReportedRateLimit } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ServerRateLimits } from '@flamingocourse/core';

const limit = (perSecond: number): ReportedRateLimit => ({ type: 'limit', perSecond });
const none: ReportedRateLimit = { type: 'none' };
const invalid: ReportedRateLimit = { type: 'invalid', text: '-1' };

describe('the known limit after several answers of a server', () => {
  const cases: readonly {
    name: string;
    reports: ReportedRateLimit[];
    changes: (RateLimitChange | undefined)[];
    known: number | undefined;
  }[] = [
    { name: 'none', reports: [none], changes: [undefined], known: undefined },
    { name: 'reported once', reports: [limit(2)], changes: ['named'], known: 2 },
    {
      name: 'repeated, then changed',
      reports: [limit(2), limit(2), limit(3)],
      changes: ['named', undefined, 'changed'],
      known: 3,
    },
    { name: 'ended', reports: [limit(2), none], changes: ['named', 'ended'], known: undefined },
    {
      name: 'unchanged by invalid values, which are reported once',
      reports: [limit(2), invalid, invalid, limit(2), invalid],
      changes: ['named', 'invalid', undefined, undefined, 'invalid'],
      known: 2,
    },
  ];
  for (const { name, reports, changes, known } of cases) {
    test(name, () => {
      const limits = new ServerRateLimits(() => 0.5);
      assert.deepEqual(
        reports.map((report, at) => limits.record('p1', report, at)),
        changes,
      );
      assert.equal(limits.view('p1', 10)?.limitPerSecond, known);
    });
  }
});

test('an instance keeps the limits during an outage of the list', () => {
  const limits = new ServerRateLimits(() => 0.5);
  limits.record('p1', limit(2), 0);
  limits.retain(new Set(), 5_000);
  assert.equal(limits.view('p1', 5_000)?.limitAgeMs, 5_000);
  limits.retain(new Set(), 700_000);
  assert.equal(limits.size, 0);
});
