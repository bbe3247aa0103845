import type { PrepaidBudgets, PrepaidPage } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  createPrepaidBudgets,
  createPrepaidPage,
  grantPrepaid,
  hasReturns,
  joinGroup,
  leaveGroup,
  maxRemainingPrepaid,
  membersOf,
  nextGroup,
  prepaidOutlook,
  returnSurplus,
  takeGrants,
  ungrantedPrepaid,
  wantedGrants,
} from '@flamingocourse/core';

const limits = new Map([['shop', 1_000]]);

function budgetsOf(...instances: string[]): PrepaidBudgets {
  return instances.reduce(
    (budgets, instance) => joinGroup(budgets, instance, 2),
    createPrepaidBudgets(),
  );
}

function pageWith(change: Partial<PrepaidPage['accounts'][string]>): PrepaidPage {
  const account = { granted: 0, returned: 0, spent: 0, inDoubt: 0, shares: {}, ...change };
  return { writers: { a: { incarnation: 'a-1', seq: 1 } }, accounts: { shop: account } };
}

/** Returns the grants that a page of group 0 includes. */
function grantsOf({ accounts }: PrepaidPage): PrepaidBudgets['grants'] {
  const grants = Object.entries(accounts).map(([name, { granted, returned }]) => {
    return [name, { '0': { granted, returned, gone: 0 } }];
  });
  return Object.fromEntries(grants) as PrepaidBudgets['grants'];
}

function grant(budgets: PrepaidBudgets, group: string, shortfall: number): PrepaidBudgets {
  return grantPrepaid(budgets, group, createPrepaidPage(), new Map([['shop', shortfall]]), limits);
}

test('joinGroup fills one group after the other and keeps members in their group', () => {
  const budgets = budgetsOf('a', 'b', 'c');
  assert.deepEqual(budgets.members, { a: '0', b: '0', c: '1' });
  assert.equal(joinGroup(budgets, 'a', 1), budgets);
});

// Guards against refused callers although many tokens are left: groups that ask for one account at
// a time cause update conflicts for each other.
describe('wantedGrants', () => {
  const both = new Map([
    ['shop', 1_000],
    ['depot', 1_000],
  ]);
  // Two groups: a fair grant of an unused limit is a quarter of it.
  const budgets = budgetsOf('a', 'b', 'c');
  const pageOf = (granted: number, spent = 0): PrepaidPage => {
    const { accounts, writers } = pageWith({ granted, spent });
    return { writers, accounts: accounts.shop ? { depot: accounts.shop } : {} };
  };
  const cases: readonly {
    name: string;
    page: PrepaidPage;
    shortfall: number;
    wanted: [string, number][];
  }[] = [
    {
      name: 'adds an account without tokens in the group',
      page: createPrepaidPage(),
      shortfall: 10,
      wanted: [
        ['shop', 10],
        ['depot', 0],
      ],
    },
    {
      name: 'adds an account that runs low',
      page: pageOf(250, 170),
      shortfall: 10,
      wanted: [
        ['shop', 10],
        ['depot', 0],
      ],
    },
    {
      name: 'omits an account with enough tokens',
      page: pageOf(250),
      shortfall: 10,
      wanted: [['shop', 10]],
    },
    {
      name: 'is empty without a shortfall',
      page: createPrepaidPage(),
      shortfall: 0,
      wanted: [],
    },
  ];
  for (const { name, page, shortfall, wanted } of cases) {
    test(name, () => {
      const shortfalls = new Map(shortfall > 0 ? [['shop', shortfall]] : []);
      const granted = { ...budgets, grants: grantsOf(page) };
      assert.deepEqual([...wantedGrants(granted, '0', page, shortfalls, both)], wanted);
    });
  }

  test('counts a grant that the page does not include yet', () => {
    const granted = grant(budgets, '0', 300);
    const shortfalls = new Map([['shop', 200]]);
    assert.deepEqual([...wantedGrants(granted, '0', createPrepaidPage(), shortfalls, limits)], []);
  });

  test('leads to a fair grant of added accounts', () => {
    const wanted = wantedGrants(budgets, '0', createPrepaidPage(), new Map([['shop', 10]]), both);
    const { grants } = grantPrepaid(budgets, '0', createPrepaidPage(), wanted, both);
    assert.equal(grants.depot?.['0']?.granted, 250);
  });
});

// Guards against memberships that never end. Instances are replaced under new names each day, so the
// shared object would grow without bound, and each instance's part of the retry allowance would shrink.
test('leaveGroup frees the places of instances', () => {
  const budgets = leaveGroup(budgetsOf('a', 'b', 'c'), ['a', 'unknown']);
  assert.deepEqual(budgets.members, { b: '0', c: '1' });
  assert.equal(joinGroup(budgets, 'd', 2).members.d, '0');
  assert.equal(leaveGroup(budgets, ['a']), budgets);
  assert.deepEqual(membersOf(budgets, '1'), ['c']);
});

describe('nextGroup of', () => {
  const budgets = leaveGroup(budgetsOf('a', 'b', 'c', 'd', 'e'), ['c', 'd']);
  const cases = [
    { group: '0', next: '2' },
    { group: '2', next: '0' },
    { group: '1', next: '2' },
  ];
  for (const { group, next } of cases) {
    test(`${group} is ${next}`, () => {
      assert.equal(nextGroup(budgets, group), next);
    });
  }
  test('the only group is the group itself', () => {
    assert.equal(nextGroup(budgetsOf('a'), '0'), '0');
  });
});

