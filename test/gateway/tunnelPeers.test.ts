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
  peer('near-2', 'hall-a', 'http://near-2'),
];

describe('the peers for a tunnel', () => {
  const cases: {
    name: string;
    prepare?: (peers: TunnelPeers) => void;
    now: number;
    names: string[];
  }[] = [
    {
      name: 'are those that serve peers, a near one first and a far one second',
      now: 0,
      names: ['near', 'far', 'near-2'],
    },
    {
      name: 'are tried last after a failure',
      prepare: (peers) => {
        peers.recordFailure('near', 0);
      },
      now: 1_999,
      names: ['near-2', 'far', 'near'],
    },
    {
      name: 'are tried again later',
      prepare: (peers) => {
        peers.recordFailure('near', 0);
      },
      now: 2_000,
      names: ['near', 'far', 'near-2'],
    },
    {
      name: 'are tried first if a server answered through them',
      prepare: (peers) => {
        peers.recordProven('far');
      },
      now: 0,
      names: ['far', 'near', 'near-2'],
    },
    {
      name: 'are unknown again when a tunnel does not work any more',
      prepare: (peers) => {
        peers.recordProven('far');
        peers.recordDoubt();
      },
      now: 0,
      names: ['near', 'far', 'near-2'],
    },
  ];
  for (const { name, prepare, now, names } of cases) {
    test(name, () => {
      const peers = new TunnelPeers('hall-a', () => 0.5);
      prepare?.(peers);
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
