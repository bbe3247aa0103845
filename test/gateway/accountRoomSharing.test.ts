import type { AccountRoomSharingParts } from '../../packages/gateway/src/runtime/accountRoomSharing.js';
import type { WorldAccount, WorldShape } from './fleet/roomWorld.js';
import type { Refusal } from '@flamingocourse/core';
import type { RoomRequest } from '@flamingocourse/gateway';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import { AccountRoomSharing } from '../../packages/gateway/src/runtime/accountRoomSharing.js';
import { runRoomWorld } from './fleet/roomWorld.js';

const ALL = [0, 1, 2, 3];
const SEEDS = [1, 2, 3, 4, 5, 6];

/** 75 requests a second of 80 ms are served at a time by six slots. */
const WORLD = { instances: 4, slots: 6, workMs: 80, durationMs: 60_000, warmUpMs: 5_000 };

function smallAccounts(at: readonly number[]): WorldAccount[] {
  return [1, 2, 3].map((i) => ({ name: `small-${String(i)}`, perSecond: 10, at }));
}

describe('accounts share an overloaded service', () => {
  // Guards against shares that depend on the instances where requests enter, and late queues.
  const arrangements = [
    { name: 'all accounts at all instances', large: ALL, small: ALL },
    {
      name: 'the large account at three instances, the small ones at one',
      large: [0, 1, 2],
      small: [3],
    },
    {
      name: 'the large account at one instance, the small ones at three',
      large: [0],
      small: [1, 2, 3],
    },
  ];
  for (const { name, large, small } of arrangements) {
    test(`small accounts are served as without overload: ${name}`, (t) => {
      const accounts = [{ name: 'large', perSecond: 90, at: large }, ...smallAccounts(small)];
      const runs = SEEDS.map((seed) => runRoomWorld({ ...WORLD, accounts, seed }));
      for (const { name: account } of smallAccounts(small)) {
        const results = runs.flatMap((run) => run.accounts.get(account) ?? []);
        const sum = (of: 'asked' | 'served' | 'inTime') =>
          results.reduce((before, result) => before + result[of], 0);
        const served = sum('served') / sum('asked');
        const inTime = sum('inTime') / sum('asked');
        t.diagnostic(`${account}: served ${served.toFixed(3)}, in time ${inTime.toFixed(3)}`);
        assert.ok(served >= 0.97, `${account}: served ${String(served)}`);
        assert.ok(inTime >= 0.95, `${account}: in time ${String(inTime)}`);
      }
      const used = runs.reduce((before, run) => before + run.used, 0) / runs.length;
      t.diagnostic(`used ${used.toFixed(3)} of the capacity`);
      assert.ok(used >= 0.9, `used ${String(used)}`);
    });
  }

  // Guards against refusals by share while there is room.
  test('nobody is refused while there is room', () => {
    const accounts = [{ name: 'large', perSecond: 25, at: ALL }, ...smallAccounts(ALL)];
    for (const seed of [...SEEDS, 101, 102, 103, 104, 105, 106, 107, 108, 109, 110, 111, 112]) {
      const run = runRoomWorld({ ...WORLD, accounts, seed, retries: false });
      for (const [name, { refused }] of run.accounts) assert.equal(refused, 0, name);
    }
  });

  // Guards against accounts that stay limited after an overload, and a slow end of it.
  test('after a burst all accounts are served whole again', () => {
    const burst = { name: 'burst', perSecond: 90, at: ALL, from: 5_000, until: 20_000 };
    const accounts = [{ name: 'large', perSecond: 20, at: ALL }, burst, ...smallAccounts(ALL)];
    const run = runRoomWorld({ ...WORLD, accounts, seed: 3, warmUpMs: 30_000, retries: false });
    for (const name of ['large', 'small-1']) {
      const { asked = 0, served = 0, refused = 1 } = run.accounts.get(name) ?? {};
      assert.equal(refused, 0, name);
      assert.ok(served >= asked - 5, name);
    }
  });

  // Guards against a collapse while the view of the fleet is lost: for 5 s at all, or at one for good.
  const faults: { name: string; isCut: NonNullable<WorldShape['isCut']> }[] = [
    { name: 'the collector is silent for 5 s', isCut: (_, now) => now > 20_000 && now < 25_000 },
    { name: 'one instance never reaches it', isCut: (instance) => instance === 2 },
    { name: 'instances lose it in turns', isCut: (i, now) => Math.floor(now / 4_000) % 4 === i },
  ];
  for (const { name, isCut } of faults) {
    test(`small accounts keep nine tenths while ${name}`, () => {
      const accounts = [{ name: 'large', perSecond: 90, at: ALL }, ...smallAccounts(ALL)];
      const run = runRoomWorld({ ...WORLD, accounts, seed: 5, isCut });
      for (const [account, { asked, served }] of run.accounts) {
        if (account !== 'large')
          assert.ok(served >= 0.9 * asked, `${account}: ${String(served / asked)}`);
      }
      assert.ok(run.used >= 0.75, String(run.used));
    });
  }
});

