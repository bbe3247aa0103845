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
  leftPrepaid,
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

/** The grants that a page of the first group has taken in. */
function grantsOf({ accounts }: PrepaidPage): PrepaidBudgets['grants'] {
  const grants = Object.entries(accounts).map(([name, { granted, returned }]) => {
    return [name, { '0': { granted, returned, gone: 0 } }];
  });
  return Object.fromEntries(grants) as PrepaidBudgets['grants'];
}

function grant(budgets: PrepaidBudgets, group: string, lacks: number): PrepaidBudgets {
  return grantPrepaid(budgets, group, createPrepaidPage(), new Map([['shop', lacks]]), limits);
}

test('instances fill one group after the other, and each stays in its own', () => {
  const budgets = budgetsOf('a', 'b', 'c');
  assert.deepEqual(budgets.members, { a: '0', b: '0', c: '1' });
  assert.equal(joinGroup(budgets, 'a', 1), budgets);
});

// Callers are refused although plenty is left: groups that ask for one account at a time lose their asks to each other.
describe('a group that asks for an account', () => {
  const both = new Map([
    ['shop', 1_000],
    ['depot', 1_000],
  ]);
  // two groups: a fair grant of an untouched limit is a quarter of it.
  const budgets = budgetsOf('a', 'b', 'c');
  const pageOf = (granted: number, spent = 0): PrepaidPage => {
    const { accounts, writers } = pageWith({ granted, spent });
    return { writers, accounts: accounts.shop ? { depot: accounts.shop } : {} };
  };
  const cases: readonly {
    name: string;
    page: PrepaidPage;
    lacks: number;
    wanted: [string, number][];
  }[] = [
    {
      name: 'takes along one that it has nothing of',
      page: createPrepaidPage(),
      lacks: 10,
      wanted: [
        ['shop', 10],
        ['depot', 0],
      ],
    },
    {
      name: 'takes along one that runs low',
      page: pageOf(250, 170),
      lacks: 10,
      wanted: [
        ['shop', 10],
        ['depot', 0],
      ],
    },
    { name: 'leaves one that has enough', page: pageOf(250), lacks: 10, wanted: [['shop', 10]] },
    {
      name: 'asks for nothing when it lacks nothing',
      page: createPrepaidPage(),
      lacks: 0,
      wanted: [],
    },
  ];
  for (const { name, page, lacks, wanted } of cases) {
    test(name, () => {
      const lacking = new Map(lacks > 0 ? [['shop', lacks]] : []);
      const granted = { ...budgets, grants: grantsOf(page) };
      assert.deepEqual([...wantedGrants(granted, '0', page, lacking, both)], wanted);
    });
  }

  test('counts a grant that its page has not taken in yet', () => {
    const granted = grant(budgets, '0', 300);
    const lacking = new Map([['shop', 200]]);
    assert.deepEqual([...wantedGrants(granted, '0', createPrepaidPage(), lacking, limits)], []);
  });

  test('gets a fair part of what it takes along', () => {
    const wanted = wantedGrants(budgets, '0', createPrepaidPage(), new Map([['shop', 10]]), both);
    const { grants } = grantPrepaid(budgets, '0', createPrepaidPage(), wanted, both);
    assert.equal(grants.depot?.['0']?.granted, 250);
  });
});

// instances are replaced under new names each day: without an end of their membership the object that all
// read grows for ever, and each instance's part of the retries shrinks.
test('instances that leave free their places', () => {
  const budgets = leaveGroup(budgetsOf('a', 'b', 'c'), ['a', 'unknown']);
  assert.deepEqual(budgets.members, { b: '0', c: '1' });
  assert.equal(joinGroup(budgets, 'd', 2).members.d, '0');
  assert.equal(leaveGroup(budgets, ['a']), budgets);
  assert.deepEqual(membersOf(budgets, '1'), ['c']);
});

describe('the group after', () => {
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
  test('the only one is itself', () => {
    assert.equal(nextGroup(budgetsOf('a'), '0'), '0');
  });
});

