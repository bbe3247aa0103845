import assert from 'node:assert/strict';
import { before, test } from 'node:test';
import { assertNoBrokenPromise, buildOnce, startSmallStage } from './fixtures/processStage.js';

before(buildOnce);

// A router is killed while callers read their streams. Each caller retries with the same key or
// ticket at another router and gets the whole answer; it is billed once, and no call runs twice.
test('a router killed with open streams: retries are whole, billed once and run once', async (t) => {
  const stage = await startSmallStage(t);
  const { load } = await assertNoBrokenPromise(stage, {
    name: 'kill',
    faults: ['SIGKILL'],
    seconds: 4,
    mayBreak: true,
    steps: [{ atSeconds: 1.5, run: (at) => at.fleet.kill(0) }],
  });
  assert.ok(load.retries > 0, 'callers of the killed router retried');
});

// Guards against tokens spent twice: a router that was sealed while suspended resumes and still
// spends.
test('a router that is sealed while suspended spends nothing when it resumes', async (t) => {
  const stage = await startSmallStage(t);
  await assertNoBrokenPromise(stage, {
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

// Guards against tokens spent on both sides of a network partition, including a top-up during it.
test('a data centre cut off during a top-up does not overspend', async (t) => {
  const stage = await startSmallStage(t);
  await assertNoBrokenPromise(stage, {
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

// An operator stops a router while callers read their streams. The router must finish these streams
// before its process ends, and new requests must go to other routers.
test('SIGTERM under load interrupts no request', async (t) => {
  const stage = await startSmallStage(t);
  const ends: unknown[] = [];
  await assertNoBrokenPromise(stage, {
    name: 'stop',
    faults: ['SIGTERM'],
    seconds: 4,
    mayBreak: false,
    steps: [{ atSeconds: 1.5, run: async (at) => ends.push(await at.fleet.terminate(0)) }],
  });
  assert.deepEqual(ends, [{ code: 0, signal: null }]);
});
