import type { HttpObjectStore, PlatformErrorCode } from '@flamingocourse/store';
import type { PlatformStandIn } from '../../packages/lab/src/node/platformStandIn/index.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { connect, failTest, notes, startStandIn } from './fixtures.js';

type Run = (
  store: HttpObjectStore,
  version: string,
) => Promise<{ isErr: boolean; error?: unknown }>;

const refusals: { name: string; run: Run; code: PlatformErrorCode }[] = [
  { name: 'get of an unknown name', run: (s) => s.get(notes, 'none'), code: 'not-found' },
  {
    name: 'create of a taken name',
    run: (s) => s.create(notes, 'n', { text: 'b' }),
    code: 'exists',
  },
  {
    name: 'update with an old version',
    run: (s) => s.update(notes, 'n', '0', { text: 'b' }),
    code: 'conflict',
  },
  {
    name: 'update of an unknown name',
    run: (s, v) => s.update(notes, 'none', v, { text: 'b' }),
    code: 'not-found',
  },
  { name: 'remove with an old version', run: (s) => s.remove(notes, 'n', '0'), code: 'conflict' },
  {
    name: 'value over the limit',
    run: (s, v) => s.update(notes, 'n', v, { text: 'x'.repeat(2_000) }),
    code: 'too-large',
  },
  {
    name: 'read of a value that does not match the schema',
    run: async (s) => {
      await s.create({ ...notes, schema: notes.schema.catch({ text: '' }) }, 'odd', 7 as never);
      return s.get(notes, 'odd');
    },
    code: 'invalid',
  },
];

for (const { name, run, code } of refusals) {
  test(`${name} gives ${code}`, async (t) => {
    const platform = await startStandIn(t, { maxValueBytes: 1_000 });
    const store = connect(t, platform.urls['dc-a']);
    const created = await store.create(notes, 'n', { text: 'a' });
    assert.ok(created.isOk);
    const result = await run(store, created.value.version);
    assert.ok(result.isErr);
    assert.equal((result.error as { code: string }).code, code);
    assert.equal((result.error as { effect: string }).effect, 'none');
  });
}

test('objects written in one data centre are read in another, names with slashes too', async (t) => {
  const platform = await startStandIn(t);
  const a = connect(t, platform.urls['dc-a']);
  const b = connect(t, platform.urls['dc-b']);
  const name = 'kind/x y';
  const created = (await a.create(notes, name, { text: '1' })).unwrapOrElse(failTest);
  const updated = (await b.update(notes, name, created.version, { text: '2' })).unwrapOrElse(
    failTest,
  );
  assert.ok(Number(updated.version) > Number(created.version));
  assert.deepEqual((await a.list(notes)).unwrapOrElse(failTest).items, [updated]);
  assert.ok((await a.remove(notes, name, updated.version)).isOk);
  assert.equal((await b.list(notes)).unwrapOrElse(failTest).items.length, 0);
});

// Guards against a top-up that is done twice: a write takes effect, its reply is lost, and the
// client reports it as failed without effect, so that it is retried.
const lostWrites: { name: string; run: Run; seen: string | undefined }[] = [
  { name: 'create', run: (s) => s.create(notes, 'new', { text: 'kept' }), seen: 'kept' },
  { name: 'update', run: (s, v) => s.update(notes, 'n', v, { text: 'kept' }), seen: 'kept' },
  { name: 'remove', run: (s, v) => s.remove(notes, 'n', v), seen: undefined },
];

for (const { name, run, seen } of lostWrites) {
  test(`a lost reply to ${name} has an unknown effect, which reading back shows`, async (t) => {
    const platform = await startStandIn(t);
    const store = connect(t, platform.urls['dc-a']);
    const created = (await store.create(notes, 'n', { text: 'a' })).unwrapOrElse(failTest);
    platform.setFaults('dc-a', { lostReplies: 1 });
    const result = await run(store, created.version);
    assert.ok(result.isErr);
    assert.equal((result.error as { code: string }).code, 'unreachable');
    assert.equal((result.error as { effect: string }).effect, 'unknown');
    const readBack = await store.get(notes, name === 'create' ? 'new' : 'n');
    assert.equal(readBack.isOk ? readBack.value.value.text : undefined, seen);
  });
}

// Guards against refusals that are slow in an outage, as each request waits for the whole timeout.
test('during an outage the circuit refuses calls immediately, and closes after it', async (t) => {
  const platform = await startStandIn(t);
  const store = connect(t, platform.urls['dc-a'], { timeoutMs: 60 });
  const other = connect(t, platform.urls['dc-b']);
  platform.setFaults('dc-a', { outage: 'silent' });
  for (let call = 0; call < 3; call += 1) assert.ok((await store.get(notes, 'n')).isErr);
  const sent = store.counters.get.sent;
  const before = performance.now();
  const refused = await store.update(notes, 'n', '1', { text: 'x' });
  assert.ok(performance.now() - before < 30, 'refused without waiting');
  assert.ok(refused.isErr && refused.error.effect === 'none', 'not sent, so without effect');
  assert.equal(store.counters.get.sent, sent);
  assert.equal(store.reachable, false);
  assert.ok(
    (await other.create(notes, 'n', { text: 'b' })).isOk,
    'the other data centre is not affected',
  );
  platform.setFaults('dc-a', { outage: 'none' });
  let read = false;
  while (!read) read = (await store.get(notes, 'n')).isOk;
  assert.equal(store.reachable, true);
});

