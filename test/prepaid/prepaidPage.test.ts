import type { PrepaidPage, PrepaidReport } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  applyReport,
  canApplyForwarded,
  createPrepaidPage,
  dropWriter,
  hasReport,
  heldPrepaid,
  isFenced,
  prepaidShortfalls,
  remainingPrepaid,
  unallocatedPrepaid,
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

/** Returns a page whose group was granted the given tokens. */
function grantedPage(granted: number): PrepaidPage {
  const account = { granted, returned: 0, spent: 0, inDoubt: 0, shares: {} };
  return { ...createPrepaidPage(), accounts: { shop: account } };
}

describe('applyReport', () => {
  const cases = [
    {
      name: 'allocates the requested tokens',
      reports: [report('a', 1, { wants: 400 })],
      expected: { held: 400, spent: 0, inDoubt: 0, unallocated: 600, remaining: 1_000 },
    },
    {
      name: 'allocates no more than the grant allows',
      reports: [report('a', 1, { wants: 700 }), report('b', 1, { wants: 700 })],
      expected: { held: 1_000, spent: 0, inDoubt: 0, unallocated: 0, remaining: 1_000 },
    },
    {
      name: 'moves spent tokens from held to spent',
      reports: [report('a', 1, { wants: 400 }), report('a', 2, { spent: 150, keeps: 250 })],
      expected: { held: 250, spent: 150, inDoubt: 0, unallocated: 600, remaining: 850 },
    },
    {
      name: 'applies the same report once',
      reports: [
        report('a', 1, { wants: 400 }),
        report('a', 2, { spent: 150, keeps: 250 }),
        report('a', 2, { spent: 150, keeps: 250 }),
      ],
      expected: { held: 250, spent: 150, inDoubt: 0, unallocated: 600, remaining: 850 },
    },
    {
      // The process was killed between two reports and may have spent its tokens, so neither its
      // successor nor another instance may get them.
      name: 'charges the tokens of a killed process',
      reports: [report('a', 1, { wants: 400 }), report('a', 1, { wants: 100 }, 'a-2')],
      expected: { held: 100, spent: 0, inDoubt: 400, unallocated: 500, remaining: 600 },
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
          unallocated: unallocatedPrepaid(account),
          remaining: remainingPrepaid(account),
        },
        expected,
      );
    });
  }
});

// Guards against large pages: each exchange transfers them in both directions over slow links.
test('an empty share is removed', () => {
  const idle = report('a', 2, { spent: 400 });
  const entry = { spent: 400, keeps: 0, wants: 0, rate: 0 };
  const page = pageOf(report('a', 1, { wants: 400 }), { ...idle, entries: { shop: entry } });
  assert.deepEqual(page.accounts.shop?.shares, {});
  assert.equal(page.accounts.shop.spent, 400);
});

test('hasReport compares incarnation and sequence number', () => {
  const page = pageOf(report('a', 1, { wants: 1 }), report('a', 3, {}));
  assert.equal(hasReport(page, report('a', 3, {})), true);
  assert.equal(hasReport(page, report('a', 4, {})), false);
  assert.equal(hasReport(page, report('a', 3, {}, 'a-2')), false);
});

// Guards against refused requests although most of the budget is left: the group asked for less
// than its shortfall.
test('prepaidShortfalls returns the requested tokens that the page cannot allocate', () => {
  const page = pageOf(report('a', 1, { wants: 900 }));
  const shortfalls = prepaidShortfalls(page, report('b', 1, { wants: 500 }));
  assert.deepEqual([...shortfalls], [['shop', 400]]);
  assert.equal(prepaidShortfalls(page, report('b', 1, { wants: 100 })).size, 0);
});

// Guards against writers that remain after each planned replacement: the page grows without bound,
// and the shares of the others shrink because they depend on the number of writers.
test('a last report returns all tokens and removes the writer', () => {
  const left = { ...report('a', 2, { spent: 150 }), last: true };
  const page = pageOf(report('a', 1, { wants: 400 }), report('b', 1, {}), left);
  assert.deepEqual(Object.keys(page.writers), ['b']);
  const { spent, inDoubt, shares } = page.accounts.shop ?? {};
  assert.deepEqual({ spent, inDoubt, shares }, { spent: 150, inDoubt: 0, shares: { b: { held: 0, rate: 10 } } }); // prettier-ignore
  assert.equal(applyReport(page, left), page, 'sent again it changes nothing');
});

// Guards against a removed instance that holds its tokens for ever, or whose tokens are charged twice when it comes back.
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
    {
      name: 'may report as a new incarnation',
      next: report('a', 1, { wants: 10 }, 'a-2'),
      fenced: false,
    },
    {
      name: 'does not cause others to be fenced',
      next: report('b', 2, { spent: 10 }),
      fenced: false,
    },
  ];
  for (const { name, next, fenced } of cases) {
    test(name, () => {
      assert.equal(isFenced(page, next), fenced);
      assert.equal(applyReport(page, next) === page, fenced);
    });
  }
});

// Two processes use the same instance name: the older one must not replace the newer one.
test('a process whose successor has reported is fenced', () => {
  const page = pageOf(report('a', 1, { wants: 400 }), report('a', 1, { wants: 100 }, 'a-2'));
  assert.equal(isFenced(page, report('a', 2, { spent: 50, keeps: 350 })), true);
});

// Guards against a forwarded first report that arrives late and replaces a newer process, which would lose its tokens.
describe('a page takes a forwarded report', () => {
  const listed = (incarnation?: string): PrepaidPage => ({
    ...createPrepaidPage(),
    writers: incarnation === undefined ? {} : { a: { incarnation, seq: 3 } },
  });
  const cases = [
    { name: 'of the listed process', page: listed('a-1'), seq: 4, isTaken: true },
    {
      name: 'of a process that is not listed any more',
      page: listed('a-2'),
      seq: 4,
      isTaken: false,
    },
    { name: 'that is the first of an instance', page: listed(), seq: 1, isTaken: true },
    {
      name: 'that is the first after the process that it replaces',
      page: listed('a-0'),
      seq: 1,
      replaces: 'a-0',
      isTaken: true,
    },
    {
      name: 'that is the first, before a newer process',
      page: listed('a-2'),
      seq: 1,
      replaces: 'a-0',
      isTaken: false,
    },
    {
      name: 'that is the first, before an unknown one',
      page: listed('a-2'),
      seq: 1,
      isTaken: false,
    },
  ];
  for (const { name, page, seq, replaces, isTaken } of cases) {
    test(`${name}: ${String(isTaken)}`, () => {
      const report = { instance: 'a', incarnation: 'a-1', seq, last: false, entries: {} };
      assert.equal(canApplyForwarded(page, { group: '0', report, replaces }), isTaken);
    });
  }
});
