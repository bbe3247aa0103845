import assert from 'node:assert/strict';
import { before, test } from 'node:test';
import { assertHeld, buildOnce, startSmallStage } from './fixtures/processStage.js';

before(buildOnce);

// A caller's stream breaks off in the middle: its router was killed. The caller sends the same key
// or ticket to the next router and gets its whole answer, billed once, and no entry is made twice.
test('a router killed with open streams: retries are whole, billed once and run once', async (t) => {
  const stage = await startSmallStage(t);
  const { load } = await assertHeld(stage, {
    name: 'kill',
    faults: ['SIGKILL'],
    seconds: 4,
    mayBreak: true,
    steps: [{ atSeconds: 1.5, run: (at) => at.fleet.kill(0) }],
  });
  assert.ok(load.retries > 0, 'callers of the killed router tried again');
});

// A budget is spent twice: a router that was sealed while it stood still wakes and believes that it may spend.
test('a router frozen past its sealing spends nothing when it wakes', async (t) => {
  const stage = await startSmallStage(t);
  await assertHeld(stage, {
    name: 'freeze',
    faults: ['SIGSTOP'],
    seconds: 6,
    mayBreak: true,
    steps: [
      {
        atSeconds: 0.5,
        run: (at) => {
          at.fleet.freeze(0);
        },
      },
      {
        atSeconds: 4.5,
        run: (at) => {
          at.fleet.thaw(0);
        },
      },
    ],
  });
});

// Both sides of a cut spend the same tokens, and a top-up that comes meanwhile.
test('a data centre cut off during a top-up does not overspend', async (t) => {
  const stage = await startSmallStage(t);
  await assertHeld(stage, {
    name: 'cut',
    faults: ['cut'],
    seconds: 6,
    mayBreak: true,
    steps: [
      {
        atSeconds: 1,
        run: (at) => {
          at.network.cut('dc-a');
        },
      },
      {
        atSeconds: 2.5,
        run: (at) => at.operate('budget', 'top-up', '--account', 'tight-east', '--tokens', '3000'),
      },
      {
        atSeconds: 4.5,
        run: (at) => {
          at.network.heal('dc-a');
        },
      },
    ],
  });
});

// An operator stops a router while callers read their streams. A stop that ended the process at
// once would cut them off; they must be finished, and new requests sent to other routers.
test('SIGTERM under load cuts off no request', async (t) => {
  const stage = await startSmallStage(t);
  const ends: unknown[] = [];
  await assertHeld(stage, {
    name: 'stop',
    faults: ['SIGTERM'],
    seconds: 4,
    mayBreak: false,
    steps: [{ atSeconds: 1.5, run: async (at) => ends.push(await at.fleet.terminate(0)) }],
  });
  assert.deepEqual(ends, [{ code: 0, signal: null }]);
});
