import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { Importance, QueueEntry } from '@flamingocourse/core';
import {
  AdmissionQueue,
  cautiousServiceMs,
  createQueueDiscipline,
  ImportanceReserve,
  recordServiceTime,
} from '@flamingocourse/core';

let nextId = 1;

function entry(importance: Importance, deadline = 100_000): QueueEntry {
  nextId += 1;
  return { id: nextId, importance, deadline };
}

/** Offers and takes at a steady rate, so that the queue has measured its drain rate. */
function warmUp(queue: AdmissionQueue, takes: number, msPerTake: number): number {
  let now = 0;
  for (let i = 0; i < takes + 1; i += 1) queue.offer(entry('first'), now);
  for (let i = 0; i < takes; i += 1) {
    now += msPerTake;
    queue.take(now);
  }
  return now;
}

describe('order', () => {
  test('importance first, then the earliest deadline', () => {
    const queue = new AdmissionQueue({ maxSize: 10 });
    const late = entry('first', 9_000);
    const early = entry('first', 5_000);
    const standard = entry('standard', 2_000);
    for (const waiting of [standard, late, early]) queue.offer(waiting, 0);
    const order = [1, 2, 3].map(() => queue.take(0).entry?.id);
    assert.deepEqual(order, [early.id, late.id, standard.id]);
  });

  // Guards against starvation: requests of the first class arrive faster than they can be served,
  // and background requests wait behind them until the overload ends.
  test('background work is served at its minimum share under lasting overload', () => {
    const queue = new AdmissionQueue({ maxSize: 100 });
    const served = { first: 0, standard: 0, background: 0 };
    for (let i = 0; i < 400; i += 1) {
      for (const importance of ['first', 'first', 'background'] as const) {
        queue.offer(entry(importance), 0);
      }
      const next = queue.take(0).entry;
      if (next) served[next.importance] += 1;
    }
    assert.equal(served.background, 20);
  });
});

describe('shedding', () => {
  const cases: { waiting: Importance[]; offered: Importance; shed: Importance }[] = [
    { waiting: ['background', 'first'], offered: 'first', shed: 'background' },
    { waiting: ['first', 'standard'], offered: 'standard', shed: 'standard' },
    { waiting: ['first', 'first'], offered: 'background', shed: 'background' },
  ];
  for (const { waiting, offered, shed } of cases) {
    test(`full of ${waiting.join(' and ')}, ${offered} arrives: ${shed} is shed at once`, () => {
      const queue = new AdmissionQueue({ maxSize: 2 });
      for (const importance of waiting) queue.offer(entry(importance), 0);
      const result = queue.offer(entry(offered), 0);
      assert.deepEqual(
        result.shed.map((item) => [item.entry.importance, item.reason]),
        [[shed, 'overloaded']],
      );
      assert.equal(queue.size, 2);
      assert.ok((result.shed[0]?.retryAfterMs ?? 0) > 0);
    });
  }

  test('the retry time follows the measured drain rate', () => {
    const queue = new AdmissionQueue({ maxSize: 100 });
    const now = warmUp(queue, 20, 50);
    for (let i = 0; i < 39; i += 1) queue.offer(entry('first'), now);
    const ms = queue.retryAfterMs(now);
    assert.ok(Math.abs(ms - 40 * 50) < 200, `${ms}`);
  });
});

describe('deadlines', () => {
  // Guards against callers that wait until their deadline although the predicted wait already
  // exceeds it on arrival. A caller refused at once can try another router.
  test('a request that would be served after its deadline is refused on arrival', () => {
    const queue = new AdmissionQueue({ maxSize: 100 });
    const now = warmUp(queue, 20, 50);
    for (let i = 0; i < 39; i += 1) queue.offer(entry('first'), now);
    const { queued, shed } = queue.offer(entry('standard', now + 1_000), now);
    assert.equal(queued, false);
    assert.equal(shed[0]?.reason, 'deadline-unreachable');
    assert.equal(queue.offer(entry('first', now + 1_000), now).queued, true);
  });

  test('expired requests are shed without being taken', () => {
    const queue = new AdmissionQueue({ maxSize: 10 });
    const waiting = entry('first', 500);
    queue.offer(waiting, 0);
    assert.equal(queue.nextDeadline(), 500);
    assert.deepEqual(queue.expire(499), []);
    assert.deepEqual(queue.expire(500), [{ entry: waiting, reason: 'deadline-passed' }]);
    assert.equal(queue.size, 0);
  });

  test('take skips requests that cannot be answered in time and returns them as shed', () => {
    const queue = new AdmissionQueue({ maxSize: 10 });
    const hopeless = { ...entry('first', 1_000), serviceMs: 800 };
    const fine = entry('standard', 5_000);
    queue.offer(hopeless, 0);
    queue.offer(fine, 0);
    const result = queue.take(300);
    assert.equal(result.entry?.id, fine.id);
    assert.deepEqual(
      result.shed.map((item) => item.reason),
      ['deadline-unreachable'],
    );
  });
});

for (const name of ['fifo', 'importance-deadline'] as const) {
  test(`${name}: the request of a caller that disconnected is removed`, () => {
    const queue = new AdmissionQueue({ maxSize: 10, discipline: createQueueDiscipline(name) });
    const gone = entry('first');
    queue.offer(gone, 0);
    assert.equal(queue.remove(gone.id), true);
    assert.equal(queue.remove(gone.id), false);
    assert.equal(queue.take(0).entry, undefined);
  });
}

describe('reserve', () => {
  // Guards against a request of the first class that waits for seconds because less important
  // requests occupy every slot of every server when it arrives.
  test('grows while the first class misses its target and decays afterwards', () => {
    const reserve = new ImportanceReserve();
    const keptFree = () => Number(reserve.ruleFor('standard').keptFree.toFixed(4));
    const windowOf = (missed: boolean) => {
      for (let i = 0; i < 20; i += 1) reserve.sample('first', missed);
      return keptFree();
    };
    assert.equal(keptFree(), 0);
    assert.deepEqual([windowOf(true), windowOf(true), windowOf(false)], [0.03, 0.06, 0.054]);
    assert.deepEqual(reserve.ruleFor('first'), { keptFree: 0, extra: 0.5 });
    assert.equal(reserve.ruleFor('standard', true).keptFree, 0);
  });

  test('take skips requests that cannot be placed', () => {
    const queue = new AdmissionQueue({ maxSize: 10 });
    const standard = entry('standard');
    queue.offer(standard, 0);
    assert.equal(queue.take(0, (importance) => importance === 'first').entry, undefined);
    assert.equal(queue.take(0).entry?.id, standard.id);
  });
});

// Guards against a class that stays refused after an incident: its expected time exceeded its
// deadline, so every request was refused, none ended, and the expected time was never corrected.
test('the expected service time decays while no answer arrives', () => {
  let known = recordServiceTime(undefined, 8_000, 0);
  known = recordServiceTime(known, 8_000, 1_000);
  const fresh = cautiousServiceMs(known, 1_000);
  assert.ok(fresh > 8_000);
  assert.ok(Math.abs(cautiousServiceMs(known, 41_000) - fresh / 4) < 1);
});