describe('grants', () => {
  const cases = [
    { name: 'give one group half of the rest', members: ['a'], lacks: 10, granted: 500 },
    {
      name: 'give each of two groups a quarter',
      members: ['a', 'b', 'c'],
      lacks: 10,
      granted: 250,
    },
    { name: 'cover what is lacking where that is more', members: ['a'], lacks: 800, granted: 800 },
    { name: 'never pass the limit', members: ['a'], lacks: 5_000, granted: 1_000 },
  ];
  for (const { name, members, lacks, granted } of cases) {
    test(name, () => {
      const budgets = grant(budgetsOf(...members), '0', lacks);
      assert.equal(budgets.grants.shop?.['0']?.granted, granted);
      assert.equal(ungrantedPrepaid(budgets, 'shop', 1_000), 1_000 - granted);
    });
  }

  test('of an account without a limit in force give nothing', () => {
    const lacking = new Map([['gone', 100]]);
    const budgets = grantPrepaid(budgetsOf('a'), '0', createPrepaidPage(), lacking, limits);
    assert.equal(budgets.grants.gone, undefined);
  });

  test('reach the page once, and an outdated copy takes none back', () => {
    const first = grant(budgetsOf('a'), '0', 100);
    const second = grant(first, '0', 100);
    const page = takeGrants(takeGrants(createPrepaidPage(), second, '0'), first, '0');
    assert.equal(page.accounts.shop?.granted, 750);
    assert.equal(takeGrants(createPrepaidPage(), second, '1').accounts.shop, undefined);
  });
});

// a top-up of the day before is gone: a lower limit must not be passed, and a higher one is granted.
test('a limit that changes changes what is left to grant', () => {
  const budgets = grant(budgetsOf('a'), '0', 800);
  assert.equal(ungrantedPrepaid(budgets, 'shop', 500), 0);
  assert.equal(ungrantedPrepaid(budgets, 'shop', 1_500), 700);
});

// a volunteer gets 402, for good, while another group still holds tokens that it will give up soon.
test('what is left anywhere counts only what the groups told as gone', () => {
  const granted = grant(budgetsOf('a', 'b', 'c'), '0', 400);
  const spent = pageWith({ granted: 400, spent: 300, inDoubt: 50 });
  const told = grantPrepaid(granted, '0', spent, new Map([['shop', 10]]), limits);
  assert.equal(leftPrepaid(told, 'shop', 1_000), 650);
  assert.equal(leftPrepaid(granted, 'shop', 1_000), 1_000);
});

test('a group sizes by its even part of the limit and of the rest', () => {
  const outlook = prepaidOutlook(grant(budgetsOf('a', 'b', 'c'), '0', 400), limits);
  assert.deepEqual(outlook.get('shop'), { limitPart: 500, beyond: 300, groups: 2 });
});

// callers of a shop are refused with 503 while two fifths of its budget lie idle: the first instances
// that started were granted half of all before the others had joined, and had no way to give it back.
describe('a surplus', () => {
  const outlook = new Map([['shop', { limitPart: 500, beyond: 0, groups: 2 }]]);

  test('goes back, and another group is granted it', () => {
    const granted = grant(budgetsOf('a', 'b', 'c'), '0', 1_000);
    const kept = returnSurplus(pageWith({ granted: 1_000, spent: 200 }), outlook);
    assert.equal(kept.accounts.shop?.returned, 600);
    assert.equal(hasReturns(kept, granted, '0'), true);
    const taken = grantPrepaid(granted, '0', kept, new Map(), limits);
    assert.equal(hasReturns(kept, taken, '0'), false);
    assert.equal(ungrantedPrepaid(taken, 'shop', 1_000), 600);
    assert.equal(grant(taken, '1', 300).grants.shop?.['1']?.granted, 300);
  });

  // all instances of a group were removed: what it was granted would lie idle for good.
  test('is all that a group without instances has not dealt', () => {
    const page = { ...pageWith({ granted: 1_000, spent: 200, inDoubt: 50 }), writers: {} };
    assert.equal(returnSurplus(page, new Map()).accounts.shop?.returned, 750);
  });

  const kept = [
    { name: 'of a group that is alone', change: { groups: 1 } },
    { name: 'while enough is left for the others', change: { beyond: 600 } },
    { name: 'that is hardly worth a call', change: { limitPart: 50_000 } },
  ];
  for (const { name, change } of kept) {
    test(`${name} is kept`, () => {
      const shop = { limitPart: 500, beyond: 0, groups: 2, ...change };
      const page = pageWith({ granted: 1_000, spent: 200 });
      assert.deepEqual(returnSurplus(page, new Map([['shop', shop]])), page);
    });
  }
});
