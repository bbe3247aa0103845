import type { BackendServer } from '@flamingocourse/core';
import type { Placement } from '@flamingocourse/router';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  AdmissionQueue,
  PowerOfTwoChooser,
  SendRules,
  ServerNotices,
  ServerPool,
  ServerRateLimits,
} from '@flamingocourse/core';
import { BackgroundWork, ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { CrashCheck, QuarantineRegister, ServiceLane } from '@flamingocourse/router';

const server: BackendServer = {
  id: 's1',
  service: 'ledger',
  dataCentre: 'dc-a',
  url: 'http://s1',
  state: 'live',
};

/** Crash check with a fixed result that counts its calls. */
class FixedCrashCheck extends CrashCheck {
  calls = 0;
  readonly #ended: boolean;

  constructor(ended: boolean) {
    super();
    this.#ended = ended;
  }

  override hasEnded(): Promise<boolean> {
    this.calls += 1;
    return Promise.resolve(this.#ended);
  }
}

class LaneFixture {
  readonly clock = new ManualClock(1_000);
  readonly log = new MemoryEventLog();
  readonly check: FixedCrashCheck;
  readonly register: QuarantineRegister;
  readonly lane: ServiceLane;

  constructor(ended: boolean) {
    this.check = new FixedCrashCheck(ended);
    const notices = new ServerNotices(new ServerRateLimits(() => 0.5), () => 0);
    const pool = new ServerPool({
      dataCentre: 'dc-a',
      concurrencyPerServer: 8,
      limitKind: 'fixed',
      rules: new SendRules(notices),
    });
    pool.applyList([server], 0);
    const exchange = { publish: () => undefined, onUpdate: () => undefined };
    this.register = new QuarantineRegister(this.clock, this.log, exchange);
    this.lane = new ServiceLane({
      pool,
      queue: new AdmissionQueue({ maxSize: 64 }),
      chooser: new PowerOfTwoChooser(),
      quarantine: this.register,
      crashCheck: this.check,
      clock: this.clock,
      background: new BackgroundWork(),
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

  async send(fingerprint: string): Promise<Placement> {
    const placement = await this.place(fingerprint);
    placement.recordSent();
    return placement;
  }
}

// A server sends no response headers before it has done some work. Guards against missing a request
// that crashes its server before any headers arrive.
test('requests whose connections fail in a server crash become suspects, each once', async () => {
  const world = new LaneFixture(true);
  const [first, second, third] = await Promise.all(['a', 'b', 'c'].map((f) => world.send(f)));
  first?.end('broken');
  second?.end('broken');
  await Promise.resolve();
  third?.end('broken');
  await Promise.resolve();
  const verdicts = ['a', 'b', 'c'].map((fingerprint) => world.register.judge(fingerprint));
  assert.deepEqual(verdicts, ['suspect', 'suspect', 'suspect']);
  assert.equal(world.check.calls, 1);
  const crashes = world.log.events.filter(({ event }) => event === 'backend-crashed');
  assert.deepEqual(
    crashes.map(({ fields }) => fields.inFlight),
    [3],
  );
});

// Guards against refusing a request for crashes of servers that had ended before it could be sent there.
test('a request that was placed at a crashed server but never sent stays clear', async () => {
  const world = new LaneFixture(true);
  const sent = await world.send('a');
  const unsent = await world.place('b');
  sent.end('broken');
  await Promise.resolve();
  unsent.end('unreachable');
  await Promise.resolve();
  const verdicts = ['a', 'b'].map((fingerprint) => world.register.judge(fingerprint));
  assert.deepEqual(verdicts, ['suspect', 'clear']);
  const crashes = world.log.events.filter(({ event }) => event === 'backend-crashed');
  assert.deepEqual(
    crashes.map(({ fields }) => fields.inFlight),
    [1],
  );
});

// Guards against a reset connection that makes suspects of all requests at a server that is
// running.
test('requests at a server that only lost connections stay clear', async () => {
  const world = new LaneFixture(false);
  const [first] = await Promise.all(['a', 'b'].map((f) => world.send(f)));
  first?.end('broken');
  await Promise.resolve();
  assert.deepEqual(
    ['a', 'b'].map((fingerprint) => world.register.judge(fingerprint)),
    ['clear', 'clear'],
  );
});
