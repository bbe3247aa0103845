import type { Refusal } from '@flamingocourse/core';
import type { Reservation } from '@flamingocourse/router';
import type { TestRouter } from './fixtures/moneyFleet.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { inDoubt } from '@flamingocourse/core';
import { KIRK, MoneyWorld, until } from './fixtures/moneyFleet.js';

const details = { service: 'llm', cost: 80, promptTokens: 30, completionTokens: 50 };

/** Starts routers of one data centre, runs a test body against them and stops them. */
async function withRouters(
  count: number,
  tokens: number,
  body: (world: MoneyWorld, routers: TestRouter[]) => Promise<void>,
): Promise<void> {
  const world = new MoneyWorld(tokens);
  const routers = Array.from({ length: count }, (_, index) => world.add(`router-${index + 1}`));
  await world.start();
  try {
    await body(world, routers);
    for (const router of routers) assert.deepEqual(router.failures, []);
  } finally {
    await world.stop();
  }
}

function requestOf(amount: number, budgetShare = 1) {
  const who = { account: KIRK, workClass: 'drafts', importance: 'first' as const };
  return { ...who, budgetShare, amount, deadline: Date.now() + 5_000 };
}

async function reserve(router: TestRouter, amount: number): Promise<Reservation> {
  const result = await router.money.reserve(requestOf(amount));
  return result.unwrapOrElse((refusal) => assert.fail(refusal.reason));
}

async function refusalOf(router: TestRouter, amount: number, share = 1): Promise<Refusal> {
  const result = await router.money.reserve(requestOf(amount, share));
  return result.isErr ? result.error : assert.fail('was reserved');
}

test('a request is reserved and billed, and its cost is copied to the ledger', async () => {
  await withRouters(2, 10_000, async (world, routers) => {
    for (const router of routers) {
      const reservation = await reserve(router, 200);
      const billed = await router.money.bill(reservation, router.money.nextTicket(), details);
      assert.equal(billed.isOk, true);
    }
    // A kept bill may be at a witness for a short time before it is in the journal.
    await until(() => world.journal().accounts[KIRK]?.spent === 160);
    await until(() => world.ledger().accounts[KIRK]?.shares['dc-a']?.spent === 160);
  });
});

test('many requests at two routers never spend beyond the budget and use nearly all of it', async () => {
  await withRouters(2, 2_000, async (world, routers) => {
    let refused = 0;
    const one = async (router: TestRouter): Promise<void> => {
      const result = await router.money.reserve(requestOf(100));
      if (result.isErr) refused += 1;
      else await router.money.bill(result.value, router.money.nextTicket(), { ...details, cost: 100 }); // prettier-ignore
    };
    await Promise.all(Array.from({ length: 30 }, (_, index) => one(routers[index % 2] ?? assert.fail()))); // prettier-ignore
    assert.equal(world.journal().accounts[KIRK]?.spent, 2_000);
    assert.equal(refused, 10);
  });
});

test('a refusal contains the reason and a retry time', async () => {
  await withRouters(1, 1_000, async (world, [router]) => {
    assert.ok(router);
    const exhausted = await refusalOf(router, 1_001);
    assert.equal(exhausted.reason, 'budget-exhausted');
    assert.ok(exhausted.retryAfterMs);
    assert.equal((await refusalOf(router, 200, 0.1)).reason, 'class-share-exhausted');
    world.store.fault = 'out';
    await until(() => !router.money.ready);
    assert.equal((await refusalOf(router, 10)).reason, 'budget-unreachable');
  });
});

test('a bill whose write is repeated after a lost reply is charged once', async () => {
  // Guards against a request that is billed twice: the platform stores the bill, but its reply is
  // lost.
  await withRouters(1, 10_000, async (world, [router]) => {
    assert.ok(router);
    const reservation = await reserve(router, 200);
    world.store.fault = 'reply-lost';
    const billed = await router.money.bill(reservation, router.money.nextTicket(), details);
    assert.equal(billed.isOk, true);
    assert.equal(world.journal().accounts[KIRK]?.spent, 80);
  });
});

test('a bill made during an outage is stored by a witness and replayed to the journal afterwards', async () => {
  // Guards against an answer that is billed twice or not at all: the platform is unreachable, a
  // peer stores the line, and both the holder and the peer replay it afterwards.
  await withRouters(2, 10_000, async (world, routers) => {
    const router = routers[1] ?? assert.fail();
    const witnesses = (): string[] => world.journal().holders[router.incarnation]?.witnesses ?? [];
    await until(() => witnesses().length === 1);
    const reservation = await reserve(router, 200);
    world.store.fault = 'out';
    const billed = await router.money.bill(reservation, router.money.nextTicket(), details);
    assert.equal(billed.isOk, true);
    assert.equal(world.journal().bills.length, 0);
    world.store.fault = 'none';
    await until(() => world.journal().accounts[KIRK]?.spent === 80);
    assert.equal(world.journal().bills.length, 1);
  });
});

