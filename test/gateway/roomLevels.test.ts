import type { RoomByImportance, ServiceDemand } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import {
  EvenAdmission,
  RetryOrder,
  ServiceCapacity,
  divideRoom,
  noDemand,
  totalRoom,
} from '@flamingocourse/core';

const importances = ['first', 'standard', 'background'] as const;

function demand(accounts: Record<string, Partial<RoomByImportance>>): ServiceDemand {
  const rooms = Object.entries(accounts).map(([name, room]) => {
    return [name, { first: 0, standard: 0, background: 0, ...room }] as const;
  });
  return { ...noDemand(), accounts: Object.fromEntries(rooms), crowded: true };
}

function given(asked: ServiceDemand, capacity: number, account: string): number {
  const levels = divideRoom(asked, capacity);
  const room = asked.accounts[account];
  if (!room) return 0;
  return importances.reduce((sum, each) => sum + levels.fraction(account, each) * room[each], 0);
}

describe('the level of accounts', () => {
  // Guards against small accounts that pay for a large one, and against room that nobody gets.
  const cases: {
    name: string;
    accounts: Record<string, Partial<RoomByImportance>>;
    capacity: number;
    expected: Record<string, number>;
  }[] = [
    {
      name: 'all demand fits',
      accounts: { a: { first: 2 }, b: { first: 1 } },
      capacity: 4,
      expected: { a: 2, b: 1 },
    },
    {
      name: 'one account asks for more than is left',
      accounts: { large: { first: 9 }, b: { first: 1 }, c: { first: 1 } },
      capacity: 6,
      expected: { large: 4, b: 1, c: 1 },
    },
    {
      name: 'all ask for more than their share',
      accounts: { a: { first: 8 }, b: { first: 4 } },
      capacity: 6,
      expected: { a: 3, b: 3 },
    },
    {
      name: 'an account asks for so much that its share would be less than a quarter as often',
      accounts: { huge: { first: 96 }, b: { first: 4 } },
      capacity: 10,
      expected: { huge: 6, b: 4 },
    },
  ];
  for (const { name, accounts, capacity, expected } of cases) {
    test(name, () => {
      for (const [account, slots] of Object.entries(expected)) {
        const got = given(demand(accounts), capacity, account);
        assert.ok(Math.abs(got - slots) < 1e-6, `${account}: ${String(got)}`);
      }
    });
  }

  // Guards against a large account whose urgent requests wait behind its own background work.
  test('within an account the more important go first, and the others keep their minimum', () => {
    const asked = demand({ a: { first: 6, standard: 6, background: 6 } });
    const levels = divideRoom(asked, 9);
    const parts = importances.map((each) => levels.fraction('a', each) * 6);
    const [first = 0, standard = 0, background = 0] = parts;
    assert.ok(Math.abs(first - 6) < 1e-6);
    assert.ok(standard >= 0.9 && background >= 0.45 && standard > background);
    assert.ok(Math.abs(first + standard + background - 9) < 1e-6);
  });

  const room = fc.record({
    first: fc.double({ min: 0, max: 50, noNaN: true }),
    standard: fc.double({ min: 0, max: 50, noNaN: true }),
    background: fc.double({ min: 0, max: 50, noNaN: true }),
  });

  // Guards against any demand for which the rules of the shares don't hold.
  test('holds for any demand: all capacity, no more, whole small accounts, none below a quarter', () => {
    const accounts = fc.dictionary(fc.string({ minLength: 1, maxLength: 3 }), room, { minKeys: 1 });
    const capacities = fc.double({ min: 0.1, max: 100, noNaN: true });
    fc.assert(
      fc.property(accounts, capacities, (rooms, capacity) => {
        const asked = demand(rooms);
        const names = Object.keys(asked.accounts);
        const total = names.reduce((sum, name) => sum + totalOf(asked, name), 0);
        const got = names.map((name) => given(asked, capacity, name));
        const sum = got.reduce((before, each) => before + each, 0);
        assert.ok(Math.abs(sum - Math.min(total, capacity)) < 1e-3 * capacity + 1e-6, 'sum');
        const overall = Math.min(1, capacity / total);
        const levels = divideRoom(asked, capacity);
        for (const [i, name] of names.entries()) {
          const own = totalOf(asked, name);
          const isSmall = own <= (0.75 * capacity) / names.length;
          if (isSmall) assert.ok((got[i] ?? 0) >= own - 1e-6, 'a small account is not whole');
          for (const each of importances) {
            assert.ok(levels.fraction(name, each) >= 0.25 * overall - 1e-6, 'below a quarter');
          }
        }
      }),
      { seed: 61, numRuns: 300 },
    );
  });
});

