import type { NoticeChange, ServerNotice, ServerIncarnation } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ServerNotices, ServerRateLimits } from '@flamingocourse/core';

const INCARNATION: ServerIncarnation = { id: 'p1', bornAt: 100 };
const NEXT_INCARNATION: ServerIncarnation = { id: 'p1', bornAt: 200 };

function notice(change: Partial<ServerNotice> = {}): ServerNotice {
  const none = { type: 'none' } as const;
  const quiet = {
    leaving: false,
    rest: none,
    rateLimit: none,
    brittle: none,
    cold: none,
    rejected: false,
  };
  return { ...quiet, ...change };
}

const LEAVES = notice({ leaving: true });

function pause(ms: number): ServerNotice {
  return notice({ rest: { type: 'rest', ms } });
}

function createNotices(random = 0): ServerNotices {
  return new ServerNotices(new ServerRateLimits(() => 0), () => random);
}

describe('a server that reports that it is leaving', () => {
  test('gets no more requests, regardless of what it reports later', () => {
    const notices = createNotices();
    assert.deepEqual(notices.record(INCARNATION, LEAVES, 0), ['leaving'] satisfies NoticeChange[]);
    assert.deepEqual(notices.record(INCARNATION, notice(), 10), []);
    assert.equal(notices.nextAt(INCARNATION, 1_000_000), Infinity);
  });

  test('counts as a different one after a restart', () => {
    const notices = createNotices();
    notices.record(INCARNATION, LEAVES, 0);
    assert.equal(notices.nextAt(NEXT_INCARNATION, 10), 10);
    notices.record(NEXT_INCARNATION, notice(), 20);
    // a late answer of the earlier incarnation.
    notices.record(INCARNATION, LEAVES, 30);
    assert.equal(notices.nextAt(NEXT_INCARNATION, 40), 40);
  });

  test('is identified by its id alone if its start time is unknown', () => {
    const notices = createNotices();
    notices.record({ id: 'p1' }, LEAVES, 0);
    assert.equal(notices.isLeaving(INCARNATION), true);
  });
});

describe('a server that requests a pause', () => {
  const cases = [
    { name: 'gets no requests during it', ms: 3_000, at: 2_999, next: 3_000 },
    { name: 'gets requests again after it', ms: 3_000, at: 3_000, next: 3_000 },
    { name: 'of zero length gets requests at once', ms: 0, at: 1, next: 1 },
    { name: 'of excessive length gets requests after ten minutes', ms: 1e12, at: 0, next: 600_000 },
  ];
  for (const { name, ms, at, next } of cases) {
    test(name, () => {
      const notices = createNotices();
      notices.record(INCARNATION, pause(ms), 0);
      assert.equal(notices.nextAt(INCARNATION, at), next);
    });
  }

  test('is reported once per pause, and pauses as long as it last requested', () => {
    const notices = createNotices();
    assert.deepEqual(notices.record(INCARNATION, pause(3_000), 0), ['rests']);
    assert.deepEqual(notices.record(INCARNATION, pause(3_000), 1_000), []);
    assert.equal(notices.nextAt(INCARNATION, 1_000), 4_000);
  });

  test('is tested by one request at a time after the pause', () => {
    const notices = createNotices();
    notices.record(INCARNATION, pause(1_000), 0);
    notices.recordSent(INCARNATION, 1_000);
    assert.equal(notices.nextAt(INCARNATION, 1_001), 1_500);
    assert.equal(notices.nextAt(INCARNATION, 1_500), 1_500);
  });

  // Guards against an answer that arrives during the test period and does not end it, so that only
  // one request is sent every half second.
  test('is used normally once the test request is answered', () => {
    const notices = createNotices();
    notices.record(INCARNATION, pause(1_000), 0);
    notices.recordSent(INCARNATION, 1_000);
    assert.deepEqual(notices.record(INCARNATION, notice(), 1_005), ['back']);
    notices.recordSent(INCARNATION, 1_005);
    assert.equal(notices.nextAt(INCARNATION, 1_005), 1_005);
  });

  test('stays in its pause when an earlier request is answered', () => {
    const notices = createNotices();
    notices.record(INCARNATION, pause(1_000), 0);
    assert.deepEqual(notices.record(INCARNATION, notice(), 500), []);
    assert.equal(notices.nextAt(INCARNATION, 500), 1_000);
  });

  // Guards against treating the first request long after a pause as a test, during which all others
  // are refused.
  test('is used normally by an instance that returns long after the pause', () => {
    const notices = createNotices();
    notices.record(INCARNATION, pause(1_000), 0);
    notices.recordSent(INCARNATION, 3_001);
    assert.equal(notices.nextAt(INCARNATION, 3_001), 3_001);
  });

  // Guards against overload after a pause: eighty instances that return at the same moment would
  // make the server shed requests again.
  test('gets its first requests one after another', () => {
    const times = [0, 0.5, 0.99].map((random) => {
      const notices = createNotices(random);
      notices.record(INCARNATION, pause(3_000), 0);
      return notices.nextAt(INCARNATION, 0);
    });
    assert.deepEqual(times, [3_000, 3_375, 3_742.5]);
  });

  test('with an invalid value stays in use', () => {
    const notices = createNotices();
    const unread = notice({ rest: { type: 'invalid', text: 'soon' } });
    assert.deepEqual(notices.record(INCARNATION, unread, 0), ['rest-invalid']);
    assert.equal(notices.nextAt(INCARNATION, 1), 1);
  });
});

test('a reported status is removed when it can no longer apply', () => {
  const notices = createNotices();
  notices.record(INCARNATION, LEAVES, 0);
  notices.retain(new Set(), 599_999);
  assert.equal(notices.counts(599_999).leaving, 1);
  notices.retain(new Set(), 600_000);
  assert.equal(notices.counts(600_000).leaving, 0);
});
