import type { WatchCall, WatchEndReason, WatchEvent } from '@flamingocourse/store';
import type { Note } from './fixtures.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { MemoryObjectStore, ObjectApiDialect } from '@flamingocourse/store';
import { latestChanges } from '../../packages/store/src/runtime/latestChanges.js';
import { connect, failTest, notes, startStandIn, until } from './fixtures.js';

/** Contents of the collection according to the events so far. */
function replay(events: WatchEvent<Note>[]): Record<string, string> {
  const known = new Map<string, string>();
  for (const event of events) {
    if (event.type === 'changed') known.set(event.object.name, event.object.value.text);
    if (event.type === 'removed') known.delete(event.name);
    if (event.type !== 'listed') continue;
    known.clear();
    for (const { name, value } of event.list.items) known.set(name, value.text);
  }
  return Object.fromEntries(known);
}

const knows = (events: WatchEvent<Note>[], expected: object): boolean =>
  JSON.stringify(replay(events)) === JSON.stringify(expected);

test('a watch lists first and then follows changes and removals', async (t) => {
  const platform = await startStandIn(t);
  platform.table.create('orders', 'a', '{"text":"1"}');
  const store = connect(t, platform.urls['dc-a']);
  const events: WatchEvent<Note>[] = [];
  store.watch(notes, { onEvent: (event) => events.push(event) });
  await until('listed', () => knows(events, { a: '1' }));
  const created = platform.table.create('orders', 'b', '{"text":"2"}').unwrapOrElse(failTest);
  platform.table.create('orders', 'bad', '{"text":5}');
  platform.table.create('audits', 'c', '{"text":"other collection"}');
  platform.table.remove('orders', 'b', created.version);
  await until('removed', () => events.at(-1)?.type === 'removed');
  assert.deepEqual(
    events.map(({ type }) => type),
    ['listed', 'changed', 'invalid', 'removed'],
  );
});

/** Delivers one change immediately; later calls stay open without data. */
class OneChangeDialect extends ObjectApiDialect {
  readonly idleMs: number[] = [];

  override follow(call: WatchCall): Promise<WatchEndReason> {
    this.idleMs.push(call.idleMs);
    if (this.idleMs.length > 1) return new Promise(() => undefined);
    call.onChanges([{ type: 'removed', name: 'a' }], '2');
    return Promise.resolve('answered');
  }
}

// Guards against a removed server that is taken for one whose entry expired in an outage, as the watch was idle for too long.
test('the idle time of a watch includes the pause in which changes are batched', async (t) => {
  const dialect = new OneChangeDialect();
  const store = connect(t, 'http://127.0.0.1:1', { dialect });
  const options = { from: '1', idleMs: 2_400, batchMs: 20, onEvent: () => undefined };
  const watch = store.watch(notes, options);
  await until('two calls', () => dialect.idleMs.length === 2);
  watch.stop();
  assert.deepEqual(dialect.idleMs, [2_400, 2_380]);
});

/** Delivers five versions of one object in one answer; later calls stay open without data. */
class VersionStormDialect extends ObjectApiDialect {
  #isDelivered = false;

