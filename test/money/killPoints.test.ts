import type { Bill, JournalChange, JournalState } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  Spender,
  applyLines,
  createJournal,
  createWitness,
  fence,
  finishSeal,
  storeLines,
  pool,
  recordGrant,
  registerHolder,
  startSeal,
} from '@flamingocourse/core';

const KIRK = 'kirk';
const bill: Bill = {
  holder: 'a',
  ticket: 1,
  account: KIRK,
  workClass: 'w',
  service: 's',
  cost: 80,
  promptTokens: 30,
  completionTokens: 50,
  at: 0,
};

/** Steps of one request in order. The router crashes after the step named in the case. */
const steps = ['reserve', 'send', 'settle', 'line-sent', 'line-kept', 'final-event'] as const;

interface KillPoint {
  crashesAfter: (typeof steps)[number];
  platform: 'up' | 'out';
  billed: number;
}

const killPoints: KillPoint[] = [
  { crashesAfter: 'reserve', platform: 'up', billed: 0 },
  { crashesAfter: 'send', platform: 'up', billed: 0 },
  { crashesAfter: 'settle', platform: 'up', billed: 0 },
  { crashesAfter: 'line-sent', platform: 'up', billed: 80 },
  { crashesAfter: 'line-kept', platform: 'up', billed: 80 },
  { crashesAfter: 'final-event', platform: 'up', billed: 80 },
  { crashesAfter: 'settle', platform: 'out', billed: 0 },
  { crashesAfter: 'line-sent', platform: 'out', billed: 80 },
  { crashesAfter: 'line-kept', platform: 'out', billed: 80 },
  { crashesAfter: 'final-event', platform: 'out', billed: 80 },
];

for (const { crashesAfter, platform, billed } of killPoints) {
  test(`a crash after ${crashesAfter} with the platform ${platform} leaves ${billed} tokens billed`, () => {
    // Guards against a request that is billed twice or without an answer, and tokens lost in a crash at this step.
    const { journal: started, spender } = start();
    let journal = started;
    let witness = createWitness();
    const reached = (step: (typeof steps)[number]): boolean =>
      steps.indexOf(step) <= steps.indexOf(crashesAfter);
    const request = { account: KIRK, workClass: 'w', amount: 200, budgetShare: 1, floor: 0 };
    const reservation = spender.reserve(request).unwrapOrElse((reason) => assert.fail(reason));
    assert.equal(spender.free(KIRK), 300);
    if (reached('settle')) {
      spender.append({ type: 'bill', bill });
      spender.release(reservation);
      assert.equal(spender.free(KIRK), 420);
    }
    // A line that was sent takes effect even if its sender crashes before the reply arrives.
    if (reached('line-sent') && platform === 'up') {
      journal = applyLines(journal, spender.unapplied).unwrapOr(journal);
    }
    if (reached('line-sent') && platform === 'out') {
      witness = storeLines(witness, spender.unapplied, journal).unwrapOr(witness);
    }
    journal = startSeal(journal, 'a').unwrapOr(journal);
    journal = finishSeal(journal, 'a', fence(witness, 'a').lines).unwrapOr(journal);
    assert.equal(journal.accounts[KIRK]?.spent ?? 0, billed);
    assert.equal(pool(journal, KIRK), 1_000 - billed);
    // The router resumes and tries to write another bill.
    spender.append({ type: 'bill', bill: { ...bill, ticket: 2 } });
    assert.equal(applyLines(journal, spender.unapplied).isErr, true);
    assert.equal(storeLines(fence(witness, 'a').state, spender.unapplied, journal).isErr, true);
  });
}

function start(): { journal: JournalState; spender: Spender } {
  const take: JournalChange = { type: 'take', account: KIRK, amount: 500 };
  const spender = new Spender('a');
  spender.append(take);
  const granted = recordGrant(createJournal('dc-a'), KIRK, 1_000);
  const registered = registerHolder(granted, 'a', ['w'], 0);
  const journal = applyLines(registered, spender.unapplied).unwrapOr(registered);
  spender.sync(journal);
  return { journal, spender };
}

const shortages = [
  { name: 'exceeds the free tokens', over: { amount: 501 }, want: 'no-tokens' },
  { name: 'asks for more than the budget has', over: { amount: 2_001 }, want: 'budget-spent' },
  { name: 'exceeds the share of its class', over: { budgetShare: 0.05 }, want: 'class-share' },
  { name: 'would use tokens reserved for requests of importance first', over: { floor: 1_950 }, want: 'reserved-for-first' }, // prettier-ignore
  { name: 'costs nothing', over: { amount: 0, budgetShare: 0 }, want: 'set aside' },
];

for (const { name, over, want } of shortages) {
  test(`a request that ${name}: ${want}`, () => {
    const { spender } = start();
    const spentElsewhereByClass = { w: 40 };
    spender.setBudget(KIRK, { limit: 2_000, spentElsewhere: 40, spentElsewhereByClass });
    const request = { account: KIRK, workClass: 'w', amount: 100, budgetShare: 1, floor: 0 };
    const result = spender.reserve({ ...request, ...over });
    assert.equal(result.isErr ? result.error : 'set aside', want);
  });
}