/** Steps of one request. Router A is isolated after the named step, and router B seals it. */
const isolations = [
  { after: 'reserve', platform: 'none', billed: 0, found: 'not-run' },
  { after: 'intent', platform: 'none', billed: 0, found: 'started' },
  { after: 'bill', platform: 'none', billed: 80, found: 'billed' },
  { after: 'bill', platform: 'out', billed: 80, found: 'billed' },
] as const;

for (const { after, platform, billed, found } of isolations) {
  test(`A is isolated after ${after} (store fault: ${platform}), and B seals it: ${found}`, async () => {
    // Guards against a request that runs twice, and lost tokens, when a sealed router reconnects and bills.
    await withRouters(2, 1_000, async (world, [a, b]) => {
      assert.ok(a && b);
      await until(() => world.journal().holders[a.incarnation]?.witnesses.length === 1);
      const old = a.incarnation;
      const reservation = await reserve(a, 200);
      const late = await reserve(a, 100);
      const ticket = a.money.nextTicket();
      if (after !== 'reserve') await a.money.recordIntent(ticket);
      world.store.fault = platform;
      if (after === 'bill') {
        assert.equal((await a.money.bill(reservation, ticket, details)).isOk, true);
      }
      a.isolated = true;
      world.store.fault = 'none';
      await until(() => world.journal().holders[old]?.state === 'sealed');
      assert.equal((await b.money.resolveTicket(ticket)).type, found);
      assert.equal(world.journal().accounts[KIRK]?.spent, billed);
      // B can spend all tokens except those billed.
      b.money.release(await reserve(b, 1_000 - billed));
      const stale = a.money.bill(late, a.money.nextTicket(), details);
      a.isolated = false;
      const answer = await stale;
      assert.equal(answer.isErr && answer.error.reason, 'outcome-unknown');
      assert.equal(world.journal().accounts[KIRK]?.spent, billed);
      await until(() => a.money.ready && a.incarnation !== old);
    });
  });
}

test('a kept answer is found by another router after its issuer has failed', async () => {
  await withRouters(2, 1_000, async (world, [a, b]) => {
    assert.ok(a && b);
    const ticket = a.money.nextTicket();
    const kept = { status: 201, contentType: 'application/json', body: 'e30=', at: 1 };
    const outcome = { holder: ticket.issuer, ticket: ticket.number, ...kept };
    await a.money.bill(await reserve(a, 100), ticket, details, outcome);
    assert.equal((await b.money.resolveTicket(ticket)).type, 'elsewhere');
    // A kept answer may be at a witness for a short time before it is in the journal.
    await until(() => world.journal().accounts[KIRK]?.spent === 80);
    a.isolated = true;
    assert.deepEqual(await b.money.resolveTicket(ticket), { type: 'answered', outcome });
    a.isolated = false;
  });
});

test('a failed router stays in doubt until all its witnesses answer, and is then sealed', async () => {
  // Guards against an answer that is not billed: only C stores the bill of A, and A and C fail
  // together. B must not free the slice of A before C has returned its lines.
  await withRouters(3, 3_000, async (world, [a, b, c]) => {
    assert.ok(a && b && c);
    const old = a.incarnation;
    await until(() => world.journal().holders[old]?.witnesses.length === 2);
    const reservation = await reserve(a, 400);
    world.store.fault = 'out';
    b.isolated = true;
    const billed = await a.money.bill(reservation, a.money.nextTicket(), details);
    assert.equal(billed.isOk, true);
    a.isolated = true;
    c.isolated = true;
    b.isolated = false;
    world.store.fault = 'none';
    await until(() => b.log.events.some((entry) => entry.event === 'holder-in-doubt'));
    assert.equal(world.journal().holders[old]?.state, 'sealing');
    assert.ok(inDoubt(world.journal(), KIRK) >= 400);
    c.isolated = false;
    await until(() => world.journal().holders[old]?.state === 'sealed');
    assert.equal(world.journal().accounts[KIRK]?.spent, 80);
    assert.equal(inDoubt(world.journal(), KIRK), 0);
    a.isolated = false;
  });
});

test('a running router that a peer began to seal finishes its own sealing without its failed witness', async () => {
  // Guards against tokens that stay in doubt although their holder is running: the holder was
  // paused, a peer began to seal it, and one of its witnesses failed in the meantime.
  await withRouters(3, 10_000, async (world, [a, b, c]) => {
    assert.ok(a && b && c);
    const { incarnation } = a;
    await until(() => world.journal().holders[incarnation]?.witnesses.length === 2);
    await reserve(a, 500);
    c.isolated = true;
    a.isolated = true;
    await until(() => world.journal().holders[incarnation]?.state === 'sealing');
    assert.ok(inDoubt(world.journal(), KIRK) > 0);
    a.isolated = false;
    await until(() => world.journal().holders[incarnation]?.state === 'sealed');
    c.isolated = false;
  });
});

