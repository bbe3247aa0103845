/** Load: every instance of a fleet is cut off from all sources of tokens for several seconds. */

import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { TokenShortage } from '../../packages/gateway/src/runtime/tokenShortage.js';

/** Refusals each 100 ms from 0 to `untilMs`; returns the answer to the last one. */
function refuseUntil(untilMs: number, leftMs: number, random = 0): number {
  const shortage = new TokenShortage();
  let last = 0;
  for (let now = 0; now <= untilMs; now += 100) {
    last = shortage.retryAfterMs({ isAway: true, leftMs, random }, now);
  }
  return last;
}

describe('a caller that is refused for missing tokens', () => {
  const cases = [
    { name: 'goes elsewhere at once early in an outage', untilMs: 2_900, leftMs: 15_000, ms: 400 },
    {
      name: 'waits as long as it can once all are cut off',
      untilMs: 3_000,
      leftMs: 15_000,
      ms: 5_000,
    },
    { name: 'waits a third of its time at most', untilMs: 4_000, leftMs: 3_000, ms: 1_000 },
    { name: 'does not return before another could serve it', untilMs: 4_000, leftMs: 600, ms: 400 },
    { name: 'does not wait longer than five seconds', untilMs: 4_000, leftMs: 60_000, ms: 5_000 },
  ];
  for (const { name, untilMs, leftMs, ms } of cases) {
    test(name, () => {
      assert.equal(refuseUntil(untilMs, leftMs), ms);
    });
  }

  // Callers that return together would be refused together again.
  test('returns at another moment than the others', () => {
    assert.equal(refuseUntil(4_000, 15_000, 0.5), 4_375);
    assert.equal(refuseUntil(4_000, 15_000, 0.999), 3_751);
  });

  // A second outage would otherwise count as a part of the first one.
  test('goes elsewhere at once early in the next outage', () => {
    const shortage = new TokenShortage();
    const refused = { isAway: true, leftMs: 15_000, random: 0 };
    for (let now = 0; now <= 5_000; now += 100) shortage.retryAfterMs(refused, now);
    assert.equal(shortage.retryAfterMs(refused, 8_100), 400);
  });

  test('goes elsewhere at once while a source of tokens answers', () => {
    const shortage = new TokenShortage();
    for (let now = 0; now <= 5_000; now += 100) {
      assert.equal(shortage.retryAfterMs({ isAway: false, leftMs: 15_000, random: 0 }, now), 400);
    }
  });
});
