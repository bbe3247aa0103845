import type { FleetInstance } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { TunnelPeers } from '../../packages/gateway/src/runtime/tunnelPeers.js';

const peer = (name: string, dataCentre: string, meshUrl?: string): FleetInstance => ({
  name,
  dataCentre,
  ...(meshUrl === undefined ? {} : { meshUrl }),
});

const fleet = [
  peer('far', 'hall-b', 'http://far'),
  peer('mute', 'hall-a'),
  peer('near', 'hall-a', 'http://near'),
];

describe('the peers for a tunnel', () => {
  const cases: { name: string; failedAt?: number; now: number; names: string[] }[] = [
    { name: 'are those that serve peers, the nearest first', now: 0, names: ['near', 'far'] },
    {
      name: 'are tried last after a failure',
      failedAt: 0,
      now: 1_999,
      names: ['far', 'near'],
    },
    { name: 'are tried again later', failedAt: 0, now: 2_000, names: ['near', 'far'] },
  ];
  for (const { name, failedAt, now, names } of cases) {
    test(name, () => {
      const peers = new TunnelPeers('hall-a', () => 0.5);
      if (failedAt !== undefined) peers.recordFailure('near', failedAt);
      assert.deepEqual(
        peers.inOrder(fleet, now).map((each) => each.name),
        names,
      );
    });
  }
});

// Guards against one peer that carries the bytes of all others.
test('peers of the same data centre take turns', () => {
  const draws = [0.9, 0.1, 0.1, 0.9];
  const peers = new TunnelPeers('hall-a', () => draws.shift() ?? 0);
  const two = [peer('a', 'hall-a', 'http://a'), peer('b', 'hall-a', 'http://b')];
  const first = [1, 2].map(() => peers.inOrder(two, 0)[0]?.name);
  assert.deepEqual(first, ['b', 'a']);
});
