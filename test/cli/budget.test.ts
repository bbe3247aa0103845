import {
  changeAccountBudget,
  drainServer,
  exportInvoice,
  findInvoiceFault,
  openBudgets,
  readHistory,
  showBudgets,
  undrainServer,
  writeOffHolder,
} from '@flamingocourse/cli';
import type { Bill, JournalState } from '@flamingocourse/core';
import { createOperator, now } from './fixtures.js';
import { MemoryObjectStore } from '@flamingocourse/store';
import assert from 'node:assert/strict';
import { test } from 'node:test';

const holder = 'dc-a/router-1/1';

function bill(ticket: number, cost: number): Bill {
  const tokens = { promptTokens: 1, completionTokens: cost - 1 };
  return {
    holder,
    ticket,
    account: 'altan',
    workClass: 'c',
    service: 's',
    cost,
    ...tokens,
    at: now,
  };
}

function journal(changes: Partial<JournalState> = {}): JournalState {
  const accounts = { altan: { grantedIn: 500, returnedOut: 0, spent: 60 } };
  const base = { dataCentre: 'dc-a', accounts, holders: {}, segment: 2, bills: [bill(3, 30)] };
  return { ...base, outcomes: [], ...changes };
}

// The reply to a top-up is lost and the operator runs the command again with the same change id. If
// it counted twice, the account could spend tokens that were never paid for.
test('a top-up with the same change id counts once, also when its reply was lost', async () => {
  const objects = new MemoryObjectStore();
  const bat = createOperator('bat', objects);
  await openBudgets(bat, [{ name: 'altan', openingTokens: 1_000 }]);
  const change = { id: 'receipt-1', amount: 500, by: 'bat', at: now };
  objects.faults.lostReplies = 1;
  const first = await changeAccountBudget(bat, 'altan', change);
  assert.equal(first.unwrapOr(undefined)?.limit, 1_500);
  const second = await changeAccountBudget(bat, 'altan', change);
  assert.equal(second.unwrapOr(undefined)?.limit, 1_500);
  const history = (await readHistory(bat)).unwrapOr([]);
  assert.deepEqual(
    history.map((one) => [one.object, one.changeId]),
    [
      ['Budget.altan', 'receipt-1'],
      ['Budget.altan', 'opening'],
    ],
  );
});

test('a budget is opened once, however often its account is applied', async () => {
  const bat = createOperator('bat', new MemoryObjectStore());
  const accounts = [{ name: 'altan', openingTokens: 1_000 }];
  assert.deepEqual((await openBudgets(bat, accounts)).unwrapOr([]), ['altan']);
  assert.deepEqual((await openBudgets(bat, accounts)).unwrapOr(['x']), []);
  assert.equal((await showBudgets(bat)).unwrapOr([])[0]?.limit, 1_000);
});

// The command runs with a different number of ledger pages than the routers. Budgets would be opened
// on pages that no router reads, and all requests of these accounts would be refused.
test('a wrong number of ledger pages is refused before a budget is opened', async () => {
  const bat = createOperator('bat', new MemoryObjectStore());
  const names = ['altan', 'nomin', 'khan', 'delger'];
  const accounts = names.map((name) => ({ name, openingTokens: 1 }));
  await openBudgets({ ...bat, ledgerPages: 4 }, accounts);
  const refused = await openBudgets(bat, [{ name: 'new', openingTokens: 1 }]);
  assert.ok(refused.isErr && refused.error.code === 'usage');
  assert.match(refused.error.message, /Set --ledger-pages/);
});

test('a top-up of an unknown account is refused', async () => {
  const bat = createOperator('bat', new MemoryObjectStore());
  const change = { id: '1', amount: 5, by: 'bat', at: now };
  const refused = await changeAccountBudget(bat, 'nobody', change);
  assert.ok(refused.isErr && refused.error.code === 'faults');
});

test('an invoice has one line for each request and adds up to what was billed', async () => {
  const bat = createOperator('bat', new MemoryObjectStore());
  await bat.store.create('journals', 'dc-a', journal());
  const closed = { dataCentre: 'dc-a', number: 1, bills: [bill(1, 10), bill(2, 20)], outcomes: [] };
  await bat.store.create('segments', 'dc-a-1', closed);
  // A segment is created before the journal drops its bills, so these bills are in both.
  const rolling = { dataCentre: 'dc-a', number: 2, bills: [bill(3, 30)], outcomes: [] };
  await bat.store.create('segments', 'dc-a-2', rolling);
  const invoice = (await exportInvoice(bat, 'altan')).unwrapOrElse((err) =>
    assert.fail(err.message),
  );
  assert.deepEqual(
    invoice.lines.map(({ ticket }) => ticket),
    [1, 2, 3],
  );
  assert.equal(findInvoiceFault(invoice), undefined);
});

const invoiceFaults: [string, Partial<JournalState>, RegExp][] = [
  ['a missing segment', { bills: [bill(1, 10)] }, /add up to 10 and 60 was billed/],
  ['a request with two lines', { bills: [bill(1, 30), bill(1, 30)] }, /more than one line: .*#1/],
];

for (const [name, changes, message] of invoiceFaults) {
  test(`an invoice with ${name} has a fault`, async () => {
    const bat = createOperator('bat', new MemoryObjectStore());
    await bat.store.create('journals', 'dc-a', journal(changes));
    const invoice = (await exportInvoice(bat, 'altan')).unwrapOrElse((err) =>
      assert.fail(err.message),
    );
    assert.match(findInvoiceFault(invoice) ?? '', message);
  });
}

// A router and its only witness are destroyed together and their bills are lost. The tokens that the
// router held may have been spent, so they are billed as unattributed and never returned.
test('a write-off bills the tokens of a lost router once', async () => {
  const objects = new MemoryObjectStore();
  const bat = createOperator('bat', objects);
  const lost = {
    state: 'sealing' as const,
    seq: 4,
    witnesses: ['dc-a/router-2/1'],
    slices: { altan: 100 },
    openIntents: [],
    done: [],
    segments: { first: 1, last: 1 },
    since: now,
  };
  await openBudgets(bat, [{ name: 'altan', openingTokens: 1_000 }]);
  await bat.store.create('journals', 'dc-a', journal({ holders: { [holder]: lost } }));
  assert.equal((await showBudgets(bat)).unwrapOr([])[0]?.inDoubt, 100);
  objects.faults.lostReplies = 1;
  for (let run = 0; run < 2; run += 1) {
    assert.ok((await writeOffHolder(bat, 'dc-a', holder)).isOk);
  }
  const read = await bat.store.get('journals', 'dc-a');
  const state = read.unwrapOrElse((err) => assert.fail(err.message)).value as JournalState;
  assert.equal(state.accounts.altan?.spent, 160);
  assert.equal((await showBudgets(bat)).unwrapOr([])[0]?.inDoubt, 0);
});

test('a server is drained and undrained, each once', async () => {
  const bat = createOperator('bat', new MemoryObjectStore());
  const run = async (): Promise<string[]> => [
    (await drainServer(bat, 's', '1')).unwrapOr('unchanged'),
    (await drainServer(bat, 's', '1')).unwrapOr('undrained'),
    (await undrainServer(bat, 's', '1')).unwrapOr('unchanged'),
    (await undrainServer(bat, 's', '1')).unwrapOr('drained'),
  ];
  assert.deepEqual(await run(), ['drained', 'unchanged', 'undrained', 'unchanged']);
});
