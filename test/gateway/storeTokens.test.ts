import type { Collection, PlatformResult, VersionedObject } from '@flamingocourse/store';
import type { ForwardReport } from '../../packages/gateway/src/node/prepaidPages.js';
import assert from 'node:assert/strict';
import { EventEmitter, once } from 'node:events';
import { describe, test } from 'node:test';
import { LoanBook, PrepaidHolder, PrepaidSizing } from '@flamingocourse/core';
import { ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { MemoryObjectStore } from '@flamingocourse/store';
import { StoreTokens } from '../../packages/gateway/src/node/storeTokens.js';
import { prepaidPageSchema } from '../../packages/gateway/src/utils/prepaidSchemas.js';
import { testContext } from './testContext.js';

const LIMIT = 1_000_000;
const OTHERS_RATE = 20_000;

// Guards against a lender that takes the store's silence for an unspent budget without any demand, and tells its
// borrowers so.
test('a lender that has lost the store sizes loans by what it last read', async () => {
  const store = new MemoryObjectStore();
  const tokens = createTokens(store);
  writeBudgets(store);
  tokens.hold();
  await tokens.fetch('shop', 1_000, new AbortController().signal);
  const before = tokens.outlook;
  assert.equal(before.accounts.get('shop')?.othersRate, OTHERS_RATE);
  store.faults.outage = true;
  await tokens.fetch('shop', 400_000, new AbortController().signal);
  assert.equal(tokens.isUnreachable, true);
  assert.deepEqual(tokens.outlook, before);
  assert.equal(tokens.view('shop', LIMIT, 0).available, undefined);
  store.faults.outage = false;
  await tokens.stop();
});

/** A store in which another instance changes the page just before each update. */
class ContestedStore extends MemoryObjectStore {
  override update<T>(
    collection: Collection<T>,
    name: string,
    version: string,
    value: T,
  ): PlatformResult<VersionedObject<T>> {
    if (collection.name === 'prepaid-pages') this.#changePage(name);
    return super.update(collection, name, version, value);
  }

  #changePage(name: string): void {
    const object = this.table.get('prepaid-pages', name);
    const page = prepaidPageSchema.parse(JSON.parse(object?.json ?? ''));
    const seq = (page.writers['edge-2']?.seq ?? 0) + 1;
    const writers = { ...page.writers, 'edge-2': { incarnation: 'edge-2-1', seq } };
    this.table.update(
      'prepaid-pages',
      name,
      object?.version ?? '',
      JSON.stringify({ ...page, writers }),
    );
  }
}

/** A store whose calls throw, as a bug in the code that reads a page does. */
class ThrowingStore extends MemoryObjectStore {
  isBroken = false;

  override get<T>(collection: Collection<T>, name: string): PlatformResult<VersionedObject<T>> {
    if (this.isBroken) throw new TypeError('not a page');
    return super.get(collection, name);
  }
}

// Guards against a report that ends the process, and against an error for each request that waits for tokens.
test('a report that throws is logged, and a later one gets tokens', async () => {
  const store = new ThrowingStore();
  const log = new MemoryEventLog();
  const { tokens } = createLender(store, { log });
  writeBudgets(store);
  store.isBroken = true;
  tokens.hold();
  await tokens.fetch('shop', 1_000, new AbortController().signal);
  assert.equal(tokens.free('shop'), 0);
  const failed = log.events.filter(({ event }) => event === 'service-failed');
  assert.equal(failed[0]?.fields.service, 'prepaid');
  store.isBroken = false;
  await tokens.fetch('shop', 1_000, new AbortController().signal);
  assert.ok(tokens.free('shop') >= 1_000);
  await tokens.stop();
});