test('calls over the rate limit are throttled with a retry delay', async (t) => {
  const platform = await startStandIn(t, { writesPerSecond: 2 });
  const store = connect(t, platform.urls['dc-a']);
  const results = [];
  for (const name of ['1', '2', '3']) results.push(await store.create(notes, name, { text: '' }));
  const last = results.at(-1);
  assert.ok(last?.isErr);
  assert.equal(last.error.code, 'throttled');
  assert.equal(last.error.retryAfterMs, 1_000);
  assert.equal(store.reachable, true, 'a platform that throttles is reachable');
});

test('an aborted call ends immediately', async (t) => {
  const platform = await startStandIn(t);
  const store = connect(t, platform.urls['dc-a'], { timeoutMs: 10_000 });
  platform.setFaults('dc-a', { outage: 'silent' });
  const result = await store.get(notes, 'n', { signal: AbortSignal.timeout(20) });
  assert.ok(result.isErr && result.error.code === 'unreachable');
});

// Guards against a router that fails each call to an instance, because its URL is none.
test('an entry of the instance list that cannot be used costs itself alone', async (t) => {
  const platform = await startStandIn(t, { instanceLagMs: 0 });
  const invalid: unknown[] = [];
  const onInvalidInstance = (entry: unknown): void => void invalid.push(entry);
  const store = connect(t, platform.urls['dc-a'], { onInvalidInstance });
  const base = { service: 's', dataCentre: 'dc-a', state: 'live' } as const;
  const usable = { ...base, id: '0', url: 'http://127.0.0.1:1' };
  const odd = ['', 'x y', 'a%zz', 'http://[', 'http://a:99999', 'ftp://a', 'https://a'].map(
    (url, index) => ({ ...base, id: String(index + 1), url }),
  );
  platform.setInstances('s', [...odd, usable]);
  assert.deepEqual((await store.listInstances('s')).unwrapOrElse(failTest), [usable]);
  assert.deepEqual(invalid, odd);
});

test('the instance list is updated with a delay, and a malformed entry is skipped', async (t) => {
  const platform = await startStandIn(t, { instanceLagMs: 80 });
  const store = connect(t, platform.urls['dc-b']);
  const record = {
    service: 's',
    id: '1',
    dataCentre: 'dc-a',
    url: 'http://x',
    state: 'live',
  } as const;
  platform.setInstances('s', [record, { ...record, state: 'odd' as 'live' }]);
  assert.deepEqual((await store.listInstances('s')).unwrapOrElse(failTest), []);
  let seen: unknown[] = [];
  const poll = async (): Promise<void> => {
    while (seen.length === 0) seen = (await store.listInstances('s')).unwrapOr([]);
  };
  await poll();
  assert.deepEqual(seen, [record]);
});

async function control(platform: PlatformStandIn, path: string, body?: object): Promise<Response> {
  const init = body ? { method: 'POST', body: JSON.stringify(body) } : {};
  return fetch(`${platform.operatorsUrl}/control/${path}`, init);
}

test('faults can be set and the state can be read over HTTP', async (t) => {
  const platform = await startStandIn(t);
  const store = connect(t, platform.urls['dc-a']);
  assert.equal((await control(platform, 'faults', { outage: 'refuse' })).status, 200);
  assert.ok((await store.get(notes, 'n')).isErr);
  assert.equal((await control(platform, 'faults', { outage: 'odd' })).status, 400);
  assert.equal((await control(platform, 'faults', { dataCentre: 'none' })).status, 400);
  const state = (await (await control(platform, 'state')).json()) as ReturnType<
    PlatformStandIn['state']
  >;
  assert.equal(state.entrances['dc-a']?.faults.outage, 'refuse');
  assert.equal(state.entrances['dc-a'].counters.get, 1);
  assert.equal(
    state.entrances.operators?.faults.outage,
    'none',
    'the entrance for operators is not affected',
  );
});

// Guards against calls of which nobody can say afterwards who made them.
test('calls are counted by kind and collection', async (t) => {
  const platform = await startStandIn(t);
  const store = connect(t, platform.urls['dc-a']);
  await store.create(notes, 'n', { text: 'a' });
  await store.get(notes, 'n');
  await store.get(notes, 'n');
  await store.list(notes);
  assert.deepEqual(
    store.collectionCalls.map(({ kind, collection, sent }) => [kind, collection, sent]),
    [
      ['create', notes.name, 1],
      ['get', notes.name, 2],
      ['list', notes.name, 1],
    ],
  );
});
