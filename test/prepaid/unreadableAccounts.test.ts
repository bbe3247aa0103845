import type { PrepaidBudgets, PrepaidPage } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  applyReport,
  hasReturns,
  partlyReadTableSchema,
  prepaidShortfalls,
  takeGrants,
  ungrantedPrepaid,
  viewOfPage,
  wantedGrants,
} from '@flamingocourse/core';
import { z } from 'zod';

const numbers = partlyReadTableSchema(z.string(), z.number());

describe('a table whose entries are read one by one', () => {
  const cases = [
    { input: '{}', expected: { readable: {} } },
    { input: '{"a":1}', expected: { readable: { a: 1 } } },
    { input: '{"a":1,"b":"x"}', expected: { readable: { a: 1 }, unreadable: { b: 'x' } } },
    {
      input: '{"__proto__":null,"constructor":2}',
      expected: {
        readable: JSON.parse('{"constructor":2}') as unknown,
        unreadable: JSON.parse('{"__proto__":null}') as unknown,
      },
    },
  ];
  for (const { input, expected } of cases) {
    test(`${input} keeps each entry`, () => {
      assert.deepEqual(numbers.parse(JSON.parse(input)), expected);
    });
  }

  for (const input of [null, 7, 'x', [], [1]]) {
    test(`${JSON.stringify(input)} is none`, () => {
      assert.equal(numbers.safeParse(input).success, false);
    });
  }
});

// Guards against granting tokens of an account twice, because what was spent of them cannot be read.
describe('an account that cannot be read', () => {
  const account = { granted: 100, returned: 0, spent: 0, inDoubt: 0, shares: {} };
  const grants = { club: { 0: { granted: 100, returned: 0, gone: 0 } } };
  const readable: PrepaidBudgets = { members: { 'edge-1': '0' }, grants };
  const page: PrepaidPage = { accounts: {}, writers: {}, unreadable: { club: null } };
  const limits = new Map([
    ['club', 1_000],
    ['shop', 1_000],
  ]);
  const entry = { spent: 5, keeps: 10, wants: 20, rate: 1 };
  const report = {
    instance: 'edge-1',
    incarnation: 'a',
    seq: 1,
    last: false,
    entries: { club: entry, shop: entry },
  };

  test('of a page takes no grants and no reports', () => {
    const granted = takeGrants(page, readable, '0');
    const next = applyReport(granted, report);
    assert.deepEqual(Object.keys(next.accounts), ['shop']);
    assert.deepEqual(next.unreadable, { club: null });
  });

  test('of a page asks for no grants', () => {
    const shortfalls = prepaidShortfalls(page, report);
    assert.deepEqual([...shortfalls.keys()], ['shop']);
    assert.deepEqual([...wantedGrants(readable, '0', page, shortfalls, limits).keys()], ['shop']);
  });

  test('of a page has nothing to size tokens by', () => {
    const outlook = { limitPart: 1, beyond: 9, elsewhere: 9, othersRate: 3, groups: 1 };
    const view = viewOfPage(page, new Map([['club', outlook]]), report);
    assert.deepEqual(view.accounts.get('club'), { remaining: 0, othersRate: 0 });
  });

  test('of the budgets has nothing left to grant, and takes no returns', () => {
    const budgets: PrepaidBudgets = { members: {}, grants: {}, unreadable: { club: 7 } };
    assert.equal(ungrantedPrepaid(budgets, 'club', 1_000), 0);
    assert.equal(ungrantedPrepaid(budgets, 'shop', 1_000), 1_000);
    const returning = { accounts: { club: { ...account, returned: 50 } }, writers: {} };
    assert.equal(hasReturns(returning, budgets, '0'), false);
  });
});
