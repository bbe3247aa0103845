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
  keepLines,
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

/** Steps of one request in order; the router dies after the named one. */
const steps = ['reserve', 'send', 'settle', 'line-sent', 'line-kept', 'final-event'] as const;

interface KillPoint {
  dies: (typeof steps)[number];
  platform: 'up' | 'out';
  billed: number;
}

const killPoints: KillPoint[] = [
  { dies: 'reserve', platform: 'up', billed: 0 },
  { dies: 'send', platform: 'up', billed: 0 },
  { dies: 'settle', platform: 'up', billed: 0 },
  { dies: 'line-sent', platform: 'up', billed: 80 },
  { dies: 'line-kept', platform: 'up', billed: 80 },
  { dies: 'final-event', platform: 'up', billed: 80 },
  { dies: 'settle', platform: 'out', billed: 0 },
  { dies: 'line-sent', platform: 'out', billed: 80 },
  { dies: 'line-kept', platform: 'out', billed: 80 },
  { dies: 'final-event', platform: 'out', billed: 80 },
];

for (const { dies, platform, billed } of killPoints) {
  test(`a router that dies after ${dies} with the platform ${platform} leaves ${billed} billed`, () => {
    // a member would pay twice for one tow, or for none: the router dies at this point, a peer
    // seals it with what the witness kept, and the whole slice but the bill is free again.
    const { journal: started, spender } = start();
    let journal = started;
    let witness = createWitness();
    const reached = (step: (typeof steps)[number]): boolean =>
      steps.indexOf(step) <= steps.indexOf(dies);
    const request = { account: KIRK, workClass: 'w', amount: 200, budgetShare: 1, floor: 0 };
    const reservation = spender.reserve(request).unwrapOrElse((reason) => assert.fail(reason));
    assert.equal(spender.free(KIRK), 300);
    if (reached('settle')) {
      spender.append({ type: 'bill', bill });
      spender.release(reservation);
      assert.equal(spender.free(KIRK), 420);
    }
    // a line that was sent takes effect also when its sender does not live to see the reply.
    if (reached('line-sent') && platform === 'up') {
      journal = applyLines(journal, spender.unapplied).unwrapOr(journal);
    }
    if (reached('line-sent') && platform === 'out') {
      witness = keepLines(witness, spender.unapplied, journal).unwrapOr(witness);
    }
    journal = startSeal(journal, 'a').unwrapOr(journal);
    journal = finishSeal(journal, 'a', fence(witness, 'a').lines).unwrapOr(journal);
    assert.equal(journal.accounts[KIRK]?.spent ?? 0, billed);
    assert.equal(pool(journal, KIRK), 1_000 - billed);
    // the frozen router wakes and writes what it believes it still may.
    spender.append({ type: 'bill', bill: { ...bill, ticket: 2 } });
    assert.equal(applyLines(journal, spender.unapplied).isErr, true);
    assert.equal(keepLines(fence(witness, 'a').state, spender.unapplied, journal).isErr, true);
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
  { name: 'lacks tokens', over: { amount: 501 }, want: 'no-tokens' },
  { name: 'asks for more than the budget has', over: { amount: 2_001 }, want: 'budget-spent' },
  { name: 'is over its class share', over: { budgetShare: 0.05 }, want: 'class-share' },
  { name: 'would use what is left for the first', over: { floor: 1_950 }, want: 'reserved-for-first' }, // prettier-ignore
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
