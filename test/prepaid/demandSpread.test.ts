import type { PrepaidSizingInput } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { PrepaidSizing, demandSpread, knownDemand } from '@flamingocourse/core';

describe('the spread of an account', () => {
  const cases = [
    { name: 'is the whole fleet while nothing is known', rates: [], rate: 0, spread: 64 },
    { name: 'is the whole fleet without demand', rates: [0, 0], rate: 400, spread: 64 },
    { name: 'is one instance that has all', rates: [400, 0, 0], rate: 400, spread: 1 },
    {
      name: 'is four that are asked equally',
      rates: [100, 100, 0, 100, 100],
      rate: 400,
      spread: 4,
    },
    { name: 'counts what is not known like what is', rates: [100, 100], rate: 800, spread: 8 },
    { name: 'counts a seldom asked instance less', rates: [300, 100], rate: 400, spread: 1.6 },
    { name: 'is never more than the fleet', rates: [1, 1], rate: 4_000, spread: 64 },
    { name: 'is not less than what is known', rates: [100, 100], rate: 100, spread: 2 },
  ];
  for (const { name, rates, rate, spread } of cases) {
    test(name, () => {
      assert.equal(demandSpread(knownDemand(rates), rate, 64), spread);
    });
  }
});

// Callers are refused while all instances are alone: tokens were sized as if each of 195 instances had some of them.
describe('an account whose callers stay at 28 of 195 instances, all of them alone for eight seconds', () => {
  const HOMES = 28;
  const ALONE_SECONDS = 8;
  const REQUEST = 4_900;
  const rate = 0.36 * REQUEST;
  const situation: PrepaidSizingInput = {
    rate,
    fleetRate: HOMES * rate,
    remaining: 2_000_000,
    instances: 195,
    spread: demandSpread(knownDemand(Array<number>(HOMES).fill(rate)), HOMES * rate, 195),
    typicalRequest: REQUEST,
  };
  const sizing = new PrepaidSizing();

  test('holds what they ask for where they are', () => {
    const level = sizing.level(situation);
    assert.ok(level >= ALONE_SECONDS * rate, `${String(level)} of ${String(ALONE_SECONDS * rate)}`);
  });

  test('keeps what they ask for after a loss of all instances', () => {
    const left = situation.remaining - HOMES * sizing.level(situation);
    assert.ok(left >= ALONE_SECONDS * situation.fleetRate, `${String(left)} left`);
  });
});
