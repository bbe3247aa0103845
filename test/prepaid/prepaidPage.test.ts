import type { PrepaidPage, PrepaidReport } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  applyReport,
  createPrepaidPage,
  dropWriter,
  hasReport,
  heldPrepaid,
  isFenced,
  lackingPrepaid,
  remainingPrepaid,
  undealtPrepaid,
} from '@flamingocourse/core';

function report(
  instance: string,
  seq: number,
  entry: { spent?: number; keeps?: number; wants?: number },
  incarnation = `${instance}-1`,
): PrepaidReport {
  const { spent = 0, keeps = 0, wants = 0 } = entry;
  const entries = { shop: { spent, keeps, wants, rate: 10 } };
  return { instance, incarnation, seq, last: false, entries };
}

function pageOf(...reports: PrepaidReport[]): PrepaidPage {
  return reports.reduce(applyReport, grantedPage(1_000));
}

/** A page whose group was granted so much. */
function grantedPage(granted: number): PrepaidPage {
  const account = { granted, returned: 0, spent: 0, inDoubt: 0, shares: {} };
  return { ...createPrepaidPage(), accounts: { shop: account } };
}

describe('a page after reports', () => {
  const cases = [
    {
      name: 'deals what is wanted',
      reports: [report('a', 1, { wants: 400 })],
      expected: { held: 400, spent: 0, inDoubt: 0, undealt: 600, remaining: 1_000 },
    },
    {
      name: 'deals no more than the grant leaves',
      reports: [report('a', 1, { wants: 700 }), report('b', 1, { wants: 700 })],
      expected: { held: 1_000, spent: 0, inDoubt: 0, undealt: 0, remaining: 1_000 },
    },
    {
      name: 'moves spend from what was held',
      reports: [report('a', 1, { wants: 400 }), report('a', 2, { spent: 150, keeps: 250 })],
      expected: { held: 250, spent: 150, inDoubt: 0, undealt: 600, remaining: 850 },
    },
    {
      name: 'takes the same report in once',
      reports: [
        report('a', 1, { wants: 400 }),
        report('a', 2, { spent: 150, keeps: 250 }),
        report('a', 2, { spent: 150, keeps: 250 }),
      ],
      expected: { held: 250, spent: 150, inDoubt: 0, undealt: 600, remaining: 850 },
    },
    {
      // a process is killed between two reports. What it held may have been spent, so its successor
      // on the same instance must not get it again, nor anybody else.
      name: 'keeps what a killed process held charged',
      reports: [report('a', 1, { wants: 400 }), report('a', 1, { wants: 100 }, 'a-2')],
      expected: { held: 100, spent: 0, inDoubt: 400, undealt: 500, remaining: 600 },
    },
  ];
  for (const { name, reports, expected } of cases) {
    test(name, () => {
      const account = pageOf(...reports).accounts.shop;
      assert.ok(account);
      assert.deepEqual(
        {
          held: heldPrepaid(account),
          spent: account.spent,
          inDoubt: account.inDoubt,
          undealt: undealtPrepaid(account),
          remaining: remainingPrepaid(account),
        },
        expected,
      );
    });
  }
});

// pages of many accounts are long, and each exchange carries them both ways over slow links.
test('a share of nothing is not kept', () => {
  const idle = report('a', 2, { spent: 400 });
  const entry = { spent: 400, keeps: 0, wants: 0, rate: 0 };
  const page = pageOf(report('a', 1, { wants: 400 }), { ...idle, entries: { shop: entry } });
  assert.deepEqual(page.accounts.shop?.shares, {});
  assert.equal(page.accounts.shop.spent, 400);
});

test('a report is known by process and number', () => {
  const page = pageOf(report('a', 1, { wants: 1 }), report('a', 3, {}));
  assert.equal(hasReport(page, report('a', 3, {})), true);
  assert.equal(hasReport(page, report('a', 4, {})), false);
  assert.equal(hasReport(page, report('a', 3, {}, 'a-2')), false);
});

// a shop is refused although its budget is nearly full: its group asked for less than it lacked.
test('what a report lacks is what the page can not deal of it', () => {
  const page = pageOf(report('a', 1, { wants: 900 }));
  const lacking = lackingPrepaid(page, report('b', 1, { wants: 500 }));
  assert.deepEqual([...lacking], [['shop', 400]]);
  assert.equal(lackingPrepaid(page, report('b', 1, { wants: 100 })).size, 0);
});

// each planned replacement leaves a name behind: the page grows for ever, and the parts of the others,
// which are sized by its writers, shrink.
test('a last report gives all back and is the end of its writer', () => {
  const left = { ...report('a', 2, { spent: 150 }), last: true };
  const page = pageOf(report('a', 1, { wants: 400 }), report('b', 1, {}), left);
  assert.deepEqual(Object.keys(page.writers), ['b']);
  const { spent, inDoubt, shares } = page.accounts.shop ?? {};
  assert.deepEqual({ spent, inDoubt, shares }, { spent: 150, inDoubt: 0, shares: { b: { held: 0, rate: 10 } } }); // prettier-ignore
  assert.equal(applyReport(page, left), page, 'sent again it changes nothing');
});

// a removed instance holds its tokens for ever; an instance that comes back after an hour reports them
// although they are charged in doubt, and its spend is counted twice.
describe('a writer that was dropped', () => {
  const before = pageOf(report('a', 1, { wants: 400 }), report('b', 1, { wants: 100 }));
  const page = dropWriter(before, 'a');

  test('leaves what it held in doubt', () => {
    const account = page.accounts.shop;
    assert.equal(account?.inDoubt, 400);
    assert.deepEqual(Object.keys(account.shares), ['b']);
    assert.deepEqual(Object.keys(page.writers), ['b']);
    assert.equal(dropWriter(page, 'a'), page);
  });

  const cases = [
    { name: 'is fenced when it reports again', next: report('a', 2, { spent: 300 }), fenced: true },
    { name: 'may start anew', next: report('a', 1, { wants: 10 }, 'a-2'), fenced: false },
    { name: 'does not fence others', next: report('b', 2, { spent: 10 }), fenced: false },
  ];
  for (const { name, next, fenced } of cases) {
    test(name, () => {
      assert.equal(isFenced(page, next), fenced);
      assert.equal(applyReport(page, next) === page, fenced);
    });
  }
});

// two processes under one name: the older one must not take the younger one's place again.
test('a process whose successor has reported is fenced', () => {
  const page = pageOf(report('a', 1, { wants: 400 }), report('a', 1, { wants: 100 }, 'a-2'));
  assert.equal(isFenced(page, report('a', 2, { spent: 50, keeps: 350 })), true);
});