// Guards against two instances that each wait for the other one to write their reports.
test('an instance that asks another one to write writes for nobody meanwhile', async () => {
  const store = new ContestedStore();
  writeBudgets(store);
  const calls = new EventEmitter();
  const asked = once(calls, 'asked');
  const tokens = createTokens(store, async (writer) => {
    calls.emit('asked', writer);
    await once(calls, 'released');
    return undefined;
  });
  tokens.hold();
  const fetched = tokens.fetch('shop', 1_000, new AbortController().signal);
  assert.deepEqual(await asked, ['edge-2']);
  const report = { instance: 'edge-2', incarnation: 'edge-2-1', seq: 9, last: false, entries: {} };
  const written = await tokens.writeFor({ group: '0', report });
  assert.equal(written.isErr, true);
  calls.emit('released');
  await fetched;
});

// Guards against a lender that forgets between two reports of a borrower what it lacks, where reports are seldom.
describe('what a silent borrower lacks is asked for', () => {
  const cases = [
    { reportMs: 2_000, silentMs: 5_000, kept: true },
    { reportMs: 2_000, silentMs: 7_000, kept: false },
    { reportMs: 5_000, silentMs: 7_000, kept: true },
    { reportMs: 5_000, silentMs: 16_000, kept: false },
  ];
  for (const { reportMs, silentMs, kept } of cases) {
    test(`${String(silentMs)} ms after a report each ${String(reportMs)} ms: ${String(kept)}`, async () => {
      const store = new MemoryObjectStore();
      writeBudgets(store);
      const clock = new ManualClock();
      const { tokens, book } = createLender(store, { clock, reportMs });
      tokens.hold();
      const wants = { spent: 0, keeps: 0, wants: 2 * LIMIT, rate: 0 };
      const report = { instance: 'edge-3', incarnation: 'edge-3-1', seq: 1, last: false };
      book.applyReport({ ...report, entries: { shop: wants } }, {}, clock.now());
      clock.advance(silentMs);
      await tokens.fetch('shop', 1_000, new AbortController().signal);
      assert.equal(book.unmet > 0, kept);
      await tokens.stop();
    });
  }
});

function createTokens(store: MemoryObjectStore, forward?: ForwardReport): StoreTokens {
  return createLender(store, { forward }).tokens;
}

interface LenderOptions {
  clock?: ManualClock;
  reportMs?: number;
  forward?: ForwardReport | undefined;
  log?: MemoryEventLog;
}

function createLender(
  store: MemoryObjectStore,
  { clock = new ManualClock(), reportMs, forward, log = new MemoryEventLog() }: LenderOptions,
): { tokens: StoreTokens; book: LoanBook } {
  const base = testContext(clock, log, store);
  const { prepaid } = base.settings;
  const settings = {
    ...base.settings,
    prepaid: { ...prepaid, reportMs: reportMs ?? prepaid.reportMs },
  };
  const context = { ...base, settings };
  const holder = new PrepaidHolder({
    instance: 'edge-1',
    process: 'edge-1-1',
    sizing: new PrepaidSizing(),
    maxReportIntervalMs: 120_000,
  });
  const book = new LoanBook(holder);
  const tokens = new StoreTokens({
    context,
    holder,
    limits: () => new Map([['shop', LIMIT]]),
    fleetSize: () => 20,
    book,
    forward: forward ?? (() => Promise.resolve(undefined)),
    onExchange: () => undefined,
  });
  return { tokens, book };
}

/** Writes budgets of one account, of which `edge-2` has spent most. */
function writeBudgets({ table }: MemoryObjectStore): void {
  const granted = { granted: LIMIT, returned: 0 };
  const grants = { shop: { 0: { ...granted, gone: 700_000 } } };
  const shares = { 'edge-2': { held: 100_000, rate: OTHERS_RATE } };
  const accounts = { shop: { ...granted, spent: 700_000, inDoubt: 0, shares } };
  const budgets = { members: { 'edge-2': '0' }, grants };
  table.create('prepaid-budgets', 'all', JSON.stringify(budgets));
  const writers = { 'edge-2': { incarnation: 'edge-2-1', seq: 5 } };
  table.create('prepaid-pages', '0', JSON.stringify({ accounts, writers }));
}
