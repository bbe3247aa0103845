import type { FleetInstance, StreamAnswer, StreamKey, StreamKnowledge } from '@flamingocourse/core';
import type { StreamFinding } from '../../packages/gateway/src/node/streamInquiry.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { StreamHolders } from '@flamingocourse/core';
import { MemoryEventLog, MonotonicClock } from '@flamingocourse/kernel';
import { MemoryObjectStore } from '@flamingocourse/store';
import { Result } from 'true-myth';
import { StreamInquiry } from '../../packages/gateway/src/node/streamInquiry.js';
import { StreamCalls } from '../../packages/gateway/src/types/streamCalls.js';
import { testContext } from '../gateway/testContext.js';

const KEY: StreamKey = 'stream';
const KNOWN: StreamKnowledge = { type: 'known', origin: { service: 'llm', version: 'v1' } };

/** Peers of which some do not answer and one may know the stream. */
class FakePeers extends StreamCalls {
  constructor(
    readonly silent: readonly string[],
    readonly knowing: string | undefined,
  ) {
    super();
  }

  override keep(): Promise<Result<never, string>> {
    return Promise.resolve(Result.err('not used'));
  }

  override find({ name }: FleetInstance): Promise<Result<StreamAnswer, string>> {
    if (this.silent.includes(name)) return Promise.resolve(Result.err('timeout'));
    const knowledge: StreamKnowledge = name === this.knowing ? KNOWN : { type: 'unknown' };
    return Promise.resolve(Result.ok({ knowledge, software: {} }));
  }
}

const fleet = ['a', 'b', 'c', 'd', 'e'].map((name) => {
  return { name, dataCentre: 'dc', meshUrl: 'http://mesh' };
});
const self = { name: 'a', dataCentre: 'dc' };

async function inquire(calls: StreamCalls): Promise<StreamFinding> {
  const context = testContext(new MonotonicClock(), new MemoryEventLog(), new MemoryObjectStore());
  const holders = new StreamHolders(fleet, self);
  const inquiry = new StreamInquiry(context, calls, holders, { key: KEY, services: ['llm'] });
  const knowledge = await inquiry.ask();
  return knowledge.type === 'unknown' ? inquiry.askOthers() : knowledge;
}

// Guards against a stream that goes on at another software version, because instances of a single data centre
// that are cut off together count as the whole fleet.
describe('in a fleet of one data centre, a stream that the instances asked do not know', () => {
  const cases: {
    name: string;
    silent: string[];
    knowing?: string;
    found: StreamFinding['type'];
  }[] = [
    { name: 'is unknown if all answer', silent: [], found: 'unknown' },
    { name: 'may be known by one that does not answer', silent: ['e'], found: 'unreached' },
    { name: 'may be known by two that do not answer', silent: ['b', 'e'], found: 'unreached' },
    { name: 'may be known by all others', silent: ['b', 'c', 'd', 'e'], found: 'unreached' },
    {
      name: 'is known if one that is asked last knows it',
      silent: [],
      knowing: new StreamHolders(fleet, self).toAsk(KEY, fleet.length, 0).at(-1)?.name ?? '',
      found: 'known',
    },
  ];
  for (const { name, silent, knowing, found } of cases) {
    test(name, async () => {
      assert.equal((await inquire(new FakePeers(silent, knowing))).type, found);
    });
  }
});
