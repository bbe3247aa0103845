/** Load: some accounts of an instance have used up their tokens while others still have theirs. */

import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { RefusedShare } from '../../packages/gateway/src/runtime/refusedShare.js';

describe('the share of refused requests', () => {
  const cases = [
    { name: 'is none without requests', requests: [], at: 0, share: 0 },
    {
      name: 'counts those of the present period',
      requests: [
        [0, true],
        [100, false],
      ],
      at: 200,
      share: 0.5,
    },
    {
      name: 'counts those of the previous period',
      requests: [
        [0, true],
        [1_600, false],
      ],
      at: 1_700,
      share: 0.5,
    },
    {
      name: 'forgets those of earlier periods',
      requests: [
        [0, true],
        [1_600, false],
      ],
      at: 3_200,
      share: 0,
    },
    {
      name: 'forgets all after a pause',
      requests: [
        [0, true],
        [100, true],
      ],
      at: 4_000,
      share: 0,
    },
  ] as const;
  for (const { name, requests, at, share } of cases) {
    test(name, () => {
      const counted = new RefusedShare();
      for (const [now, isRefused] of requests) counted.record(isRefused, now);
      assert.equal(counted.at(at), share);
    });
  }
});