/** Refuses all requests of an account above the level, instead of a part of them. */
class AllOrNothing extends AccountRoomSharing {
  override admit(request: RoomRequest, now: number): Refusal | undefined {
    const refusal = super.admit(request, now);
    const [state] = this.states(now);
    const isAbove = state?.limited.some((each) => each.startsWith(`${request.account ?? ''} `));
    const refused = {
      reason: 'overloaded',
      run: 'not-run',
      detail: '',
      retryAfterMs: 100,
    } as const;
    return isAbove === true ? refused : refusal;
  }
}

describe('the rule that none is served less than a quarter as often as all', () => {
  const instances = fc.uniqueArray(fc.integer({ min: 0, max: 3 }), { minLength: 1, maxLength: 4 });
  const account = fc.record({
    perSecond: fc.integer({ min: 5, max: 120 }),
    at: instances,
    from: fc.constantFrom(0, 0, 4_000),
    importance: fc.constantFrom('first' as const, 'standard' as const, 'background' as const),
  });
  const shape = fc.record({
    accounts: fc.array(account, { minLength: 2, maxLength: 6 }),
    seed: fc.integer({ min: 1, max: 1_000 }),
    cut: fc.record({
      instance: fc.integer({ min: 0, max: 3 }),
      from: fc.integer({ min: 0, max: 10_000 }),
    }),
  });

  function check(create?: (parts: AccountRoomSharingParts) => AccountRoomSharing): void {
    fc.assert(
      fc.property(shape, ({ accounts, seed, cut }) => {
        const named = accounts.map((each, i) => ({ ...each, name: `account-${String(i)}` }));
        const run = runRoomWorld({
          ...WORLD,
          durationMs: 20_000,
          accounts: named,
          seed,
          isCut: (i, now) => i === cut.instance && now >= cut.from && now < cut.from + 5_000,
          ...(create ? { create } : {}),
        });
        const results = [...run.accounts.values()];
        const asked = results.reduce((sum, each) => sum + each.asked, 0);
        const served = results.reduce((sum, each) => sum + each.served, 0);
        for (const [name, each] of run.accounts) {
          const least = (0.25 * served) / asked;
          assert.ok(each.served / each.asked >= least, `${name} of ${JSON.stringify(named)}`);
        }
      }),
      { seed: 62, numRuns: 25, endOnFailure: true },
    );
  }

  // Guards against starvation for any demand, arrival, join of an account and cut of an instance.
  test('holds for any demands, arrivals and cuts', () => {
    check();
  });

  // Guards against a property that no fault can break.
  test('fails for an admission that refuses all requests of an account above the level', () => {
    assert.throws(() => {
      check((parts) => new AllOrNothing(parts));
    });
  });
});
