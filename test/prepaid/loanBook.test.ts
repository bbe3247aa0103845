import type { PrepaidReport, PrepaidReportEntry } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { LoanBook, PrepaidHolder, PrepaidSizing } from '@flamingocourse/core';

const HELD = 10_000;

/** A lender that holds so many tokens of one account. */
function lender(): { holder: PrepaidHolder; book: LoanBook } {
  const sizing = new PrepaidSizing();
  const holder = new PrepaidHolder({ instance: 's', process: 's-1', sizing, aliveMs: 120_000 });
  const view = { remaining: HELD, othersRate: 0 };
  holder.reserve('shop', HELD);
  holder.reportBy(
    { isRegistered: false, instances: 1, fetchers: 1, accounts: new Map([['shop', view]]) },
    0,
  );
  holder.confirmHeld(() => HELD);
  return { holder, book: new LoanBook(holder) };
}

function report(
  seq: number,
  entry: Partial<PrepaidReportEntry>,
  change: Partial<PrepaidReport> = {},
): PrepaidReport {
  const shop = { spent: 0, keeps: 0, wants: 0, rate: 5, ...entry };
  return { instance: 'b', incarnation: 'b-1', seq, last: false, entries: { shop }, ...change };
}

describe('a lender', () => {
  const cases = [
    {
      name: 'lends what is wanted',
      reports: [report(1, { wants: 3_000 })],
      expected: { held: 3_000, free: 7_000, left: HELD },
    },
    {
      name: 'takes the same report in once',
      reports: [report(1, { wants: 3_000 }), report(1, { wants: 3_000 })],
      expected: { held: 3_000, free: 7_000, left: HELD },
    },
    {
      name: 'charges what was spent and takes back what is not kept',
      reports: [report(1, { wants: 3_000 }), report(2, { spent: 1_200, keeps: 800 })],
      expected: { held: 800, free: 8_000, left: 8_800 },
    },
    {
      // the next of them would be refused although its neighbour holds what it does not need.
      name: 'keeps half of what is free while more is wanted than it has',
      reports: [report(1, { wants: 30_000 })],
      expected: { held: 5_000, free: 5_000, left: HELD },
    },
    {
      name: 'charges what a replaced process had borrowed',
      reports: [report(1, { wants: 3_000 }), report(1, { wants: 500 }, { incarnation: 'b-2' })],
      expected: { held: 500, free: 6_500, left: 7_000 },
    },
    {
      name: 'charges what a borrower keeps that leaves',
      reports: [report(1, { wants: 3_000 }), report(2, { keeps: 400 }, { last: true })],
      expected: { held: 0, free: 9_600, left: 9_600 },
    },
  ];
  for (const { name, reports, expected } of cases) {
    test(name, () => {
      const { holder, book } = lender();
      for (const [at, next] of reports.entries()) assert.equal(book.take(next, {}, at), 'taken');
      assert.deepEqual(
        { held: book.held('b', 'shop'), free: holder.free('shop'), left: holder.held('shop') },
        expected,
      );
    });
  }

  test('lends to a request that waits before it lends ahead', () => {
    const { holder, book } = lender();
    const waiting = report(1, { wants: 30_000 });
    book.take(waiting, { shop: 8_000 }, 0);
    assert.equal(book.held('b', 'shop'), 8_000);
    assert.equal(holder.free('shop'), 2_000);
  });

  // tokens that were fetched for one report come after the borrower has told of its holdings anew.
  test('lends what was lacking only to the report that lacked it', () => {
    const { book } = lender();
    const first = report(1, { wants: 0 });
    book.take(first, {}, 0);
    book.lendLacking(first, new Map([['shop', 1_000]]));
    assert.equal(book.held('b', 'shop'), 1_000);
    book.take(report(2, { keeps: 0 }), {}, 1);
    book.lendLacking(first, new Map([['shop', 1_000]]));
    assert.equal(book.held('b', 'shop'), 0);
  });
});

// A budget is passed: a lender believes a report of loans that it did not make, or made in another life.
describe('a lender forgets', () => {
  const cases = [
    {
      name: 'a report of a borrower that it does not know',
      before: [],
      next: report(4, {}),
      expected: { free: HELD, left: HELD },
    },
    {
      name: 'a report of another process without its first',
      before: [report(1, { wants: 3_000 })],
      next: report(2, {}, { incarnation: 'b-2' }),
      expected: { free: 7_000, left: HELD },
    },
    {
      name: 'a report of more than was lent, and charges the loans',
      before: [report(1, { wants: 3_000 })],
      next: report(2, { spent: 2_000, keeps: 1_500 }),
      expected: { free: 7_000, left: 7_000 },
    },
    {
      name: 'a report of negative spending, and charges the loans',
      before: [report(1, { wants: 3_000 })],
      next: report(2, { spent: -5, keeps: 3_000 }),
      expected: { free: 7_000, left: 7_000 },
    },
  ];
  for (const { name, before, next, expected } of cases) {
    test(name, () => {
      const { holder, book } = lender();
      for (const earlier of before) book.take(earlier, {}, 0);
      assert.equal(book.take(next, {}, 1), 'forgotten');
      assert.deepEqual({ free: holder.free('shop'), left: holder.held('shop') }, expected);
    });
  }

  test('all loans when its own rights are lost', () => {
    const { holder, book } = lender();
    book.take(report(1, { wants: 3_000 }), {}, 0);
    const { life } = book;
    holder.renew();
    assert.notEqual(book.life, life);
    assert.equal(book.held('b', 'shop'), 0);
    assert.equal(book.take(report(2, { keeps: 3_000 }), {}, 1), 'forgotten');
  });

  test('a borrower that was silent for long, and charges its loans', () => {
    const { holder, book } = lender();
    book.take(report(1, { wants: 3_000 }), {}, 0);
    assert.deepEqual(book.dropSilent(1_000, 999), []);
    assert.deepEqual(book.dropSilent(1_000, 1_000), ['b']);
    assert.equal(holder.held('shop'), HELD - 3_000);
    assert.deepEqual(book.takeLost(), [{ borrower: 'b', incarnation: 'b-1', tokens: 3_000 }]);
  });
});
