import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  awaitPromise,
  Channel,
  sleep,
  startProcess,
  take,
  takeWithin,
} from '@flamingocourse/kernel';

test('a process takes values in order and ends when the channel closes', async () => {
  const channel = new Channel<number>(4);
  const seen: number[] = [];
  const done = startProcess(function* () {
    for (;;) {
      const value = yield* take(channel);
      if (value === undefined) return;
      seen.push(value);
    }
  }, assert.ifError);
  channel.offer(1);
  channel.offer(2);
  channel.close();
  await done;
  assert.deepEqual(seen, [1, 2]);
});

// Guards against a router that neither answers nor logs: a background process threw, and js-csp
// discarded the error.
test('an error in a process reaches the failure handler', async () => {
  const errors: unknown[] = [];
  await startProcess(
    function* () {
      yield* sleep(1);
      yield* awaitPromise(Promise.reject(new Error('boom')));
    },
    (err) => errors.push(err),
  );
  assert.match(String(errors[0]), /boom/);
});

test('takeWithin tells a timeout from a closed channel', async () => {
  const channel = new Channel<number>(1);
  const results: string[] = [];
  await startProcess(function* () {
    results.push((yield* takeWithin(channel, 5)).type);
    channel.offer(7);
    results.push((yield* takeWithin(channel, 5)).type);
    channel.close();
    results.push((yield* takeWithin(channel, 5)).type);
  }, assert.ifError);
  assert.deepEqual(results, ['timeout', 'value', 'closed']);
});

const overflowCases = [
  { rule: 'refuse', accepted: [true, true, false], kept: [1, 2] },
  { rule: 'drop-newest', accepted: [true, true, true], kept: [1, 2] },
  { rule: 'drop-oldest', accepted: [true, true, true], kept: [2, 3] },
] as const;

for (const { rule, accepted, kept } of overflowCases) {
  test(`a full channel follows the rule ${rule}`, async () => {
    const channel = new Channel<number>(2, rule);
    assert.deepEqual(
      [1, 2, 3].map((value) => channel.offer(value)),
      accepted,
    );
    assert.deepEqual([await channel.next(), await channel.next()], kept);
  });
}
