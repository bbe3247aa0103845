import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { BackgroundWork, runInBackground } from '@flamingocourse/kernel';

const failure = new Error('the work failed');

const kinds = [
  {
    kind: 'throws at once',
    work: (): void => {
      throw failure;
    },
  },
  { kind: 'rejects at once', work: (): Promise<void> => Promise.reject(failure) },
  {
    kind: 'rejects later',
    work: async (): Promise<void> => {
      await delay(1);
      throw failure;
    },
  },
];

/** Resolves with the first failure and its owner. */
function firstFailure(start: (background: BackgroundWork) => void): Promise<[unknown, string]> {
  return new Promise((resolve) => {
    start(
      new BackgroundWork((err, owner) => {
        resolve([err, owner]);
      }),
    );
  });
}

// Guards against a rejection that nothing handles, which ends the process.
describe('background work that fails is reported and ends nothing', () => {
  for (const { kind, work } of kinds) {
    test(`run: ${kind}`, async () => {
      const [err, owner] = await firstFailure((background) => {
        background.run('probes', work);
      });
      assert.equal(err, failure);
      assert.equal(owner, 'probes');
    });

    test(`after a time: ${kind}`, async () => {
      const [err] = await firstFailure((background) => background.after(1, 'probes', work));
      assert.equal(err, failure);
    });

    test(`at an interval: ${kind}; the next turn comes all the same`, async () => {
      let turns = 0;
      await new Promise<void>((resolve) => {
        const background = new BackgroundWork(() => {
          turns += 1;
          if (turns < 2) return;
          clearInterval(timer);
          resolve();
        });
        const timer = background.every(1, 'probes', work);
      });
    });
  }
});

test('work starts before the call returns', () => {
  let hasStarted = false;
  runInBackground(
    () => (hasStarted = true),
    () => undefined,
  );
  assert.ok(hasStarted);
});
