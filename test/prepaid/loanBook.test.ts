import type { PrepaidReport, PrepaidReportEntry } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { LoanBook, PrepaidHolder, PrepaidSizing } from '@flamingocourse/core';

const HELD = 10_000;

/** Creates a lender that holds `HELD` tokens of one account. */
function lender(): { holder: PrepaidHolder; book: LoanBook } {
  const sizing = new PrepaidSizing();
  const holder = new PrepaidHolder({
    instance: 's',
    process: 's-1',
    sizing,
    maxReportIntervalMs: 120_000,
  });
  const view = { remaining: HELD, othersRate: 0 };
  holder.reserve('shop', HELD);
  holder.buildReport(
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

describe('LoanBook', () => {
  const cases = [
    {
      name: 'lends the requested tokens',
      reports: [report(1, { wants: 3_000 })],
      expected: { held: 3_000, free: 7_000, left: HELD },
    },
    {
      name: 'applies the same report once',
      reports: [report(1, { wants: 3_000 }), report(1, { wants: 3_000 })],
      expected: { held: 3_000, free: 7_000, left: HELD },
    },
    {
      name: 'charges spent tokens and takes back returned ones',
      reports: [report(1, { wants: 3_000 }), report(2, { spent: 1_200, keeps: 800 })],
      expected: { held: 800, free: 8_000, left: 8_800 },
    },
    {
      // Otherwise the next borrower would be refused while the first one holds tokens that it does
      // not need.
      name: 'lends only half of the free tokens if more is requested than is free',
      reports: [report(1, { wants: 30_000 })],
      expected: { held: 5_000, free: 5_000, left: HELD },
    },
    {
      name: 'charges the loans of a replaced process',
      reports: [report(1, { wants: 3_000 }), report(1, { wants: 500 }, { incarnation: 'b-2' })],
      expected: { held: 500, free: 6_500, left: 7_000 },
    },
    {
      name: 'charges the tokens that a leaving borrower keeps',
      reports: [report(1, { wants: 3_000 }), report(2, { keeps: 400 }, { last: true })],
      expected: { held: 0, free: 9_600, left: 9_600 },
    },
  ];
  for (const { name, reports, expected } of cases) {
    test(name, () => {
      const { holder, book } = lender();
      for (const [at, next] of reports.entries())
        assert.equal(book.applyReport(next, {}, at), 'taken');
      assert.deepEqual(
        { held: book.held('b', 'shop'), free: holder.free('shop'), left: holder.held('shop') },
        expected,
      );
    });
  }

  test('lends what waiting requests need, even if it is more than half of the free tokens', () => {
    const { holder, book } = lender();
    const waiting = report(1, { wants: 30_000 });
    book.applyReport(waiting, { shop: 8_000 }, 0);
    assert.equal(book.held('b', 'shop'), 8_000);
    assert.equal(holder.free('shop'), 2_000);
  });

  // Tokens that were fetched for one report may arrive after the borrower has sent its next report.
  test('lends a shortfall only to the report that had it', () => {
    const { book } = lender();
    const first = report(1, { wants: 0 });
    book.applyReport(first, {}, 0);
    book.lendShortfalls(first, new Map([['shop', 1_000]]));
    assert.equal(book.held('b', 'shop'), 1_000);
    book.applyReport(report(2, { keeps: 0 }), {}, 1);
    book.lendShortfalls(first, new Map([['shop', 1_000]]));
    assert.equal(book.held('b', 'shop'), 0);
  });
});

// Guards against an exceeded budget: a lender accepts a report of loans that it did not make, or
// that it made in an earlier incarnation.
describe('LoanBook forgets', () => {
  const cases = [
    {
      name: 'a report of an unknown borrower',
      before: [],
      next: report(4, {}),
      expected: { free: HELD, left: HELD },
    },
    {
      name: 'a report of another process whose first report is missing',
      before: [report(1, { wants: 3_000 })],
      next: report(2, {}, { incarnation: 'b-2' }),
      expected: { free: 7_000, left: HELD },
    },
    {
      name: 'a report of more tokens than were lent, and charges the loans',
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
      for (const earlier of before) book.applyReport(earlier, {}, 0);
      assert.equal(book.applyReport(next, {}, 1), 'forgotten');
      assert.deepEqual({ free: holder.free('shop'), left: holder.held('shop') }, expected);
    });
  }

  test('all loans after its own tokens were lost', () => {
    const { holder, book } = lender();
    book.applyReport(report(1, { wants: 3_000 }), {}, 0);
    const { incarnation } = book;
    holder.startNewIncarnation();
    assert.notEqual(book.incarnation, incarnation);
    assert.equal(book.held('b', 'shop'), 0);
    assert.equal(book.applyReport(report(2, { keeps: 3_000 }), {}, 1), 'forgotten');
  });

  test('a borrower that has not reported for long, and charges its loans', () => {
    const { holder, book } = lender();
    book.applyReport(report(1, { wants: 3_000 }), {}, 0);
    assert.deepEqual(book.chargeSilentBorrowers(1_000, 999), []);
    assert.deepEqual(book.chargeSilentBorrowers(1_000, 1_000), ['b']);
    assert.equal(holder.held('shop'), HELD - 3_000);
    assert.deepEqual(book.takeChargedLoans(), [
      { borrower: 'b', incarnation: 'b-1', tokens: 3_000 },
    ]);
  });
});

// Guards against a lender that keeps asking the store for tokens that its borrowers no longer want.
describe('what borrowers asked for and did not get', () => {
  const cases = [
    {
      name: 'counts until they report without it',
      next: (book: LoanBook) => book.applyReport({ ...report(2, {}), entries: {} }, {}, 1),
      expected: 0,
    },
    {
      name: 'counts while they ask for it again',
      next: (book: LoanBook) => book.applyReport(report(2, { keeps: 5_000, wants: 8_000 }), {}, 1),
      expected: 5_500,
    },
    {
      name: 'counts while they report',
      next: (book: LoanBook) => {
        book.dropUnmetOfSilent(6_000, 5_999);
      },
      expected: 25_000,
    },
    {
      name: 'does not count once they are silent',
      next: (book: LoanBook) => {
        book.dropUnmetOfSilent(6_000, 6_000);
      },
      expected: 0,
    },
  ];
  for (const { name, next, expected } of cases) {
    test(name, () => {
      const { book } = lender();
      book.applyReport(report(1, { wants: 30_000 }), {}, 0);
      next(book);
      assert.equal(book.unmet, expected);
    });
  }
});
