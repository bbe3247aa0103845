import type { NoticeChange, ServerNotice, ServerStart } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ServerNotices, ServerRateLimits } from '@flamingocourse/core';

const START: ServerStart = { id: 'p1', bornAt: 100 };
const NEXT_START: ServerStart = { id: 'p1', bornAt: 200 };

function notice(change: Partial<ServerNotice> = {}): ServerNotice {
  return { leaving: false, rest: { type: 'none' }, rateLimit: { type: 'none' }, ...change };
}

const LEAVES = notice({ leaving: true });

function rests(ms: number): ServerNotice {
  return notice({ rest: { type: 'rest', ms } });
}

function createNotices(random = 0): ServerNotices {
  return new ServerNotices(new ServerRateLimits(() => 0), () => random);
}

describe('a server that says that it leaves', () => {
  test('gets nothing more, whatever it says after', () => {
    const notices = createNotices();
    assert.deepEqual(notices.tell(START, LEAVES, 0), ['leaving'] satisfies NoticeChange[]);
    assert.deepEqual(notices.tell(START, notice(), 10), []);
    assert.equal(notices.nextAt(START, 1_000_000), Infinity);
  });

  test('is another once it was started again', () => {
    const notices = createNotices();
    notices.tell(START, LEAVES, 0);
    assert.equal(notices.nextAt(NEXT_START, 10), 10);
    notices.tell(NEXT_START, notice(), 20);
    // a late answer of the earlier start.
    notices.tell(START, LEAVES, 30);
    assert.equal(notices.nextAt(NEXT_START, 40), 40);
  });

  test('is known by its id alone where its entry tells no time of start', () => {
    const notices = createNotices();
    notices.tell({ id: 'p1' }, LEAVES, 0);
    assert.equal(notices.isLeaving(START), true);
  });
});

describe('a server that asks for rest', () => {
  const cases = [
    { name: 'is left alone for so long', ms: 3_000, at: 2_999, next: 3_000 },
    { name: 'is asked again after it', ms: 3_000, at: 3_000, next: 3_000 },
    { name: 'for no time is asked at once', ms: 0, at: 1, next: 1 },
    { name: 'for ages is asked after ten minutes', ms: 1e12, at: 0, next: 600_000 },
  ];
  for (const { name, ms, at, next } of cases) {
    test(name, () => {
      const notices = createNotices();
      notices.tell(START, rests(ms), 0);
      assert.equal(notices.nextAt(START, at), next);
    });
  }

  test('is told once for a rest, and rests as long as it said last', () => {
    const notices = createNotices();
    assert.deepEqual(notices.tell(START, rests(3_000), 0), ['rests']);
    assert.deepEqual(notices.tell(START, rests(3_000), 1_000), []);
    assert.equal(notices.nextAt(START, 1_000), 4_000);
  });

  test('is found back by one request at a time', () => {
    const notices = createNotices();
    notices.tell(START, rests(1_000), 0);
    notices.sent(START, 1_000);
    assert.equal(notices.nextAt(START, 1_001), 1_500);
    assert.equal(notices.nextAt(START, 1_500), 1_500);
  });

  // its answer came within the time of the single try and did not end it: one request each half second got through.
  test('is used as usual once the request that finds out is answered', () => {
    const notices = createNotices();
    notices.tell(START, rests(1_000), 0);
    notices.sent(START, 1_000);
    assert.deepEqual(notices.tell(START, notice(), 1_005), ['back']);
    notices.sent(START, 1_005);
    assert.equal(notices.nextAt(START, 1_005), 1_005);
  });

  test('rests on when an earlier request is answered', () => {
    const notices = createNotices();
    notices.tell(START, rests(1_000), 0);
    assert.deepEqual(notices.tell(START, notice(), 500), []);
    assert.equal(notices.nextAt(START, 500), 1_000);
  });

  // the first of several requests that come long after a rest had all others refused.
  test('is used as usual by an instance that comes back long after', () => {
    const notices = createNotices();
    notices.tell(START, rests(1_000), 0);
    notices.sent(START, 3_001);
    assert.equal(notices.nextAt(START, 3_001), 3_001);
  });

  // eighty instances that come back in the same moment would have it shed again.
  test('gets its first requests one after the other', () => {
    const times = [0, 0.5, 0.99].map((random) => {
      const notices = createNotices(random);
      notices.tell(START, rests(3_000), 0);
      return notices.nextAt(START, 0);
    });
    assert.deepEqual(times, [3_000, 3_375, 3_742.5]);
  });

  test('in words that cannot be read is used on', () => {
    const notices = createNotices();
    const unread = notice({ rest: { type: 'invalid', text: 'soon' } });
    assert.deepEqual(notices.tell(START, unread, 0), ['rest-invalid']);
    assert.equal(notices.nextAt(START, 1), 1);
  });
});

test('what was said is forgotten when it cannot matter any more', () => {
  const notices = createNotices();
  notices.tell(START, LEAVES, 0);
  notices.retain(new Set(), 599_999);
  assert.equal(notices.counts(599_999).leaving, 1);
  notices.retain(new Set(), 600_000);
  assert.equal(notices.counts(600_000).leaving, 0);
});
