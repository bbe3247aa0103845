import type { MeasuredRouter } from '../../packages/lab/src/node/configMeasure/measuredFleet.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ChangeRecorder } from '../../packages/lab/src/node/configMeasure/changeRecorder.js';

/** Creates a router whose account gets the opening budgets passed to `show`, one after another. */
function createRouter(): { router: MeasuredRouter; show: (openingTokens?: number) => void } {
  let accounts: { name: string; openingTokens: number }[] = [];
  let listener = (): void => undefined;
  const configuration = {
    accounts: () => accounts,
    onChange: (given: () => void) => {
      listener = () => {
        given();
      };
      return () => undefined;
    },
  };
  const router = { dataCentre: 'dc-a', instance: 'r1', configuration } as unknown;
  const show = (openingTokens?: number): void => {
    accounts = openingTokens === undefined ? [] : [{ name: 'club', openingTokens }];
    listener();
  };
  return { router: router as MeasuredRouter, show };
}

const cases = [
  { name: 'in order', shown: [1, 2, 3], reverts: 0, missing: 0 },
  { name: 'one skipped, the next covers it', shown: [1, 3], reverts: 0, missing: 0 },
  { name: 'the last never comes', shown: [1, 2], reverts: 0, missing: 1 },
  { name: 'an old version comes back', shown: [1, 3, 2], reverts: 1, missing: 0 },
  { name: 'the account is lost', shown: [3, undefined], reverts: 1, missing: 0 },
];
for (const { name, shown, reverts, missing } of cases) {
  test(`the recorder handles: ${name}`, () => {
    const { router, show } = createRouter();
    const recorder = new ChangeRecorder([router]);
    for (const number of [1, 2, 3]) recorder.accepted({ account: 'club', number, at: 0 });
    for (const tokens of shown) show(tokens);
    assert.equal(recorder.reverts.length, reverts);
    assert.equal(recorder.missing, missing);
    assert.equal(recorder.times.length, 3 - missing);
  });
}
