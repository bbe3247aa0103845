import type { AttemptHistory, FailedAttempt } from '@flamingocourse/gateway';
import type { RoutedConfig } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { RouteTable, pickTarget } from '@flamingocourse/core';
import {
  RetryAllowance,
  affinityKey,
  mayRetry,
  refusalAfterFailure,
} from '@flamingocourse/gateway';

describe('a retry', () => {
  // guards against running a request twice: the connection broke after it was sent, and it was
  // retried.
  const base: AttemptHistory = {
    repetition: 'once',
    maxAttempts: 1,
    mayHaveRun: 0,
    made: 1,
    leftMs: 400,
    isResumable: true,
  };
  const cases: { failed: FailedAttempt; change?: Partial<AttemptHistory>; expected: boolean }[] = [
    { failed: 'not-sent', expected: true },
    { failed: 'refused', expected: true },
    { failed: 'other-server', expected: true },
    { failed: 'unknown', change: { mayHaveRun: 1 }, expected: false },
    { failed: 'server-error', change: { mayHaveRun: 1 }, expected: false },
    { failed: 'not-sent', change: { leftMs: 5 }, expected: false },
    {
      failed: 'unknown',
      change: { repetition: 'resumable-stream', maxAttempts: 2 },
      expected: true,
    },
    {
      failed: 'unknown',
      change: { repetition: 'resumable-stream', maxAttempts: 2, isResumable: false },
      expected: false,
    },
    { failed: 'not-sent', change: { made: 4 }, expected: false },
    { failed: 'not-sent', change: { mayHaveRun: 1, made: 2 }, expected: false },
    {
      failed: 'unknown',
      change: { repetition: 'idempotent', maxAttempts: 2, mayHaveRun: 1 },
      expected: true,
    },
    {
      failed: 'unknown',
      change: { repetition: 'idempotent', maxAttempts: 2, mayHaveRun: 2, made: 2 },
      expected: false,
    },
    {
      failed: 'unknown',
      change: { repetition: 'once-stream', maxAttempts: 2, mayHaveRun: 1 },
      expected: false,
    },
    {
      failed: 'unknown',
      change: { repetition: 'resumable-stream', maxAttempts: 2, mayHaveRun: 1 },
      expected: true,
    },
  ];
  for (const { failed, change = {}, expected } of cases) {
    test(`${expected ? 'may' : 'may not'} follow ${failed} ${JSON.stringify(change)}`, () => {
      assert.equal(mayRetry(failed, { ...base, ...change }), expected);
    });
  }
});

// guards against a refusal that says "not run" although the request was executed.
test('a refusal says not run only when no attempt can have run', () => {
  assert.equal(refusalAfterFailure(0, 'gone', 300).run, 'not-run');
  assert.equal(refusalAfterFailure(0, 'gone', 300).retryAfterMs, 300);
  assert.equal(refusalAfterFailure(1, 'gone', 300).run, 'unknown');
  assert.equal(refusalAfterFailure(1, 'gone', 300).retryAfterMs, undefined);
});

describe('the retry allowance', () => {
  // guards against retry storms: all servers of a service fail for some seconds, every instance
  // retries each request, and the doubled load keeps the servers down.
  const options = { ratio: 0.2, slack: 54, windowMs: 10_000 };

  test('stays within the bound over all instances, in any window', () => {
    const instances = 7;
    const requests = 200;
    const allowances = Array.from(
      { length: instances },
      () => new RetryAllowance({ ...options, divisor: () => instances }),
    );
    let taken = 0;
    for (let at = 0; at < requests; at += 1) {
      const now = at * 10;
      const allowance = allowances[at % instances];
      allowance?.request(now);
      while (allowance?.take(now)) taken += 1;
    }
    assert.ok(taken > 0);
    assert.ok(taken <= options.ratio * requests + options.slack, `took ${String(taken)}`);
  });

  test('allows a retry again once the previous one is outside the window', () => {
    const allowance = new RetryAllowance({ ...options, ratio: 0, divisor: () => 27 });
    assert.equal(allowance.take(0), true);
    assert.equal(allowance.take(1), false);
    assert.equal(allowance.take(10_001), true);
  });

  test('is a part of the own requests while the number of instances is unknown', () => {
    const allowance = new RetryAllowance({ ...options, divisor: () => undefined });
    for (let now = 0; now < 50; now += 1) allowance.request(now);
    let taken = 0;
    while (allowance.take(50)) taken += 1;
    assert.equal(taken, 8);
  });

  test('forgets requests while nothing fails', () => {
    // guards against a memory leak: timestamps of requests were dropped only when a retry was
    // requested, so an instance without failures grew for a day until it was killed.
    const allowance = new RetryAllowance({ ...options, divisor: () => 1 });
    for (let now = 0; now < 60_000; now += 10) allowance.request(now);
    assert.ok(allowance.timestampCount <= 1_000, `kept ${String(allowance.timestampCount)}`);
  });
});

describe('routes', () => {
  const route = {
    repetition: 'once',
    maxAttempts: 1,
    timeoutMs: 1,
    targetMs: 1,
    priority: 0,
  } as const;
  const config: RoutedConfig = {
    version: 3,
    services: [],
    limits: { maxBodyBytes: 1, headMs: 1, idleMs: 1 },
    accounts: [
      { name: 'kirk', keys: ['k1', 'k2'], prepaid: 10 },
      { name: 'open', keys: ['k3'] },
    ],
    routes: [
      { ...route, name: 'all', host: 'Shop.example', pathPrefix: '/', open: true, targets: [] },
      {
        ...route,
        name: 'beds',
        host: 'shop.example',
        pathPrefix: '/beds/',
        open: true,
        targets: [],
      },
    ],
  };
  const table = new RouteTable(config);
  const cases = [
    { host: 'shop.example', path: '/beds/12', expected: 'beds' },
    { host: 'SHOP.example', path: '/beds/', expected: 'beds' },
    { host: 'shop.example', path: '/beds', expected: 'all' },
    { host: 'other.example', path: '/beds/12', expected: undefined },
  ];
  for (const { host, path, expected } of cases) {
    test(`${host}${path} goes to ${expected ?? 'no route'}`, () => {
      assert.equal(table.findRoute(host, path)?.name, expected);
    });
  }

  test('keys name their account, and only limited accounts have a budget', () => {
    assert.equal(table.findAccount('k2')?.name, 'kirk');
    assert.equal(table.findAccount('k9'), undefined);
    assert.deepEqual([...table.prepaid], [['kirk', 10]]);
  });

  test('traffic is split by weight', () => {
    const split = {
      ...route,
      name: 's',
      host: 'h',
      pathPrefix: '/',
      open: true,
      targets: [
        { service: 'old', weight: 90 },
        { service: 'new', weight: 10 },
      ],
    };
    assert.equal(pickTarget(split, 0.89), 'old');
    assert.equal(pickTarget(split, 0.91), 'new');
    assert.equal(pickTarget({ ...split, targets: [] }, 0.5), undefined);
  });
});

describe('the prompt part that decides where a request goes', () => {
  const part = (id: string) => ({ id, tokens: 100 });
  const cases = [
    { parts: [], expected: undefined },
    { parts: ['a'], expected: 'a' },
    { parts: ['a', 'b'], expected: 'a' },
    { parts: ['a', 'b', 'c'], expected: 'b' },
  ];
  for (const { parts, expected } of cases) {
    test(`of [${parts.join(' ')}] is ${expected ?? 'none'}`, () => {
      assert.equal(affinityKey(parts.map(part)), expected);
    });
  }
});
