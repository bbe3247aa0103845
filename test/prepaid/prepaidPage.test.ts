import type { PrepaidPage, PrepaidReport } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  applyReport,
  createPrepaidPage,
  hasReport,
  heldPrepaid,
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
  return { instance, incarnation, seq, entries: { shop: { spent, keeps, wants, rate: 10 } } };
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

test('a report is known by process and number', () => {
  const page = pageOf(report('a', 3, { wants: 1 }));
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
