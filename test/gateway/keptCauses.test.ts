import type { TestContext } from 'node:test';
import type { ProvenCause } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { MemoryObjectStore } from '@flamingocourse/store';
import { z } from 'zod';
import { KeptCauses } from '../../packages/gateway/src/node/keptCauses.js';
import { contextOf } from './contextOf.js';

const anything = { name: 'fleet-causes', schema: z.unknown() };
const cause: ProvenCause = { fingerprint: 'a+b/c=', servers: ['s1', 's2@5', 's3'] };

/** Beside a store that may hold something already. */
async function start(t: TestContext, store: MemoryObjectStore): Promise<World> {
  const causes = new KeptCauses(contextOf(new ManualClock(), new MemoryEventLog(), store));
  const found: ProvenCause[] = [];
  causes.onCause((each) => found.push(each));
  t.after(() => {
    causes.stop();
  });
  causes.start();
  await settle();
  return { causes, found };
}

interface World {
  causes: KeptCauses;
  found: ProvenCause[];
}

async function settle(): Promise<void> {
  for (let i = 0; i < 200; i += 1) await Promise.resolve();
}

async function names(store: MemoryObjectStore): Promise<string[]> {
  const list = await store.list(anything);
  return list.isOk ? list.value.items.map(({ name }) => name) : [];
}

// After a loss of all instances nobody knows which requests end servers.
test('a new process finds what another one wrote, once', async (t) => {
  const store = new MemoryObjectStore();
  const first = await start(t, store);
  first.causes.keep(cause);
  first.causes.keep(cause);
  await settle();
  const second = await start(t, store);
  assert.deepEqual(second.found, [cause]);
});

// A request that is served again is refused by each process that starts.
test('a request that finished is taken out, by whoever knows of it', async (t) => {
  const store = new MemoryObjectStore();
  const first = await start(t, store);
  first.causes.keep(cause);
  await settle();
  const second = await start(t, store);
  second.causes.forget(cause.fingerprint);
  second.causes.forget('another');
  await settle();
  assert.deepEqual(await names(store), []);
});

// An entry of another writer keeps a process from reading the others.
test('an entry that can not be read is passed over', async (t) => {
  const store = new MemoryObjectStore();
  await store.create(anything, 'odd', { fingerprint: 7 });
  const first = await start(t, store);
  first.causes.keep(cause);
  await settle();
  const second = await start(t, store);
  assert.deepEqual(second.found, [cause]);
});

// Causes gather in the store for years.
test('the oldest go beyond sixty-four', async (t) => {
  const store = new MemoryObjectStore();
  const first = await start(t, store);
  for (let i = 0; i < 70; i += 1) first.causes.keep({ ...cause, fingerprint: `f${String(i)}` });
  await settle();
  await start(t, store);
  const left = await names(store);
  assert.equal(left.length, 64);
  assert.ok(!left.includes(Buffer.from('f0').toString('hex')));
});
