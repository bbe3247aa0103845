import type { RecordedState, SoftwareRecord } from '@flamingocourse/core';
import type { Collection, PlatformResult, VersionedObject } from '@flamingocourse/store';
import type { GatewayContext } from '../../packages/gateway/src/types/context.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { SOFTWARE_REMEMBERED_MS } from '@flamingocourse/core';
import { ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { MemoryObjectStore, PlatformError } from '@flamingocourse/store';
import { Result } from 'true-myth';
import {
  assert as assertProperty,
  asyncProperty,
  constantFrom,
  array,
  record,
  nat,
} from 'fast-check';
import { StoredSoftwareRecord } from '../../packages/gateway/src/node/storedSoftwareRecord.js';
import { softwareRecordSchema } from '../../packages/gateway/src/utils/softwareRecordSchema.js';
import { testContext } from './testContext.js';

const SERVICE = 'llm';
const collection: Collection<SoftwareRecord> = {
  name: 'fleet-software',
  schema: softwareRecordSchema,
};
/** Milliseconds by which the list has to be confirmed after a removal was announced, and the store's turns. */
const LIST_DELAY_MS = 5_000;
const TURN_MS = 10_000;

/** A client of the store whose writes may be executed later, without an answer. */
class LateStore extends MemoryObjectStore {
  isLate = false;
  readonly late: (() => Promise<unknown>)[] = [];

  override update<T>(
    ...args: [Collection<T>, string, string, T]
  ): PlatformResult<VersionedObject<T>> {
    if (!this.isLate) return super.update(...args);
    this.late.push(() => super.update(...args));
    const err = new PlatformError('unreachable', 'no answer', { effect: 'unknown' });
    return Promise.resolve(Result.err(err));
  }
}

/** One instance as far as it keeps the record of a service. */
class Keeper {
  readonly context: GatewayContext;
  readonly store: LateStore;
  readonly #record: StoredSoftwareRecord;
  confirmedAt = -Infinity;

  constructor(
    table: MemoryObjectStore['table'],
    readonly clock: ManualClock,
    readonly turn = 0,
  ) {
    this.store = new LateStore(table);
    this.context = testContext(clock, new MemoryEventLog(), this.store);
    this.#record = new StoredSoftwareRecord(this.context, SERVICE);
  }

  /** Applies a list, as of now. */
  list(versions: readonly string[]): void {
    this.context.software.recorded.list(SERVICE, versions);
    this.confirmedAt = this.clock.now();
    this.#record.updateMissed();
  }

  async save(): Promise<boolean> {
    const listings = this.context.software.recorded.unrecorded(SERVICE);
    return (await this.#record.save(listings)).isOk;
  }

  retire(): Promise<void> {
    return this.#record.retire(() => this.turn, this.confirmedAt);
  }

  mayBegin(version: string): boolean {
    return this.context.software.recorded.has(SERVICE, version);
  }

  /** Versions that this instance reckons with, in order. */
  seen(): string {
    return this.context.software.seen.versionsOf(SERVICE, this.clock.now()).toSorted().join(' ');
  }
}

async function stateOf(
  store: MemoryObjectStore,
  version: string,
): Promise<RecordedState | undefined> {
  const read = await store.get(collection, SERVICE);
  if (read.isErr) return undefined;
  return read.value.value.versions.find((each) => each.version === version)?.state;
}

function create(): { keepers: [Keeper, Keeper]; clock: ManualClock; store: MemoryObjectStore } {
  const clock = new ManualClock();
  const store = new MemoryObjectStore();
  const keepers: [Keeper, Keeper] = [
    new Keeper(store.table, clock),
    new Keeper(store.table, clock, 1),
  ];
  return { keepers, clock, store };
}

// Guards against streams that begin at a version of which a process that starts later finds no trace.
describe('a version at which streams may begin', () => {
  test('is recorded first, once for all instances', async () => {
    const { keepers, store } = create();
    for (const keeper of keepers) {
      keeper.list(['v1']);
      assert.equal(keeper.mayBegin('v1'), false);
      assert.equal(await keeper.save(), true);
      assert.equal(keeper.mayBegin('v1'), true);
    }
    assert.equal(await stateOf(store, 'v1'), 'serving');
  });

  const faults: { name: string; change: (store: LateStore) => void }[] = [
    { name: 'while the store is away', change: ({ faults }) => (faults.outage = true) },
    { name: 'while its answers are lost', change: ({ faults }) => (faults.lostReplies = 9) },
    { name: 'while writes are late', change: (store) => (store.isLate = true) },
  ];
  for (const { name, change } of faults) {
    test(`is none ${name}`, async () => {
      const { keepers } = create();
      const [keeper] = keepers;
      keeper.list(['v1']);
      await keeper.save();
      change(keeper.store);
      keeper.list(['v1', 'v2']);
      assert.equal(await keeper.save(), false);
      assert.deepEqual([keeper.mayBegin('v1'), keeper.mayBegin('v2')], [true, false]);
    });
  }

  test('is not confirmed by a write that began before it was listed anew', async () => {
    const [keeper] = create().keepers;
    keeper.list(['v1']);
    const saving = keeper.save();
    keeper.list([]);
    keeper.list(['v1']);
    assert.equal(await saving, true);
    assert.equal(keeper.mayBegin('v1'), false);
  });

  test('is found by a process that starts after its servers and all instances have gone', async () => {
    const { keepers, clock, store } = create();
    keepers[0].list(['v1', 'v2']);
    await keepers[0].save();
    const fresh = new Keeper(store.table, clock);
    fresh.list(['v2']);
    await fresh.save();
    assert.equal(fresh.seen(), 'v1');
    clock.advance(SOFTWARE_REMEMBERED_MS + 1);
    assert.equal(fresh.seen(), '');
  });
});

// Guards against a record that keeps versions for ever, so that unknown streams are refused for ever.
describe('a version that no server runs any more', () => {
  async function missed(): Promise<ReturnType<typeof create>> {
    const world = create();
    for (const keeper of world.keepers) {
      keeper.list(['v1', 'v2']);
      await keeper.save();
      keeper.list(['v2']);
    }
    return world;
  }

  test('is removed a minute later, once the list was confirmed after the announcement', async () => {
    const { keepers, clock, store } = await missed();
    const [keeper] = keepers;
    clock.advance(SOFTWARE_REMEMBERED_MS - 1);
    await keeper.retire();
    assert.equal(await stateOf(store, 'v1'), 'serving');
    clock.advance(1);
    await keeper.retire();
    assert.equal(await stateOf(store, 'v1'), 'ending');
    clock.advance(LIST_DELAY_MS);
    await keeper.retire();
    assert.equal(await stateOf(store, 'v1'), 'ending', 'the list was not confirmed');
    keeper.list(['v2']);
    await keeper.retire();
    assert.equal(await stateOf(store, 'v1'), undefined);
  });

  test('is removed by the next instance if the first one ended after its announcement', async () => {
    const { keepers, clock, store } = await missed();
    clock.advance(SOFTWARE_REMEMBERED_MS);
    for (const keeper of keepers) await keeper.retire();
    clock.advance(TURN_MS);
    await keepers[1].retire();
    clock.advance(LIST_DELAY_MS);
    keepers[1].list(['v2']);
    await keepers[1].retire();
    assert.equal(await stateOf(store, 'v1'), undefined);
  });

  test('stays recorded if it is listed again, also when the removal is executed late', async () => {
    const { keepers, clock, store } = await missed();
    const [keeper, other] = keepers;
    clock.advance(SOFTWARE_REMEMBERED_MS);
    await keeper.retire();
    clock.advance(LIST_DELAY_MS);
    keeper.list(['v2']);
    keeper.store.isLate = true;
    await keeper.retire();
    assert.equal(keeper.store.late.length, 1);
    other.list(['v1', 'v2']);
    await other.save();
    for (const write of keeper.store.late) await write();
    assert.equal(other.mayBegin('v1'), true);
    assert.equal(await stateOf(store, 'v1'), 'serving');
  });
});

// Guards against a removal that rests on an announcement of before the version served again.
test('an announcement that was taken back and made again has to be waited for again', async () => {
  const { keepers, clock, store } = create();
  const [first, second] = keepers;
  const third = new Keeper(store.table, clock);
  for (const keeper of [...keepers, third]) {
    keeper.list(['v1']);
    await keeper.save();
    keeper.list([]);
  }
  clock.advance(SOFTWARE_REMEMBERED_MS);
  await first.retire();
  clock.advance(LIST_DELAY_MS);
  first.list([]);
  second.list(['v1']);
  await second.save();
  await third.retire();
  assert.equal(await stateOf(store, 'v1'), 'ending');
  await first.save();
  await first.retire();
  assert.equal(second.mayBegin('v1'), true);
  assert.equal(await stateOf(store, 'v1'), 'ending');
});

/** Steps of the property below. */
const steps = [
  'deploy',
  'undeploy',
  'list',
  'save',
  'retire',
  'late',
  'execute',
  'crash',
  'wait',
] as const;
/** Milliseconds that pass with a `wait`. */
const WAITS_MS = [100, 3_000, LIST_DELAY_MS, TURN_MS, SOFTWARE_REMEMBERED_MS];
const VERSIONS = ['v1', 'v2', 'v3'];

// Guards against an order of lists, writes, losses and late executions in which a version at which streams may
// begin at an instance is missing from the record.
test('whatever an instance lets streams begin at is recorded', async () => {
  const step = record({
    what: constantFrom(...steps),
    keeper: nat(2),
    version: constantFrom(...VERSIONS),
    ms: constantFrom(...WAITS_MS),
  });
  const property = asyncProperty(array(step, { maxLength: 120 }), async (taken) => {
    const clock = new ManualClock();
    const store = new MemoryObjectStore();
    const deployed = new Set(['v1']);
    const start = (turn: number): Keeper => new Keeper(store.table, clock, turn);
    const keepers = [start(0), start(1), start(2)];
    for (const { what, keeper: at, version, ms } of taken) {
      const keeper = keepers[at] ?? start(at);
      if (what === 'deploy') deployed.add(version);
      if (what === 'undeploy') deployed.delete(version);
      if (what === 'list') keeper.list([...deployed]);
      if (what === 'save') await keeper.save();
      if (what === 'retire') await keeper.retire();
      if (what === 'late') keeper.store.isLate = !keeper.store.isLate;
      if (what === 'execute') for (const write of keeper.store.late.splice(0)) await write();
      if (what === 'crash') keepers[at] = start(at);
      if (what === 'wait') {
        // instances in touch read the list before the time that a removal allows for has passed.
        for (const each of keepers) each.list([...deployed]);
        clock.advance(ms);
        for (const each of keepers) each.list([...deployed]);
      }
      for (const each of keepers) {
        for (const name of VERSIONS.filter((known) => each.mayBegin(known))) {
          assert.notEqual(await stateOf(store, name), undefined, `${name} after ${what}`);
        }
      }
    }
  });
  await assertProperty(property, { numRuns: 400, seed: 65 });
});
