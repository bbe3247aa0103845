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
  { says: 'nothing is left', records: [record(0, 'served'), record(50, refused)], naive: 0 },
  { says: 'the rest was settled', records: [record(0, 'served'), record(100, refused)], naive: 1 },
  { says: 'not for budget', records: [record(0, 'overloaded')], naive: 0, perfect: 0 },
  { says: 'topped up', records: [record(0, 'served'), record(20, refused)], topUps: [topUp], naive: 1 }, // prettier-ignore
  { says: 'hidden', records: [record(0, 'served'), record(20, refused)], topUps: [hidden], naive: 0, hiddenTopUps: 1 }, // prettier-ignore
  { says: 'seen again', records: [record(0, 'served'), record(60, refused)], topUps: [hidden], naive: 1 }, // prettier-ignore
];

for (const { says, records, topUps = [], naive, perfect = 1, hiddenTopUps = 0 } of cases) {
  test(`a refusal against oracles with 150 tokens: ${says}`, () => {
    const budgets = new Map([['kirk', 150]]);
    const found = countFalseRefusals('naive', budgets, records, topUps);
    assert.deepEqual(found, { count: naive, hiddenTopUp: hiddenTopUps });
    assert.equal(countFalseRefusals('perfect', budgets, records, topUps).count, perfect);
  });
}

test('a plan is the same for the same seed and skewed over routers', () => {
  const size = { seconds: 10, ratePerSecond: 100, routers: 8, accounts: ['kirk', 'altan'] };
  const plan = planRequests(size, createRandom(3));
  assert.deepEqual(plan, planRequests(size, createRandom(3)));
  const of = (router: number): number => plan.filter((one) => one.router === router).length;
  assert.ok(of(0) > 5 * of(7));
  assert.ok(plan.every((one) => one.cost <= one.worst));
});
