import type { PrepaidPage, PrepaidReport } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  applyReport,
  createPrepaidPage,
  hasReport,
  heldPrepaid,
  remainingPrepaid,
  ungrantedPrepaid,
} from '@flamingocourse/core';

const limits = new Map([['shop', 1_000]]);

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
  return reports.reduce((page, next) => applyReport(page, next, limits), createPrepaidPage());
}

describe('a page after reports', () => {
  const cases = [
    {
      name: 'grants what is wanted',
      reports: [report('a', 1, { wants: 400 })],
      expected: { held: 400, spent: 0, inDoubt: 0, ungranted: 600, remaining: 1_000 },
    },
    {
      name: 'grants no more than the limit leaves',
      reports: [report('a', 1, { wants: 700 }), report('b', 1, { wants: 700 })],
      expected: { held: 1_000, spent: 0, inDoubt: 0, ungranted: 0, remaining: 1_000 },
    },
    {
      name: 'moves spend from what was held',
      reports: [report('a', 1, { wants: 400 }), report('a', 2, { spent: 150, keeps: 250 })],
      expected: { held: 250, spent: 150, inDoubt: 0, ungranted: 600, remaining: 850 },
    },
    {
      name: 'takes the same report in once',
      reports: [
        report('a', 1, { wants: 400 }),
        report('a', 2, { spent: 150, keeps: 250 }),
        report('a', 2, { spent: 150, keeps: 250 }),
      ],
      expected: { held: 250, spent: 150, inDoubt: 0, ungranted: 600, remaining: 850 },
    },
    {
      // a process is killed between two reports. What it held may have been spent, so its successor
      // on the same instance must not get it again, nor anybody else.
      name: 'keeps what a killed process held charged',
      reports: [report('a', 1, { wants: 400 }), report('a', 1, { wants: 100 }, 'a-2')],
      expected: { held: 100, spent: 0, inDoubt: 400, ungranted: 500, remaining: 600 },
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
          ungranted: ungrantedPrepaid(account, 1_000),
          remaining: remainingPrepaid(account, 1_000),
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

test('a top-up is granted, and a lower limit grants nothing more', () => {
  const page = pageOf(report('a', 1, { wants: 1_000 }));
  const raised = applyReport(page, report('b', 1, { wants: 500 }), new Map([['shop', 1_200]]));
  assert.equal(raised.accounts.shop?.shares.b?.held, 200);
  const lowered = applyReport(raised, report('c', 1, { wants: 500 }), new Map([['shop', 100]]));
  assert.equal(lowered.accounts.shop?.shares.c?.held, 0);
});
