import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ArrivalBounds } from '../../packages/gateway/src/runtime/arrivalBounds.js';

type Step = { poll: number } | 'accept';

describe('the earliest arrival time of data that is read now', () => {
  const cases: { name: string; steps: Step[]; requests: number; connections: number }[] = [
    { name: 'is the start at first', steps: [], requests: 0, connections: 0 },
    {
      name: 'is the poll before the last one',
      steps: [{ poll: 100 }, { poll: 200 }, { poll: 300 }],
      requests: 200,
      connections: 200,
    },
    {
      name: 'does not move for connections while one is accepted after each poll',
      steps: [{ poll: 100 }, { poll: 200 }, 'accept', { poll: 700 }, 'accept', { poll: 900 }],
      requests: 700,
      connections: 100,
    },
    {
      name: 'moves for connections once a poll has found none',
      steps: [{ poll: 100 }, 'accept', { poll: 500 }, { poll: 600 }],
      requests: 500,
      connections: 500,
    },
  ];
  for (const { name, steps, requests, connections } of cases) {
    test(name, () => {
      const bounds = new ArrivalBounds(0);
      for (const step of steps) {
        if (step === 'accept') bounds.accepted();
        else bounds.beforePoll(step.poll);
      }
      assert.deepEqual([bounds.requestsFrom, bounds.connectionsFrom], [requests, connections]);
    });
  }
});