test('unused tokens of another data centre are recalled before a request is refused', async () => {
  const world = new MoneyWorld(1_000, 'avoid-false-refusals');
  const a = world.add('router-1');
  const b = world.add('router-2', 'dc-b');
  await world.start();
  try {
    a.money.release(await reserve(a, 600));
    const result = await reserve(b, 900);
    assert.equal(result.amount, 900);
    assert.equal((await refusalOf(a, 200)).reason, 'budget-exhausted');
  } finally {
    await world.stop();
  }
});

test('data centres that need tokens at the same time get them from the ledger, not from each other', async () => {
  // Guards against refusals while the ledger has enough tokens: two data centres are short at the
  // same time, each recalls tokens from the other, and both pause their refills in favour of the
  // other.
  const world = new MoneyWorld(200_000_000, 'avoid-false-refusals');
  // Guards against refusals while the ledger has enough tokens, as two data centres wait for each other's refill.
  for (const name of ['a-1', 'a-2', 'b-1', 'b-2']) world.add(`router-${name}`, `dc-${name[0]}`);
  await world.start();
  let refused = 0;
  const end = Date.now() + 1_500;
  const call = async (router: TestRouter): Promise<void> => {
    while (Date.now() < end) {
      const result = await router.money.reserve(requestOf(800));
      await new Promise((resolve) => setTimeout(resolve, 20));
      if (result.isErr) refused += 1;
      else await router.money.bill(result.value, router.money.nextTicket(), { ...details, cost: 500 }); // prettier-ignore
    }
  };
  try {
    await Promise.all(world.routers.flatMap((router) => Array.from({ length: 4 }, () => call(router)))); // prettier-ignore
    assert.equal(refused, 0);
    const shares = Object.values(world.ledger().accounts[KIRK]?.shares ?? {});
    assert.deepEqual(
      shares.map(({ returnedOut }) => returnedOut),
      [0, 0],
    );
  } finally {
    await world.stop();
  }
});

test('a graceful stop returns all tokens and closes the holder', async () => {
  await withRouters(2, 1_000, async (world, [a, b]) => {
    assert.ok(a && b);
    a.money.release(await reserve(a, 400));
    await a.kernel.stop();
    const closed = world.journal().holders[a.incarnation];
    assert.deepEqual([closed?.state, closed?.slices], ['closed', {}]);
    a.isolated = true;
    b.money.release(await reserve(b, 1_000));
  });
});

test('two routers that claim one key get the same owner, also when a reply is lost', async () => {
  await withRouters(2, 1_000, async (world, [a, b]) => {
    assert.ok(a && b);
    const ticket = a.money.nextTicket();
    world.store.fault = 'reply-lost';
    assert.equal((await a.money.claim('key', 'body', ticket)).type, 'own');
    const second = await b.money.claim('key', 'body', b.money.nextTicket());
    assert.deepEqual(second, { type: 'other', ticket });
    assert.equal((await b.money.claim('key', 'else', ticket)).type, 'other-body');
    const next = b.money.nextTicket();
    assert.equal((await b.money.takeOverClaim('key', ticket, next)).type, 'own');
  });
});

// Guards against two bills for one idempotency key: two routers answer the key during an outage,
// because neither can read the claim. After the outage only one of the two answers is billed.
for (const died of [false, true]) {
  const when = died
    ? 'also when one of them failed in the meantime'
    : 'once claims can be read again';
  test(`a key answered by two routers during an outage is billed once, ${when}`, async () => {
    await withRouters(2, 10_000, async (world, routers) => {
      const reserved: Reservation[] = [];
      for (const router of routers) reserved.push(await reserve(router, 200));
      world.store.fault = 'out';
      await until(() => routers.every((router) => router.money.ready));
      for (const [index, router] of routers.entries()) {
        const ticket = router.money.nextTicket();
        assert.equal((await router.money.claim('key', 'body', ticket)).type, 'unreachable');
        const reservation = reserved[index] ?? assert.fail();
        const unclaimed = { ...details, keyDigest: 'key', unclaimed: 'body' };
        assert.equal((await router.money.bill(reservation, ticket, unclaimed)).isOk, true);
      }
      const [first] = routers;
      if (died && first) first.isolated = true;
      world.store.fault = 'none';
      await until(() => world.journal().accounts[KIRK]?.spent === 80);
      await until(() => world.journal().provisional?.length === 0);
      assert.equal(world.journal().bills.length, 1);
      assert.equal(world.journal().bills[0]?.unclaimed, undefined);
      if (died && first) first.isolated = false;
    });
  });
}
