import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LoanBook, PrepaidHolder, PrepaidSizing } from '@flamingocourse/core';
import { ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { MemoryObjectStore } from '@flamingocourse/store';
import { StoreTokens } from '../../packages/gateway/src/node/storeTokens.js';
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

function createTokens(store: MemoryObjectStore): StoreTokens {
  const context = testContext(new ManualClock(), new MemoryEventLog(), store);
  const holder = new PrepaidHolder({
    instance: 'edge-1',
    process: 'edge-1-1',
    sizing: new PrepaidSizing(),
    maxReportIntervalMs: 120_000,
  });
  return new StoreTokens({
    context,
    holder,
    limits: () => new Map([['shop', LIMIT]]),
    fleetSize: () => 20,
    book: new LoanBook(holder),
    forward: () => Promise.resolve(undefined),
    onExchange: () => undefined,
  });
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
