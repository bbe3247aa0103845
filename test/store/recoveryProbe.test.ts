import type { WatchEndReason } from '@flamingocourse/store';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ObjectApiDialect } from '@flamingocourse/store';
import { RecoveryProbe } from '../../packages/store/src/node/recoveryProbe.js';
import { connect, notes, startStandIn, until } from './fixtures.js';

describe('a probe for the recovery of the store', () => {
  const start = (): { probe: RecoveryProbe; sent: () => number } => {
    let sent = 0;
    const send = (): void => {
      sent += 1;
    };
    return { probe: new RecoveryProbe({ send, random: () => 0.5 }), sent: () => sent };
  };

  test('is sent immediately and then every quarter of a second until the store answers', (t) => {
    t.mock.timers.enable({ apis: ['setTimeout'] });
    const { probe, sent } = start();
    probe.recordFailure();
    probe.recordFailure();
    assert.equal(sent(), 1);
    for (let n = 0; n < 4; n += 1) t.mock.timers.tick(250);
    assert.equal(sent(), 5);
    probe.recordAnswer();
    t.mock.timers.tick(1_000);
    assert.equal(sent(), 5);
  });

  const outageCases = [
    { name: 'nothing failed', failed: false, afterMs: 0, wasUnreachable: false },
    { name: 'the first probe is answered', failed: true, afterMs: 249, wasUnreachable: false },
    { name: 'the first is not answered', failed: true, afterMs: 250, wasUnreachable: true },
  ];
  for (const { name, failed, afterMs, wasUnreachable } of outageCases) {
    test(`reports ${wasUnreachable ? 'an outage' : 'no outage'} when ${name}`, (t) => {
      t.mock.timers.enable({ apis: ['setTimeout'] });
      const { probe } = start();
      if (failed) probe.recordFailure();
      t.mock.timers.tick(afterMs);
      assert.equal(probe.recordAnswer(), wasUnreachable);
      assert.equal(probe.recordAnswer(), false);
    });
  }
});

// Guards against a watch that stays in its back-off after the store has recovered. A new key or the
// removal of a server would then stay unknown for seconds.
describe('the recovery of the store', () => {
  for (const outage of ['refuse', 'silent'] as const) {
    test(`wakes a watch that backs off (${outage})`, async (t) => {
      const platform = await startStandIn(t, { bookmarkMs: 10 });
      const store = connect(t, platform.urls['dc-a'], {
        watchIdleMs: 100,
        timeoutMs: 60,
        random: () => 1,
      });
      const breaks: string[] = [];
      let confirmations = 0;
      store.watch(notes, {
        onEvent: () => undefined,
        onUpToDate: () => (confirmations += 1),
        onBreak: (reason) => breaks.push(reason),
      });
      await until('listed', () => confirmations > 0);
      platform.setFaults('dc-a', { outage });
      // after five consecutive failures the back-off is 1.5 s, counted from the last failure.
      await until('it has failed five times', () => breaks.length >= 5, 20_000);
      platform.setFaults('dc-a', { outage: 'none' });
      assert.ok(store.counters.get.sent > 0, 'probes were sent');
      const before = confirmations;
      await until('another user is answered', () => store.reachable);
      // an open watch gets a bookmark within ten milliseconds; these calls take a few hundred, which
      // is much less than the remaining back-off.
      for (let n = 0; n < 200 && confirmations === before; n += 1) await store.get(notes, 'none');
      assert.ok(confirmations > before, 'the watch was answered in the meantime');
    });
  }
});

/** A dialect whose watch calls all end with an answer that cannot be parsed. */
class UnusableAnswerDialect extends ObjectApiDialect {
  follows = 0;

  override follow(): Promise<WatchEndReason> {
    this.follows += 1;
    return Promise.resolve('broken');
  }
}

// Guards against a watch that floods the store: an unusable answer starts a probe, whose answer wakes the watch again.
test('a watch whose answers are unusable backs off although the store is reachable', async (t) => {
  const platform = await startStandIn(t);
  const dialect = new UnusableAnswerDialect();
  const store = connect(t, platform.urls['dc-a'], { dialect, random: () => 1 });
  store.watch(notes, { from: '1', onEvent: () => undefined });
  await until('probed', () => store.counters.get.sent >= 3);
  // each call is followed by one probe, and each further call waits for its pause of 100, 200 and
  // 400 ms.
  assert.ok(dialect.follows <= store.counters.get.sent + 1);
  const before = dialect.follows;
  for (let n = 0; n < 50; n += 1) await store.get(notes, 'none');
  assert.ok(dialect.follows - before <= 1, `${String(dialect.follows - before)} calls`);
});

test('a client without a watch sends no probe', async (t) => {
  const platform = await startStandIn(t);
  const store = connect(t, platform.urls['dc-a'], { timeoutMs: 60 });
  platform.setFaults('dc-a', { outage: 'refuse' });
  assert.ok((await store.list(notes)).isErr);
  assert.equal(store.counters.get.sent, 0);
});