describe('the admission of a fraction', () => {
  // Guards against runs of refusals by chance, and against instances that all admit at once.
  test('is even, and exact over instances with one request each', () => {
    const one = new EvenAdmission(0.3);
    const admitted = Array.from({ length: 100 }, () => one.admits(0.4));
    assert.equal(admitted.filter(Boolean).length, 40);
    assert.ok(!admitted.join('').includes('falsefalsefalse'));
    const many = Array.from({ length: 1_000 }, (_, i) => new EvenAdmission(i / 1_000));
    assert.equal(many.filter((each) => each.admits(0.25)).length, 250);
  });
});

describe('the order of retries', () => {
  // Guards against refused callers that all come back at once, the latest before the first.
  test('follows the order of refusals at the pace of admission, and stays within what is honoured', () => {
    const order = new RetryOrder();
    const times = Array.from({ length: 10 }, (_, i) => i + order.retryAfterMs(0.01, 3_000, i));
    for (const [i, at] of times.entries()) {
      if (i > 0) assert.ok(at - (times[i - 1] ?? 0) >= 99, String(at));
    }
    const later = Array.from({ length: 20 }, () => order.retryAfterMs(0.01, 3_000, 10));
    assert.ok(later.every((ms) => ms <= 1_000 && ms >= 50));
    assert.ok(new Set(later).size >= 10);
  });
});

describe('the capacity', () => {
  const asked = { ...demand({ a: { first: 20 } }), served: 6 };

  function observe(
    capacity: ServiceCapacity,
    lateness: number,
    served: number,
    ms: number,
    at = 0,
  ) {
    for (let now = at; now <= at + ms; now += 250) {
      capacity.observe({ ...asked, lateness, served }, now);
    }
  }

  // Guards against limits while there is room.
  test('is unknown until requests wait, and again when demand is over', () => {
    const capacity = new ServiceCapacity();
    observe(capacity, 0.1, 6, 5_000);
    assert.equal(slotsOf(capacity), undefined);
    observe(capacity, 1, 6, 2_000, 5_250);
    assert.ok((slotsOf(capacity) ?? 99) < 6);
    for (let now = 7_500; now <= 20_000; now += 250) {
      capacity.observe({ ...demand({ a: { first: 2 } }), served: 2, lateness: 0 }, now);
    }
    assert.equal(slotsOf(capacity), undefined);
  });

  // Guards against an estimate from an outage of the servers that limits for long after it.
  test('comes back from a hundredth within 10 s in which nobody waits', () => {
    const capacity = new ServiceCapacity();
    observe(capacity, 1, 0.06, 2_000);
    observe(capacity, 0, 0.06, 10_000, 2_250);
    assert.ok((slotsOf(capacity) ?? 6) >= 3, String(slotsOf(capacity)));
  });

  // Guards against a level that falls without end because less was admitted, so less was served.
  test('rises while nobody waits, although little is served', () => {
    const capacity = new ServiceCapacity();
    observe(capacity, 1, 6, 2_000);
    const before = capacity.slots ?? 0;
    observe(capacity, 0, 3, 3_000, 2_250);
    assert.ok((capacity.slots ?? 0) > before);
  });
});

function slotsOf({ slots }: ServiceCapacity): number | undefined {
  return slots;
}

function totalOf({ accounts }: ServiceDemand, name: string): number {
  const found = accounts[name];
  return found ? totalRoom(found) : 0;
}
