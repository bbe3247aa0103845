import type { Bill, JournalChange, JournalLine, JournalState } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  addToIntervals,
  applyLine,
  applyLines,
  checkInvariant,
  createJournal,
  finishSeal,
  inDoubt,
  currentSegment,
  pool,
  pruneHolders,
  recordGrant,
  registerHolder,
  rollSegment,
  startReturn,
  startSeal,
  writeOff,
} from '@flamingocourse/core';

const KIRK = 'kirk';

function billOf(holder: string, ticket: number, cost: number): Bill {
  return {
    holder,
    ticket,
    account: KIRK,
    workClass: 'drafts',
    service: 'llm',
    cost,
    promptTokens: 0,
    completionTokens: cost,
    at: 0,
  };
}

function linesOf(holder: string, ...changes: JournalChange[]): JournalLine[] {
  return changes.map((change, index) => ({ holder, seq: index + 1, change }));
}

function journalWith(...holders: string[]): JournalState {
  const granted = recordGrant(createJournal('dc-a'), KIRK, 1_000);
  return holders.reduce((state, holder) => registerHolder(state, holder, ['w'], 0), granted);
}

function apply(state: JournalState, lines: JournalLine[]): JournalState {
  return applyLines(state, lines).unwrapOrElse((fault) => assert.fail(fault.message));
}

const take = (amount: number): JournalChange => ({ type: 'take', account: KIRK, amount });

const intervalCases = [
  { name: 'is the first', set: [], add: 4, want: [[4, 4]] },
  { name: 'joins two intervals', set: [[1, 3], [5, 6]], add: 4, want: [[1, 6]] }, // prettier-ignore
  { name: 'is not adjacent to an interval', set: [[1, 1]], add: 9, want: [[1, 1], [9, 9]] }, // prettier-ignore
  { name: 'is already contained', set: [[1, 9]], add: 5, want: [[1, 9]] },
] as { name: string; set: [number, number][]; add: number; want: [number, number][] }[];

for (const { name, set, add, want } of intervalCases) {
  test(`done intervals: a number that ${name}`, () => {
    assert.deepEqual(addToIntervals(set, add), want);
  });
}

test('a take gets no more than the pool has, and a give adds to the pool', () => {
  const state = apply(journalWith('a'), linesOf('a', take(700), take(700)));
  assert.equal(state.holders.a?.slices[KIRK], 1_000);
  assert.equal(pool(state, KIRK), 0);
  const given = linesOf('a', take(0), take(0), { type: 'give', account: KIRK, amount: 400 });
  assert.equal(pool(apply(state, given), KIRK), 400);
});

const refusedLines = [
  { name: 'a gap', line: { holder: 'a', seq: 2, change: take(1) }, code: 'gap' },
  { name: 'no registration', line: { holder: 'x', seq: 1, change: take(1) }, code: 'unknown-holder' }, // prettier-ignore
  { name: 'a negative amount', line: { holder: 'a', seq: 1, change: take(-1) }, code: 'invalid' },
  {
    name: "another holder's bill",
    line: { holder: 'a', seq: 1, change: { type: 'bill', bill: billOf('b', 1, 1) } },
    code: 'invalid',
  },
] as { name: string; line: JournalLine; code: string }[];

for (const { name, line, code } of refusedLines) {
  test(`a line with ${name} is refused`, () => {
    const result = applyLine(journalWith('a'), line);
    assert.equal(result.isErr && result.error.code, code);
  });
}

test('lines that arrive twice, also by different routes, are applied once', () => {
  // Guards against a request that is billed twice: the reply to the first write is lost, the holder
  // repeats the write, and its witness writes the same lines as well.
  const lines = linesOf('a', take(500), { type: 'bill', bill: billOf('a', 1, 100) });
  const state = apply(journalWith('a'), lines);
  assert.equal(apply(state, lines), state);
  assert.equal(state.accounts[KIRK]?.spent, 100);
});

test('a ticket billed by two lines is charged once', () => {
  const bill = { type: 'bill', bill: billOf('a', 1, 100) } as const;
  const state = apply(journalWith('a'), linesOf('a', take(500), bill, bill));
  assert.equal(state.accounts[KIRK]?.spent, 100);
  assert.equal(state.bills.length, 1);
});

