import type { FleetInstance, StreamRecord } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { MemoryEventLog, MonotonicClock } from '@flamingocourse/kernel';
import { MemoryObjectStore } from '@flamingocourse/store';
import { Result } from 'true-myth';
import { StreamRecordSender } from '../../packages/gateway/src/node/streamRecordSender.js';
import { StreamCalls } from '../../packages/gateway/src/types/streamCalls.js';
import { testContext } from '../gateway/testContext.js';

/** Peers that keep records, except for those that do not answer. */
class FakePeers extends StreamCalls {
  readonly kept = new Map<string, string[]>();
  readonly calls: string[] = [];

  constructor(readonly silent: readonly string[]) {
    super();
  }

  override keep({ name }: FleetInstance, streams: StreamRecord[]): Promise<Result<'kept', string>> {
    this.calls.push(name);
    if (this.silent.includes(name)) return Promise.resolve(Result.err('timeout'));
    const kept = [...(this.kept.get(name) ?? []), ...streams.map(({ key }) => key)];
    this.kept.set(name, kept);
    return Promise.resolve(Result.ok('kept'));
  }

  override find(): Promise<Result<never, string>> {
    return Promise.resolve(Result.err('not used'));
  }
}

const peers = ['a', 'b', 'c', 'd'].map((name) => {
  return { name, dataCentre: 'dc', meshUrl: 'http://mesh' };
});

function recordOf(key: string): StreamRecord {
  return { key, origin: { service: 'llm', version: 'v1' }, forMs: 1_000 };
}

function startSender(calls: StreamCalls): { sender: StreamRecordSender; log: MemoryEventLog } {
  const log = new MemoryEventLog();
  const context = testContext(new MonotonicClock(), log, new MemoryObjectStore());
  return { sender: new StreamRecordSender(context, calls), log };
}

// Guards against a record that reaches nobody because the first of its holders is down or cut off.
describe('a record of a stream', () => {
  const cases = [
    { name: 'reaches its first two holders', silent: [], holders: ['a', 'b'], unsent: 0 },
    {
      name: 'reaches the next one if one is silent',
      silent: ['a'],
      holders: ['b', 'c'],
      unsent: 0,
    },
    {
      name: 'reaches the next ones if two are silent',
      silent: ['a', 'b'],
      holders: ['c', 'd'],
      unsent: 0,
    },
    {
      name: 'reaches the only one that answers',
      silent: ['a', 'b', 'c'],
      holders: ['d'],
      unsent: 1,
    },
    {
      name: 'is given up, and logged, if none answers',
      silent: ['a', 'b', 'c', 'd'],
      holders: [],
      unsent: 2,
    },
  ];
  for (const { name, silent, holders, unsent } of cases) {
    test(name, async () => {
      const calls = new FakePeers(silent);
      const { sender, log } = startSender(calls);
      sender.send(recordOf('k'), peers, 2);
      await sender.flush();
      assert.deepEqual([...calls.kept.keys()].toSorted(), holders);
      const logged = log.events.filter(({ event }) => event === 'stream-records-unsent');
      assert.equal(logged.length, unsent);
    });
  }

  test('goes in one call with others for the same instance', async () => {
    const calls = new FakePeers([]);
    const { sender } = startSender(calls);
    for (let n = 0; n < 100; n += 1) sender.send(recordOf(String(n)), peers, 2);
    await sender.flush();
    assert.deepEqual(calls.calls.toSorted(), ['a', 'b']);
    assert.equal(calls.kept.get('a')?.length, 100);
  });

  test('goes first to instances that answered lately', async () => {
    const calls = new FakePeers(['a']);
    const { sender } = startSender(calls);
    sender.send(recordOf('first'), peers, 2);
    await sender.flush();
    calls.calls.length = 0;
    sender.send(recordOf('second'), peers, 2);
    await sender.flush();
    assert.deepEqual(calls.calls.toSorted(), ['b', 'c']);
  });
});
