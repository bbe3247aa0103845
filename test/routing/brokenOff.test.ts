import type { BackendServer } from '@flamingocourse/core';
import type { Placement } from '@flamingocourse/router';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  AdmissionQueue,
  PowerOfTwoChooser,
  ServerNotices,
  ServerPool,
  ServerRateLimits,
} from '@flamingocourse/core';
import { ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { CrashCheck, QuarantineRegister, ServiceLane } from '@flamingocourse/router';

const server: BackendServer = {
  id: 's1',
  service: 'ledger',
  dataCentre: 'dc-a',
  url: 'http://s1',
  state: 'live',
};

/** Says that a server has ended or not, and counts the questions. */
class KnownEnd extends CrashCheck {
  asked = 0;
  readonly #ended: boolean;

  constructor(ended: boolean) {
    super();
    this.#ended = ended;
  }

  override hasEnded(): Promise<boolean> {
    this.asked += 1;
    return Promise.resolve(this.#ended);
  }
}

class World {
  readonly clock = new ManualClock(1_000);
  readonly log = new MemoryEventLog();
  readonly check: KnownEnd;
  readonly register: QuarantineRegister;
  readonly lane: ServiceLane;

  constructor(ended: boolean) {
    this.check = new KnownEnd(ended);
    const notices = new ServerNotices(new ServerRateLimits(() => 0.5), () => 0);
    const pool = new ServerPool({
      dataCentre: 'dc-a',
      concurrencyPerServer: 8,
      limitKind: 'fixed',
      notices,
    });
    pool.applyList([server], 0);
    const exchange = { publish: () => undefined, onNews: () => undefined };
    this.register = new QuarantineRegister(this.clock, this.log, exchange);
    this.lane = new ServiceLane({
      pool,
      queue: new AdmissionQueue({ maxSize: 64 }),
      chooser: new PowerOfTwoChooser(),
      quarantine: this.register,
      crashCheck: this.check,
      clock: this.clock,
      random: () => 0.5,
      runsSuspectsAlone: false,
    });
  }

  async place(fingerprint: string): Promise<Placement> {
    const placed = await this.lane.place({
      service: 'ledger',
      workClass: 'book',
      importance: 'standard',
      deadline: 9_000,
      tried: [],
      fingerprint,
      signal: new AbortController().signal,
    });
    if (placed.isErr) throw new Error(placed.error.reason);
    return placed.value;
  }
}

// A server that has not worked yet sends no head, so a request that ends it is never found out.
test('requests whose connections end with their server are suspects, each once', async () => {
  const world = new World(true);
  const [first, second, third] = await Promise.all(['a', 'b', 'c'].map((f) => world.place(f)));
  first?.end('broken');
  second?.end('broken');
  await Promise.resolve();
  third?.end('broken');
  await Promise.resolve();
  const verdicts = ['a', 'b', 'c'].map((fingerprint) => world.register.judge(fingerprint));
  assert.deepEqual(verdicts, ['suspect', 'suspect', 'suspect']);
  assert.equal(world.check.asked, 1);
  const crashes = world.log.events.filter(({ event }) => event === 'backend-crashed');
  assert.deepEqual(
    crashes.map(({ fields }) => fields.inFlight),
    [3],
  );
});

// A reset connection makes suspects of all requests at a server that lives.
test('requests of a server that only lost connections stay clear', async () => {
  const world = new World(false);
  const [first] = await Promise.all(['a', 'b'].map((f) => world.place(f)));
  first?.end('broken');
  await Promise.resolve();
  assert.deepEqual(
    ['a', 'b'].map((fingerprint) => world.register.judge(fingerprint)),
    ['clear', 'clear'],
  );
});
