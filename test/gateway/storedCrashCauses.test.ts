import type { TestContext } from 'node:test';
import type { GossipMessage, ProvenCrashCause } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Kernel, ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { MemoryObjectStore } from '@flamingocourse/store';
import { Result } from 'true-myth';
import { z } from 'zod';
import { StoredCrashCauses } from '../../packages/gateway/src/node/storedCrashCauses.js';
import { GossipService } from '../../packages/gateway/src/node/gossipService.js';
import { SharedQuarantine } from '../../packages/gateway/src/node/sharedQuarantine.js';
import { GossipCalls } from '../../packages/gateway/src/types/gossipCalls.js';
import { testContext } from './testContext.js';

/** Reaches no peer. */
class NoCalls extends GossipCalls {
  override exchange(): Promise<Result<GossipMessage, string>> {
    return Promise.resolve(Result.err('connection refused'));
  }
}

const anything = { name: 'fleet-causes', schema: z.unknown() };
const cause: ProvenCrashCause = { fingerprint: 'a+b/c=', servers: ['s1', 's2@5', 's3'] };

/** Starts a process on a store that may already contain causes. */
async function start(t: TestContext, store: MemoryObjectStore): Promise<World> {
  const causes = new StoredCrashCauses(testContext(new ManualClock(), new MemoryEventLog(), store));
  const found: ProvenCrashCause[] = [];
  causes.onCause((each) => found.push(each));
  t.after(() => {
    causes.stop();
  });
  causes.start(new Kernel());
  await settle();
  return { causes, found };
}

interface World {
  causes: StoredCrashCauses;
  found: ProvenCrashCause[];
}

async function settle(): Promise<void> {
  for (let i = 0; i < 200; i += 1) await Promise.resolve();
}

async function names(store: MemoryObjectStore): Promise<string[]> {
  const list = await store.list(anything);
  return list.isOk ? list.value.items.map(({ name }) => name) : [];
}

// Guards against losing the causes when all instances have ended.
test('a new process finds each stored cause once', async (t) => {
  const store = new MemoryObjectStore();
  const first = await start(t, store);
  first.causes.save(cause);
  first.causes.save(cause);
  await settle();
  const second = await start(t, store);
  assert.deepEqual(second.found, [cause]);
});

// Guards against new processes that refuse a request although it has finished since.
test('a process that knows a stored cause removes it when the request finishes', async (t) => {
  const store = new MemoryObjectStore();
  const first = await start(t, store);
  first.causes.save(cause);
  await settle();
  const second = await start(t, store);
  second.causes.remove(cause.fingerprint);
  second.causes.remove('another');
  await settle();
  assert.deepEqual(await names(store), []);
});

// Guards against a cause that stays stored because the request finished at an instance that did not store it.
test('a request that finished at another instance is removed as well', async (t) => {
  const store = new MemoryObjectStore();
  const context = testContext(new ManualClock(), new MemoryEventLog(), store);
  const { causes } = await start(t, store);
  const gossip = new GossipService(context, 'life-1', new NoCalls());
  new SharedQuarantine(context, gossip, causes).onUpdate(() => undefined);
  causes.save(cause);
  await settle();
  const { fingerprint } = cause;
  const finished = {
    origin: 'life-2',
    seq: 1,
    ageMs: 3,
    news: { type: 'finished', fingerprint },
  } as const;
  gossip.handleMessage({ from: 'edge-2', known: {}, items: [finished] });
  await settle();
  gossip.stop();
  assert.deepEqual(await names(store), []);
});

// Guards against an invalid object that keeps a process from reading the valid ones.
test('an object with an invalid schema is skipped', async (t) => {
  const store = new MemoryObjectStore();
  await store.create(anything, 'odd', { fingerprint: 7 });
  const first = await start(t, store);
  first.causes.save(cause);
  await settle();
  const second = await start(t, store);
  assert.deepEqual(second.found, [cause]);
});

// Guards against causes that accumulate in the store for years.
test('the oldest causes beyond 64 are removed', async (t) => {
  const store = new MemoryObjectStore();
  const first = await start(t, store);
  for (let i = 0; i < 70; i += 1) first.causes.save({ ...cause, fingerprint: `f${String(i)}` });
  await settle();
  await start(t, store);
  const left = await names(store);
  assert.equal(left.length, 64);
  assert.ok(!left.includes(Buffer.from('f0').toString('hex')));
});
