import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ArrivalBounds } from '../../packages/gateway/src/runtime/arrivalBounds.js';

type Step = { looks: number } | 'accepts';

describe('the earliest time at which what is read now can have arrived', () => {
  const cases: { name: string; steps: Step[]; requests: number; connections: number }[] = [
    { name: 'is the start at first', steps: [], requests: 0, connections: 0 },
    {
      name: 'is the look before the last one',
      steps: [{ looks: 100 }, { looks: 200 }, { looks: 300 }],
      requests: 200,
      connections: 200,
    },
    {
      name: 'stays for connections while one is accepted after each look',
      steps: [{ looks: 100 }, { looks: 200 }, 'accepts', { looks: 700 }, 'accepts', { looks: 900 }],
      requests: 700,
      connections: 100,
    },
    {
      name: 'follows for connections once a look has found none',
      steps: [{ looks: 100 }, 'accepts', { looks: 500 }, { looks: 600 }],
      requests: 500,
      connections: 500,
    },
  ];
  for (const { name, steps, requests, connections } of cases) {
    test(name, () => {
      const bounds = new ArrivalBounds(0);
      for (const step of steps) {
        if (step === 'accepts') bounds.accepted();
        else bounds.looks(step.looks);
      }
      assert.deepEqual([bounds.requestsFrom, bounds.connectionsFrom], [requests, connections]);
    });
  }
});