test('a paused holder that resumes after it was sealed cannot write lines', () => {
  // Guards against an answer that is never billed: a holder was sealed in a pause and bills from a slice that it no longer has.
  const held = apply(journalWith('a'), linesOf('a', take(500)));
  const sealing = startSeal(held, 'a').unwrapOr(held);
  assert.equal(inDoubt(sealing, KIRK), 500);
  const kept: JournalLine = { holder: 'a', seq: 2, change: { type: 'bill', bill: billOf('a', 7, 90) } }; // prettier-ignore
  const late = { ...kept, seq: 3 };
  assert.equal(applyLine(sealing, kept).isErr, true);
  const sealed = finishSeal(sealing, 'a', [kept]).unwrapOr(sealing);
  assert.equal(applyLine(sealed, late).isErr, true);
  assert.equal(pool(sealed, KIRK), 910);
  assert.equal(inDoubt(sealed, KIRK), 0);
  assert.deepEqual(sealed.holders.a?.done, [[7, 7]]);
  assert.equal(finishSeal(sealed, 'a', []).unwrapOr(journalWith()), sealed);
});

test('a receiver sealed before the transfer arrives charges the pool once', () => {
  // Guards against tokens that are lost without being spent: b receives the transfer, bills and is
  // sealed while the transfer line of a is only at a witness. Until the line arrives, the slice of
  // b is negative.
  let state = apply(journalWith('a', 'b'), linesOf('a', take(1_000)));
  // Guards against tokens lost without being spent: b bills from a transfer whose line is only at a witness, and is sealed.
  state = apply(state, linesOf('b', { type: 'bill', bill: billOf('b', 1, 60) }));
  assert.equal(checkInvariant(state), undefined);
  state = startSeal(state, 'b').unwrapOr(state);
  state = finishSeal(state, 'b', []).unwrapOr(state);
  assert.equal(checkInvariant(state), undefined);
  const transfer: JournalChange = { type: 'transfer', to: 'b', account: KIRK, amount: 100 };
  state = apply(state, [{ holder: 'a', seq: 2, change: transfer }]);
  assert.equal(pool(state, KIRK), 40);
  assert.equal(checkInvariant(state), undefined);
});

test('the slice of a holder lost together with its witness is counted as spent, not freed', () => {
  let state = apply(journalWith('a'), linesOf('a', take(300)));
  state = startSeal(state, 'a').unwrapOr(state);
  state = writeOff(state, 'a', 5).unwrapOr(state);
  assert.equal(state.accounts[KIRK]?.spent, 300);
  assert.equal(pool(state, KIRK), 700);
  assert.equal(state.holders.a?.writtenOff, true);
});

test('a return takes tokens from the pool only, and a late copy of a grant has no effect', () => {
  const state = apply(journalWith('a'), linesOf('a', take(800)));
  const returned = startReturn(state, KIRK, 500);
  assert.equal(returned.accounts[KIRK]?.returnedOut, 200);
  assert.equal(recordGrant(returned, KIRK, 900), returned);
});

test('rolling a segment left by a crashed router removes only the bills in that segment', () => {
  // Guards against a bill that is missing from the invoice: a router creates the segment and
  // crashes, and a bill is added before another router rolls the journal.
  const first = linesOf('a', take(500), { type: 'bill', bill: billOf('a', 1, 10) });
  const state = apply(journalWith('a'), first);
  const segment = currentSegment(state);
  const later = apply(state, [
    { holder: 'a', seq: 3, change: { type: 'bill', bill: billOf('a', 2, 20) } },
  ]);
  const rolled = rollSegment(later, segment);
  assert.deepEqual(
    rolled.bills.map((bill) => bill.ticket),
    [2],
  );
  assert.deepEqual(rolled.holders.a?.segments, { first: 0, last: 1 });
  assert.equal(rollSegment(rolled, segment), rolled);
});

test('ended holders are pruned, except those with a negative slice', () => {
  let state = journalWith('a', 'b');
  state = apply(state, linesOf('a', { type: 'bill', bill: billOf('a', 1, 5) }));
  for (const holder of ['a', 'b']) {
    state = startSeal(state, holder).unwrapOr(state);
    state = finishSeal(state, holder, []).unwrapOr(state);
  }
  assert.deepEqual(Object.keys(pruneHolders(state, 0).holders), ['a']);
});
