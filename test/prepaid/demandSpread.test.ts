import type { PrepaidSizingInput } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { PrepaidSizing, demandSpread, knownDemand } from '@flamingocourse/core';

describe('demandSpread', () => {
  const cases = [
    { name: 'is the whole fleet if no rate is known', rates: [], rate: 0, spread: 64 },
    {
      name: 'is the whole fleet if no known instance has demand',
      rates: [0, 0],
      rate: 400,
      spread: 64,
    },
    { name: 'is 1 if one instance has all demand', rates: [400, 0, 0], rate: 400, spread: 1 },
    {
      name: 'is 4 if four instances have equal demand',
      rates: [100, 100, 0, 100, 100],
      rate: 400,
      spread: 4,
    },
    { name: 'extrapolates from known to unknown demand', rates: [100, 100], rate: 800, spread: 8 },
    { name: 'counts an instance with less demand less', rates: [300, 100], rate: 400, spread: 1.6 },
    { name: 'is at most the size of the fleet', rates: [1, 1], rate: 4_000, spread: 64 },
    { name: 'is at least the spread of the known demand', rates: [100, 100], rate: 100, spread: 2 },
  ];
  for (const { name, rates, rate, spread } of cases) {
    test(name, () => {
      assert.equal(demandSpread(knownDemand(rates), rate, 64), spread);
    });
  }
});

// Guards against refused callers while all instances are disconnected: the tokens were sized as if
// the callers used all 195 instances.
describe('an account whose callers use 28 of 195 instances, all disconnected for eight seconds', () => {
  const USED_INSTANCES = 28;
  const OUTAGE_SECONDS = 8;
  const REQUEST = 4_900;
  const rate = 0.36 * REQUEST;
  const situation: PrepaidSizingInput = {
    rate,
    fleetRate: USED_INSTANCES * rate,
    remaining: 2_000_000,
    instances: 195,
    spread: demandSpread(
      knownDemand(Array<number>(USED_INSTANCES).fill(rate)),
      USED_INSTANCES * rate,
      195,
    ),
    typicalRequest: REQUEST,
  };
  const sizing = new PrepaidSizing();

  test('holds the demand of its callers at the instances that they use', () => {
    const target = sizing.target(situation);
    assert.ok(
      target >= OUTAGE_SECONDS * rate,
      `${String(target)} of ${String(OUTAGE_SECONDS * rate)}`,
    );
  });

  test('leaves the demand of its callers unallocated for a loss of all instances', () => {
    const left = situation.remaining - USED_INSTANCES * sizing.target(situation);
    assert.ok(left >= OUTAGE_SECONDS * situation.fleetRate, `${String(left)} left`);
  });
});
