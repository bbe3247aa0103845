import type { Reservation } from '@flamingocourse/router';
import type { TestRouter } from './fixtures/moneyFleet.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { Backends, HmacTicketCodec, RequestRunner } from '@flamingocourse/router';
import { Result } from 'true-myth';
import { KIRK, MoneyWorld, until } from './fixtures/moneyFleet.js';

const KEY = 'key';
const BODY = 'body';

/** Backend servers that refuse a request once the test calls `refuse`. */
class RefusingBackends extends Backends {
  override readonly dependsOn = [];
  #refuse: () => void = () => undefined;
  readonly #refused = new Promise<void>((resolve) => (this.#refuse = resolve));

  override start(): void {
    // No background work.
  }
  override stop(): void {
    this.refuse();
  }
  override async place(): ReturnType<Backends['place']> {
    await this.#refused;
    return Result.err({ reason: 'no-backend-server', run: 'not-run', detail: 'none in reach' });
  }
  override mayRetry(): boolean {
    return false;
  }
  refuse(): void {
    this.#refuse();
  }
}

/** Creates an idempotent request with an idempotency key. */
function keyedRequest(): Parameters<RequestRunner['handle']>[0] {
  return {
    type: 'chat',
    account: { kind: 'ClientAccount', name: KIRK, apiKeyDigests: [], openingTokens: 0 },
    service: {
      kind: 'Service',
      name: 'llm',
      type: 'model',
      discovery: { instanceList: 'llm' },
      models: ['chat'],
      checksFencing: false,
      tokensPerCall: 0,
      concurrencyPerServer: 2,
    },
    workClass: {
      kind: 'WorkClass',
      name: 'drafts',
      service: 'llm',
      target: { firstTokenMs: 500, completeMs: 5_000 },
      budgetShare: 1,
      importance: 'first',
      idempotent: true,
      maxOutputTokens: 60,
    },
    identity: { type: 'key', keyDigest: KEY },
    bodyDigest: BODY,
    idempotent: true,
    receivedAt: Date.now(),
    deadline: Date.now() + 20_000,
    forwarded: false,
    body: { model: 'chat', messages: [{ role: 'user', content: 'beds?' }] },
    stream: false,
    includeUsage: false,
    maxTokens: 60,
  };
}

/** Registers a request runner at a router. */
function addRunner(router: TestRouter, backends: Backends): RequestRunner {
  const tickets = new HmacTicketCodec('a secret of the tests');
  const runner = new RequestRunner(router.context, tickets);
  router.kernel.register(backends).register(runner);
  return runner;
}

async function reserve(router: TestRouter): Promise<Reservation> {
  const asked = {
    account: KIRK,
    workClass: 'drafts',
    importance: 'first' as const,
    budgetShare: 1,
    amount: 200,
    deadline: Date.now() + 5_000,
  };
  const reserved = await router.money.reserve(asked);
  return reserved.unwrapOrElse((refusal) => assert.fail(refusal.reason));
}

/** Bills a request with the same key while the platform is out and the key cannot be claimed. */
async function billProvisionally(
  world: MoneyWorld,
  router: TestRouter,
  reservation: Reservation,
): Promise<void> {
  world.store.fault = 'out';
  const ticket = router.money.nextTicket();
  assert.equal((await router.money.claim(KEY, BODY, ticket)).type, 'unreachable');
  const details = { service: 'llm', cost: 80, promptTokens: 30, completionTokens: 50 };
  const unclaimed = { ...details, keyDigest: KEY, unclaimed: BODY };
  assert.ok((await router.money.bill(reservation, ticket, unclaimed)).isOk);
}

describe('a provisionally billed request is billed once claims can be read again', () => {
  // Guards against a provisional bill that waits until another router ends, because that router
  // claimed the key for a request that it then refused.
  const cases = [
    { name: 'refused by the owner of its key', isIsolated: false },
    { name: 'refused by the owner of its key during a partition', isIsolated: true },
  ];
  for (const { name, isIsolated } of cases) {
    test(name, async () => {
      const world = new MoneyWorld(10_000);
      const [owner, other] = [world.add('router-1'), world.add('router-2')];
      world.add('router-3');
      const backends = new RefusingBackends();
      const runner = addRunner(owner, backends);
      await world.start();
      try {
        const handling = await runner.handle(keyedRequest());
        assert.ok(handling.type === 'answer');
        await until(() => world.claim(KEY) !== undefined);
        const reservation = await reserve(other);
        owner.isolated = isIsolated;
        backends.refuse();
        await until(() => handling.execution.answer.end !== undefined);
        await billProvisionally(world, other, reservation);
        world.store.fault = 'none';
        owner.isolated = false;
        await until(() => world.journal().accounts[KIRK]?.spent === 80, 8_000);
        await until(() => world.journal().provisional?.length === 0);
        assert.equal(world.journal().bills.length, 1);
        assert.equal(world.journal().bills[0]?.unclaimed, undefined);
      } finally {
        await world.stop();
      }
    });
  }
});
