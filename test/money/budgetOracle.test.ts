import type { OracleTopUp, RequestRecord } from '@flamingocourse/lab';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { countFalseRefusals, createRandom, planRequests } from '@flamingocourse/lab';

function record(arrivedAt: number, outcome: string, durationMs = 100): RequestRecord {
  const sizes = { worst: 100, cost: 40, durationMs };
  return { atMs: 0, account: 'kirk', router: 0, arrivedAt, outcome, reserveMs: 0, ...sizes };
}

const topUp = { account: 'kirk', amount: 100, at: 10 };
const hidden: OracleTopUp = { ...topUp, hiddenFrom: { routers: [0], until: 50 } };
const refused = 'budget-exhausted';

const cases = [
  {
    name: 'too few tokens are left',
    records: [record(0, 'served'), record(50, refused)],
    naive: 0,
  },
  {
    name: 'unused tokens were released before',
    records: [record(0, 'served'), record(100, refused)],
    naive: 1,
  },
  { name: 'refused for another reason', records: [record(0, 'overloaded')], naive: 0, perfect: 0 },
  { name: 'after a top-up', records: [record(0, 'served'), record(20, refused)], topUps: [topUp], naive: 1 }, // prettier-ignore
  { name: 'top-up not visible to the router yet', records: [record(0, 'served'), record(20, refused)], topUps: [hidden], naive: 0, hiddenTopUps: 1 }, // prettier-ignore
  { name: 'top-up visible to the router again', records: [record(0, 'served'), record(60, refused)], topUps: [hidden], naive: 1 }, // prettier-ignore
];

for (const { name, records, topUps = [], naive, perfect = 1, hiddenTopUps = 0 } of cases) {
  test(`false refusals counted against a budget of 150 tokens: ${name}`, () => {
    const budgets = new Map([['kirk', 150]]);
    const found = countFalseRefusals('naive', budgets, records, topUps);
    assert.deepEqual(found, { count: naive, hiddenTopUp: hiddenTopUps });
    assert.equal(countFalseRefusals('perfect', budgets, records, topUps).count, perfect);
  });
}

test('a request plan is deterministic for a seed and skewed towards the first router', () => {
  const size = { seconds: 10, ratePerSecond: 100, routers: 8, accounts: ['kirk', 'altan'] };
  const plan = planRequests(size, createRandom(3));
  assert.deepEqual(plan, planRequests(size, createRandom(3)));
  const of = (router: number): number => plan.filter((one) => one.router === router).length;
  assert.ok(of(0) > 5 * of(7));
  assert.ok(plan.every((one) => one.cost <= one.worst));
});