  override follow(call: WatchCall): Promise<WatchEndReason> {
    if (this.#isDelivered) return new Promise(() => undefined);
    this.#isDelivered = true;
    const versions = [2, 3, 4, 5, 6].map(String);
    const objects = versions.map((version) => ({ name: 'a', version, value: { text: version } }));
    call.onChanges(
      objects.map((object) => ({ type: 'changed', object })),
      '6',
    );
    return Promise.resolve('answered');
  }
}

// Guards against delayed requests on an instance with a tenth of a core: it validated versions that
// were already superseded.
test('of several versions of an object in one answer only the last is delivered', async (t) => {
  const store = connect(t, 'http://127.0.0.1:1', { dialect: new VersionStormDialect() });
  const events: WatchEvent<Note>[] = [];
  store.watch(notes, { from: '1', onEvent: (event) => events.push(event) });
  await until('delivered', () => knows(events, { a: '6' }));
  assert.equal(events.length, 1);
});

describe('the latest changes of an answer', () => {
  const a = { type: 'changed', object: { name: 'a', version: '2', value: 1 } } as const;
  const later = { type: 'changed', object: { name: 'a', version: '4', value: 2 } } as const;
  const b = { type: 'changed', object: { name: 'b', version: '3', value: 1 } } as const;
  const removed = { type: 'removed', name: 'a' } as const;
  const cases = [
    { name: 'none', changes: [], latest: [] },
    { name: 'of two objects', changes: [a, b], latest: [a, b] },
    { name: 'of one that changed twice', changes: [a, b, later], latest: [b, later] },
    { name: 'of one that was removed', changes: [a, b, removed], latest: [b, removed] },
    { name: 'of one that came back', changes: [removed, b, later], latest: [b, later] },
  ];
  for (const { name, changes, latest } of cases) {
    test(name, () => {
      assert.deepEqual(latestChanges(changes), latest);
    });
  }
});

// Guards against a configuration that is reported as possibly outdated although the store works:
// without changes only bookmarks arrive, and they did not count as a confirmation.
test('bookmarks confirm a watch without changes', async (t) => {
  const platform = await startStandIn(t, { bookmarkMs: 20 });
  const store = connect(t, platform.urls['dc-a']);
  let confirmations = 0;
  store.watch(notes, { onEvent: () => undefined, onUpToDate: () => (confirmations += 1) });
  await until('confirmed several times', () => confirmations >= 4);
});

// Guards against changes that never take effect because they were made while a watch was
// interrupted.
const breaks: readonly {
  name: string;
  faults: { outage: 'refuse' | 'silent' };
  changes: number;
  lists: number;
  idleMs?: number;
  watchIdleMs?: number;
}[] = [
  { name: 'refused connections', faults: { outage: 'refuse' }, changes: 3, lists: 1 },
  { name: 'a silent platform', faults: { outage: 'silent' }, changes: 3, lists: 2 },
  {
    name: 'a silent platform, by its own idle time',
    faults: { outage: 'silent' },
    changes: 3,
    lists: 2,
    idleMs: 150,
    watchIdleMs: 60_000,
  },
  {
    name: 'a version that is no longer in the history (410)',
    faults: { outage: 'refuse' },
    changes: 30,
    lists: 2,
  },
];

for (const { name, faults, changes, lists, idleMs, watchIdleMs = 150 } of breaks) {
  test(`a watch catches up after ${name}`, async (t) => {
    const platform = await startStandIn(t, { historyLength: 10, bookmarkMs: 30 });
    const store = connect(t, platform.urls['dc-a'], { watchIdleMs, timeoutMs: 100 });
    const events: WatchEvent<Note>[] = [];
    const idle = idleMs === undefined ? {} : { idleMs };
    store.watch(notes, { ...idle, onEvent: (event) => events.push(event) });
    await until('watching', () => platform.state().entrances['dc-a']?.openWatches === 1);
    platform.setFaults('dc-a', faults);
    await until('the watch broke', () => store.counters.watch.failed > 0);
    for (let n = 1; n <= changes; n += 1) {
      platform.table.create('orders', String(n), `{"text":"${String(n)}"}`);
    }
    assert.deepEqual(replay(events), {});
    platform.setFaults('dc-a', { outage: 'none' });
    await until('caught up', () => Object.keys(replay(events)).length === changes);
    assert.equal(events.filter(({ type }) => type === 'listed').length, lists);
  });
}

// Guards against an operator's change that is accepted but never takes effect: the platform keeps
// every watch open, also reopened ones, and sends nothing. Only a list contains the changes.
test('changes are detected while all watches are open but deliver nothing', async (t) => {
  const platform = await startStandIn(t, { historyLength: 10, bookmarkMs: 30 });
  const store = connect(t, platform.urls['dc-a'], { watchIdleMs: 150, timeoutMs: 100 });
  const events: WatchEvent<Note>[] = [];
  store.watch(notes, { onEvent: (event) => events.push(event) });
  await until('watching', () => platform.state().entrances['dc-a']?.openWatches === 1);
  platform.setFaults('dc-a', { freezeWatch: true });
  platform.table.create('orders', 'a', '{"text":"1"}');
  await until('the first change', () => Object.keys(replay(events)).length === 1);
  platform.table.create('orders', 'b', '{"text":"2"}');
  await until('the second change', () => Object.keys(replay(events)).length === 2);
});

test('a stopped watch delivers nothing and closes its connection', async (t) => {
  const platform = await startStandIn(t);
  const store = connect(t, platform.urls['dc-a']);
  const events: WatchEvent<Note>[] = [];
  const subscription = store.watch(notes, { onEvent: (event) => events.push(event) });
  await until('watching', () => platform.state().entrances['dc-a']?.openWatches === 1);
  subscription.stop();
  platform.table.create('orders', 'a', '{"text":"1"}');
  await until('closed', () => platform.state().entrances['dc-a']?.openWatches === 0);
  assert.equal(events.length, 1);
});

test('the in-memory store injects the same faults', async () => {
  const store = new MemoryObjectStore();
  const other = store.view();
  const events: WatchEvent<Note>[] = [];
  other.watch(notes, { onEvent: (event) => events.push(event) });
  store.faults.lostReplies = 1;
  const lost = await store.create(notes, 'a', { text: '1' });
  assert.ok(lost.isErr && lost.error.effect === 'unknown');
  other.faults.outage = true;
  const read = (await store.get(notes, 'a')).unwrapOrElse(failTest);
  assert.ok((await store.update(notes, 'a', read.version, { text: '2' })).isOk);
  assert.ok((await other.get(notes, 'a')).isErr);
  assert.deepEqual(replay(events), { a: '1' });
  other.faults.outage = false;
  await store.create(notes, 'b', { text: '3' });
  assert.deepEqual(replay(events), { a: '2', b: '3' });
});

// Guards against a watch that ends without a word when one of its receivers throws.
describe('a watch whose receiver throws once', () => {
  for (const thrownAt of ['listed', 'changed', 'removed'] as const) {
    test(`at the first event of type ${thrownAt} reports it, and knows all that follows`, async (t) => {
      const platform = await startStandIn(t);
      const first = platform.table.create('orders', 'a', '{"text":"1"}').unwrapOrElse(failTest);
      const failures: unknown[] = [];
      const store = connect(t, platform.urls['dc-a'], { onFailure: (err) => failures.push(err) });
      const events: WatchEvent<Note>[] = [];
      store.watch(notes, {
        onEvent: (event) => {
          if (event.type === thrownAt && failures.length === 0) throw new Error('thrown once');
          events.push(event);
        },
      });
      await until('listed', () => events.length + failures.length > 0);
      platform.table.create('orders', 'b', '{"text":"2"}');
      platform.table.remove('orders', 'a', first.version);
      platform.table.create('orders', 'c', '{"text":"3"}');
      await until('all changes', () => knows(events, { b: '2', c: '3' }));
      assert.equal(failures.length, 1);
    });
  }
});
