import type {
  Collection,
  PlatformError,
  ReadOptions,
  VersionedObject,
} from '@flamingocourse/store';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { MemoryObjectStore } from '@flamingocourse/store';
import { Result } from 'true-myth';
import { z } from 'zod';
import { StoredObject } from '../../packages/gateway/src/node/storedObject.js';

const counters: Collection<{ n: number }> = {
  name: 'counters',
  schema: z.object({ n: z.number() }),
};

/**
 * A store whose stale reads return the object as of the last `remember` call. With `hasRival`, another
 * writer updates the object just before each update.
 */
class LaggingStore extends MemoryObjectStore {
  hasRival = false;
  #remembered: VersionedObject<unknown> | undefined;

  async remember(): Promise<void> {
    const read = await super.get(counters, 'all');
    this.#remembered = read.unwrapOr(undefined);
  }

  override async get<T>(
    collection: Collection<T>,
    name: string,
    options: ReadOptions = {},
  ): Promise<Result<VersionedObject<T>, PlatformError>> {
    const old = options.stale ? this.#remembered : undefined;
    return old ? Result.ok(old as VersionedObject<T>) : super.get(collection, name);
  }

  override async update<T>(
    collection: Collection<T>,
    name: string,
    version: string,
    value: T,
  ): Promise<Result<VersionedObject<T>, PlatformError>> {
    const current = this.hasRival ? await super.get(collection, name) : undefined;
    if (current?.isOk) await super.update(collection, name, current.value.version, value);
    return super.update(collection, name, version, value);
  }
}

/** Starts two instances with copies of one object. */
async function start(): Promise<{
  store: LaggingStore;
  own: StoredObject<{ n: number }>;
  other: StoredObject<{ n: number }>;
}> {
  const store = new LaggingStore();
  const create = (): { n: number } => ({ n: 0 });
  const own = new StoredObject(store, counters, 'all', create);
  const other = new StoredObject(store.view(), counters, 'all', create);
  for (const object of [own, other]) assert.deepEqual((await object.read(0)).unwrapOr(undefined), { n: 0 }); // prettier-ignore
  return { store, own, other };
}

const addOne = ({ n }: { n: number }): { n: number } => ({ n: n + 1 });

// Guards against an instance that loses its own last write, and would report on an older page each time.
describe('a stale read', () => {
  test('never replaces the copy by an older version', async () => {
    const { store, own } = await start();
    await store.remember();
    await own.change(addOne, 1);
    const read = await own.read(2, { stale: true });
    assert.deepEqual(read.unwrapOr(undefined), { n: 1 });
    assert.deepEqual(own.value, { n: 1 });
  });

  test('returns the writes of others', async () => {
    const { store, own, other } = await start();
    await other.change(addOne, 1);
    await store.remember();
    await own.read(2, { stale: true });
    assert.deepEqual(own.value, { n: 1 });
  });
});

describe('a change', () => {
  test('is repeated on the value that others wrote', async () => {
    const { own, other } = await start();
    await other.change(addOne, 1);
    assert.equal((await own.change(addOne, 2)).unwrapOr(undefined), 'written');
    assert.deepEqual(own.value, { n: 2 });
    assert.equal(own.takeConflicts(), 1);
    assert.equal(own.takeConflicts(), 0);
  });

  test('without an effect is not written', async () => {
    const { own } = await start();
    const { version } = own;
    assert.equal((await own.change((value) => value, 1)).unwrapOr(undefined), 'unchanged');
    assert.equal(own.version, version);
  });

  test('fails with busy if every attempt conflicts', async () => {
    const { store, own } = await start();
    store.hasRival = true;
    assert.equal((await own.change(addOne, 1)).unwrapOr(undefined), 'busy');
    store.hasRival = false;
    assert.equal((await own.change(addOne, 2)).unwrapOr(undefined), 'written');
  });

  test('with an unknown outcome invalidates the copy', async () => {
    const { store, own } = await start();
    store.faults.lostReplies = 1;
    assert.ok((await own.change(addOne, 1)).isErr);
    assert.equal(own.value, undefined);
  });
});