describe('grantPrepaid', () => {
  const cases = [
    { name: 'grants a single group half of the rest', members: ['a'], shortfall: 10, granted: 500 },
    {
      name: 'grants each of two groups a quarter',
      members: ['a', 'b', 'c'],
      shortfall: 10,
      granted: 250,
    },
    { name: 'grants the shortfall if that is more', members: ['a'], shortfall: 800, granted: 800 },
    { name: 'never exceeds the limit', members: ['a'], shortfall: 5_000, granted: 1_000 },
  ];
  for (const { name, members, shortfall, granted } of cases) {
    test(name, () => {
      const budgets = grant(budgetsOf(...members), '0', shortfall);
      assert.equal(budgets.grants.shop?.['0']?.granted, granted);
      assert.equal(ungrantedPrepaid(budgets, 'shop', 1_000), 1_000 - granted);
    });
  }

  test('grants nothing of an account without a current limit', () => {
    const shortfalls = new Map([['gone', 100]]);
    const budgets = grantPrepaid(budgetsOf('a'), '0', createPrepaidPage(), shortfalls, limits);
    assert.equal(budgets.grants.gone, undefined);
  });

  test('is applied to the page once, and outdated budgets do not reduce the grant', () => {
    const first = grant(budgetsOf('a'), '0', 100);
    const second = grant(first, '0', 100);
    const page = takeGrants(takeGrants(createPrepaidPage(), second, '0'), first, '0');
    assert.equal(page.accounts.shop?.granted, 750);
    assert.equal(takeGrants(createPrepaidPage(), second, '1').accounts.shop, undefined);
  });
});

// Limits change in both directions, for example when the top-up of the previous day is removed: a
// lower limit must not be exceeded, and a higher one must be granted.
test('ungrantedPrepaid follows a changed limit', () => {
  const budgets = grant(budgetsOf('a'), '0', 800);
  assert.equal(ungrantedPrepaid(budgets, 'shop', 500), 0);
  assert.equal(ungrantedPrepaid(budgets, 'shop', 1_500), 700);
});

// Guards against a final refusal (402) while another group still holds tokens that it will return
// soon.
test('maxRemainingPrepaid subtracts only tokens that groups reported as spent or in doubt', () => {
  const granted = grant(budgetsOf('a', 'b', 'c'), '0', 400);
  const spent = pageWith({ granted: 400, spent: 300, inDoubt: 50 });
  const updated = grantPrepaid(granted, '0', spent, new Map([['shop', 10]]), limits);
  assert.equal(maxRemainingPrepaid(updated, 'shop', 1_000), 650);
  assert.equal(maxRemainingPrepaid(granted, 'shop', 1_000), 1_000);
});

// Guards against an instance that holds too few tokens, because it knows only those and the demand of its own group.
describe('prepaidOutlook', () => {
  const granted = grant(budgetsOf('a', 'b', 'c'), '0', 400);
  const shares = { a: { held: 50, rate: 30 } };
  const spent = pageWith({ granted: 400, spent: 100, inDoubt: 20, shares });
  const budgets = grantPrepaid(granted, '0', spent, new Map(), limits);
  const cases = [
    { name: 'a group that was granted nothing', group: '1', elsewhere: 880, othersRate: 30 },
    { name: 'the group that was granted something', group: '0', elsewhere: 600, othersRate: 0 },
  ];
  for (const { name, group, elsewhere, othersRate } of cases) {
    test(`shows the tokens and the demand elsewhere to ${name}`, () => {
      const known = { limitPart: 500, beyond: 300, groups: 2 };
      const outlook = prepaidOutlook(budgets, limits, group).get('shop');
      assert.deepEqual(outlook, { ...known, elsewhere, othersRate });
    });
  }

  test('leaves out groups without members', () => {
    const left = leaveGroup(budgets, ['a', 'b']);
    const { elsewhere, othersRate } = prepaidOutlook(left, limits, '1').get('shop') ?? {};
    assert.deepEqual({ elsewhere, othersRate }, { elsewhere: 600, othersRate: 0 });
  });
});

// Guards against callers refused while budget is unused that the first instances were granted and could not return.
describe('returnSurplus', () => {
  const outlook = new Map([
    ['shop', { limitPart: 500, beyond: 0, elsewhere: 0, othersRate: 0, groups: 2 }],
  ]);

  test('returns tokens that another group can then be granted', () => {
    const granted = grant(budgetsOf('a', 'b', 'c'), '0', 1_000);
    const kept = returnSurplus(pageWith({ granted: 1_000, spent: 200 }), outlook);
    assert.equal(kept.accounts.shop?.returned, 600);
    assert.equal(hasReturns(kept, granted, '0'), true);
    const taken = grantPrepaid(granted, '0', kept, new Map(), limits);
    assert.equal(hasReturns(kept, taken, '0'), false);
    assert.equal(ungrantedPrepaid(taken, 'shop', 1_000), 600);
    assert.equal(grant(taken, '1', 300).grants.shop?.['1']?.granted, 300);
  });

  // Guards against tokens that stay unused for ever after all instances of a group were removed.
  test('returns all unallocated tokens of a group without instances', () => {
    const page = { ...pageWith({ granted: 1_000, spent: 200, inDoubt: 50 }), writers: {} };
    assert.equal(returnSurplus(page, new Map()).accounts.shop?.returned, 750);
  });

  const kept = [
    { name: 'if there is only one group', change: { groups: 1 } },
    { name: 'if enough is left for the other groups', change: { beyond: 600 } },
    { name: 'if the surplus is too small for a call', change: { limitPart: 50_000 } },
  ];
  for (const { name, change } of kept) {
    test(`returns nothing ${name}`, () => {
      const known = { limitPart: 500, beyond: 0, elsewhere: 0, othersRate: 0, groups: 2 };
      const shop = { ...known, ...change };
      const page = pageWith({ granted: 1_000, spent: 200 });
      assert.deepEqual(returnSurplus(page, new Map([['shop', shop]])), page);
    });
  }
});
