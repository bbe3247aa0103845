import type { LedgerPage } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  changeBudget,
  checkLedgerInvariant,
  claim,
  createClaimPage,
  createLedgerPage,
  createSlicePolicy,
  grant,
  mergeReturned,
  mergeSpent,
  openAccount,
  pageOf,
  pruneClaims,
  takeOver,
} from '@flamingocourse/core';

/** By default fast-check generates about ten steps, which rarely grant a whole budget. */
const LENGTH = { minLength: 20, maxLength: 80, size: 'max' } as const;
const KIRK = 'kirk';
const opened = openAccount(createLedgerPage(0), KIRK, 1_000, 0);

function change(page: LedgerPage, id: string, amount: number): LedgerPage {
  return changeBudget(page, KIRK, { id, amount, by: 'oyun', at: 1 }).unwrapOr(page);
}

test('a top-up that is repeated after a lost reply is applied once', () => {
  const once = change(opened, 'receipt-1', 500);
  assert.equal(change(once, 'receipt-1', 500), once);
  assert.equal(once.accounts[KIRK]?.limit, 1_500);
  const reused = changeBudget(once, KIRK, { id: 'receipt-1', amount: 7, by: 'oyun', at: 2 });
  assert.equal(reused.isErr && reused.error.code, 'id-reused');
});

test('a reduction stops at the granted amount, and the rest is applied as tokens are returned', () => {
  const granted = grant(opened, KIRK, 'dc-a', 800);
  const reduced = change(granted, 'cut', -600);
  assert.deepEqual(
    [reduced.accounts[KIRK]?.limit, reduced.accounts[KIRK]?.pendingReduction],
    [800, 400],
  );
  assert.equal(grant(reduced, KIRK, 'dc-b', 100), reduced);
  const returned = mergeReturned(reduced, KIRK, 'dc-a', 300);
  assert.deepEqual(
    [returned.accounts[KIRK]?.limit, returned.accounts[KIRK]?.pendingReduction],
    [500, 100],
  );
});

test('no sequence of grants, returns, spending and budget changes grants more than the limit', () => {
  const dataCentre = fc.constantFrom('dc-a', 'dc-b');
  const kind = fc.constantFrom('grant', 'return', 'spend', 'change');
  const step = fc.tuple(kind, dataCentre, fc.integer({ min: -900, max: 900 }));
  fc.assert(
    fc.property(fc.array(step, LENGTH), (steps) => {
      let page = opened;
      for (const [index, [type, at, amount]] of steps.entries()) {
        const granted = page.accounts[KIRK]?.shares[at]?.grantedIn ?? 0;
        if (type === 'grant') page = grant(page, KIRK, at, amount);
        if (type === 'return') page = mergeReturned(page, KIRK, at, Math.min(granted, amount));
        if (type === 'spend') page = mergeSpent(page, KIRK, at, Math.min(granted, amount));
        if (type === 'change') page = change(page, `change-${index}`, amount);
        assert.equal(checkLedgerInvariant(page), undefined);
      }
    }),
    { seed: 20_261_202, numRuns: 1_000 },
  );
});

test('an account always maps to the same page', () => {
  assert.equal(pageOf(KIRK, 1), 0);
  assert.equal(pageOf(KIRK, 64), pageOf(KIRK, 64));
  const pages = new Set(Array.from({ length: 200 }, (_, index) => pageOf(`account-${index}`, 4)));
  assert.equal(pages.size, 4);
});

const ticketA = { issuer: 'dc-a/router.1/~x', number: 41 };
const ticketB = { issuer: 'dc-b/router-2/y', number: 1 };
const wanted = { ticket: ticketA, bodyDigest: 'body', at: 10 };
const claimed = claim(createClaimPage(0), 'key', wanted).page;

const claimCases = [
  { name: 'repeated after a lost reply', next: wanted, answer: { type: 'own' } },
  {
    name: 'of another ticket',
    next: { ...wanted, ticket: ticketB },
    answer: { type: 'other', ticket: ticketA },
  },
  {
    name: 'with another body',
    next: { ...wanted, bodyDigest: 'else' },
    answer: { type: 'other-body' },
  },
];

for (const { name, next, answer } of claimCases) {
  test(`a claim ${name} is answered ${answer.type}`, () => {
    assert.deepEqual(claim(claimed, 'key', next).answer, answer);
  });
}

test('when two routers take over a claim, one gets it and the other gets the owner', () => {
  const ticketC = { issuer: 'dc-c/router-1/z', number: 3 };
  const taken = takeOver(claimed, 'key', ticketA, ticketB, 20);
  assert.equal(taken.answer.type, 'own');
  assert.equal(takeOver(taken.page, 'key', ticketA, ticketB, 21).answer.type, 'own');
  const late = takeOver(taken.page, 'key', ticketA, ticketC, 22);
  assert.deepEqual(late.answer, { type: 'other', ticket: ticketB });
  assert.deepEqual(pruneClaims(taken.page, 21).claims, {});
});

const policies = ['avoid-overspend', 'avoid-false-refusals'] as const;

for (const policy of policies) {
  test(`${policy}: targets shrink with the budget, and a shortfall is granted while tokens remain`, () => {
    const sizing = createSlicePolicy(policy);
    const situation = { demandPerSecond: 100, rideThroughSeconds: 600, dataCentres: 4 };
    const targets = [1_000_000, 100_000, 1_000, 0].map((remaining) =>
      sizing.grantTarget({ ...situation, remaining, shortfall: 0 }),
    );
    assert.deepEqual(
      targets,
      [...targets].sort((left, right) => right - left),
    );
    assert.equal(sizing.grantTarget({ ...situation, remaining: 600, shortfall: 500 }), 500);
    assert.equal(sizing.grantTarget({ ...situation, remaining: 300, shortfall: 500 }), 300);
    assert.equal(sizing.floor('first', 1_000), 0);
    assert.ok(sizing.floor('background', 1_000) > sizing.floor('standard', 1_000));
  });
}
