import type { BillSegment, JournalState } from '@flamingocourse/core';
import type { StoreFault } from './fixtures/memoryStore.js';
import type { TestRouter } from './fixtures/moneyFleet.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkInvariant, checkLedgerInvariant } from '@flamingocourse/core';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { KIRK, MoneyWorld, until } from './fixtures/moneyFleet.js';

const LIMIT = 40_000;
const FAULT_TIME_MS = 2_500;
const CLIENTS = 12;

for (const seed of [1, 2, 3]) {
  test(`random partitions, outages and lost replies: every kept bill is stored once, no overspend (seed ${seed})`, async (t) => {
    // Guards against accounts charged twice, answers not billed and overspending when routers are cut off and the store fails.
    const world = new MoneyWorld(LIMIT, 'avoid-false-refusals');
    for (const name of ['router-1', 'router-2', 'router-3']) world.add(name);
    world.add('router-4', 'dc-b');
    t.after(() => world.stop());
    await world.start();
    const random = xoroshiro128plus(seed);
    const pick = (most: number): number => uniformInt(random, 0, most);
    const kept = new Set<string>();
    const end = Date.now() + FAULT_TIME_MS;
    const clients = Array.from({ length: CLIENTS }, async () => {
      while (Date.now() < end) await runOne(world.routers[pick(3)] ?? assert.fail(), pick, kept);
    });
    while (Date.now() < end) {
      await pause(30 + pick(90));
      const router = world.routers[pick(3)] ?? assert.fail();
      router.isolated = !router.isolated && pick(2) === 0;
      const faults: StoreFault[] = ['none', 'none', 'out', 'reply-lost', 'reply-lost'];
      world.store.fault = faults[pick(4)] ?? 'none';
    }
    world.store.fault = 'none';
    for (const router of world.routers) router.isolated = false;
    await Promise.all(clients);
    await until(() => world.routers.every((router) => router.money.ready));
    await until(() => isSettled(world) && missingBills(world, kept).length === 0);
    checkWorld(world, kept);
    await world.stop();
    checkWorld(world, kept);
  });
}

async function runOne(
  router: TestRouter,
  pick: (most: number) => number,
  kept: Set<string>,
): Promise<void> {
  const who = { account: KIRK, workClass: 'drafts', importance: 'first' as const, budgetShare: 1 };
  const amount = 50 + pick(300);
  const result = await router.money.reserve({ ...who, amount, deadline: Date.now() + 100 });
  if (result.isErr) return pause(10);
  await pause(pick(20));
  const ticket = router.money.nextTicket();
  const use = { service: 'llm', cost: pick(amount), promptTokens: 0, completionTokens: 0 };
  const billed = await router.money.bill(result.value, ticket, use);
  if (billed.isOk) kept.add(`${ticket.issuer}#${ticket.number}`);
}

/** Whether every holder is open if its router uses it, and sealed otherwise. */
function isSettled(world: MoneyWorld): boolean {
  const live = new Set(world.routers.map((router) => router.incarnation));
  return journalsOf(world).every((journal) =>
    Object.entries(journal.holders).every(([id, holder]) =>
      live.has(id) ? holder.state === 'open' : holder.state === 'sealed',
    ),
  );
}

function checkWorld(world: MoneyWorld, kept: Set<string>): void {
  for (const journal of journalsOf(world)) assert.equal(checkInvariant(journal), undefined);
  assert.equal(checkLedgerInvariant(world.ledger()), undefined);
  const spent = journalsOf(world).reduce((sum, one) => sum + (one.accounts[KIRK]?.spent ?? 0), 0);
  assert.ok(spent <= LIMIT, `${spent} spent of ${LIMIT}`);
  const billed = billedTickets(world);
  assert.equal(new Set(billed).size, billed.length);
  assert.ok(kept.size > 0, 'no bill was kept');
  assert.deepEqual(missingBills(world, kept), []);
}

/**
 * Returns the kept bills that are not in a journal. A kept bill may still be in the memory of a
 * witness and reach the journal shortly after.
 */
function missingBills(world: MoneyWorld, kept: Set<string>): string[] {
  const billed = new Set(billedTickets(world));
  return [...kept].filter((ticket) => !billed.has(ticket));
}

function billedTickets(world: MoneyWorld): string[] {
  return journalsOf(world).flatMap((journal) => {
    const segments = Array.from({ length: journal.segment }, (_, number) => {
      return world.store.peek('segments', `${journal.dataCentre}-${number}`) as BillSegment;
    });
    const bills = [...segments.flatMap((segment) => segment.bills), ...journal.bills];
    return bills.map((bill) => `${bill.holder}#${bill.ticket}`);
  });
}

function journalsOf(world: MoneyWorld): JournalState[] {
  return [world.journal('dc-a'), world.journal('dc-b')];
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
