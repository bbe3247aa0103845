import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  createRetryBudget,
  decideRetry,
  earnRetry,
  resolveAttemptPlan,
  spendRetry,
} from '@flamingocourse/core';

const plans = [
  { idempotent: false, remaining: 9_000, typicalMs: 100, attempts: 1, attemptTimeoutMs: 9_000 },
  { idempotent: true, remaining: 9_000, typicalMs: 1_000, attempts: 3, attemptTimeoutMs: 3_000 },
  { idempotent: true, remaining: 1_500, typicalMs: 1_000, attempts: 1, attemptTimeoutMs: 1_500 },
  { idempotent: true, remaining: 0, typicalMs: 1_000, attempts: 1, attemptTimeoutMs: 0 },
];
for (const { idempotent, remaining, typicalMs, ...expected } of plans) {
  test(`${idempotent ? '' : 'non-'}idempotent with ${remaining} ms left`, () => {
    const request = { idempotent, deadline: 10_000, maxAttempts: 3, typicalMs };
    assert.deepEqual(resolveAttemptPlan(request, 10_000 - remaining), expected);
  });
}

describe('after a failed attempt', () => {
  // Guards against duplicate reservations, and `not-run` said of one that was made, after a connection failed with the request sent.
  const cases = [
    { idempotent: false, made: 1, provablyNotRun: false, expected: 'outcome-unknown/unknown' },
    { idempotent: false, made: 1, provablyNotRun: true, expected: 'retry' },
    { idempotent: false, made: 3, provablyNotRun: true, expected: 'backend-failed/not-run' },
    { idempotent: true, made: 1, provablyNotRun: false, expected: 'retry' },
    { idempotent: true, made: 3, provablyNotRun: false, expected: 'backend-failed/unknown' },
    {
      idempotent: true,
      made: 1,
      provablyNotRun: false,
      now: 900,
      expected: 'deadline-passed/unknown',
    },
  ];
  for (const { idempotent, now = 0, expected, ...failure } of cases) {
    test(`${JSON.stringify({ idempotent, ...failure, now })} gives ${expected}`, () => {
      const plan = { attempts: idempotent ? 3 : 1, attemptTimeoutMs: 100 };
      const decision = decideRetry({ idempotent, plan, deadline: 800 }, failure, now);
      const text = decision.type === 'retry' ? 'retry' : `${decision.reason}/${decision.run}`;
      assert.equal(text, expected);
    });
  }
});

// Guards against retries that amplify an outage: all servers fail, each request is attempted three
// times, and the load triples just when the servers recover.
test('retries are at most a fifth of the requests once the saved budget is spent', () => {
  let budget = createRetryBudget({ ratio: 0.2, max: 10 });
  let retries = 0;
  for (let i = 0; i < 1_000; i += 1) {
    budget = earnRetry(budget);
    const spent = spendRetry(budget);
    if (!spent) continue;
    budget = spent;
    retries += 1;
  }
  assert.ok(retries >= 200 && retries <= 211, `${retries}`);
});
