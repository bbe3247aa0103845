/** Validates journal lines and applies them, one function per kind of change. */

import type { Bill, JournalFault, JournalHolder, JournalLine } from '../types/journal.js';
import type { IncarnationId, Tokens } from '../types/ids.js';
import type { JournalDraft } from './journalDraft.js';
import { addToIntervals, hasInterval } from '../utils/intervals.js';
import { addToSlice, releaseSlices, editAccount, editHolder } from './journalDraft.js';
import { pool } from './journalTotals.js';
import { entryOf } from '../utils/table.js';

/** Finds a fault that makes a line invalid regardless of the journal's state. */
export function findChangeFault(line: JournalLine): JournalFault | undefined {
  const { change } = line;
  switch (change.type) {
    case 'take':
    case 'give':
    case 'transfer':
      return findAmountFault(change.amount);
    case 'bill':
      return findAmountFault(change.bill.cost) ?? findHolderFault(line, change.bill.holder);
    case 'outcome':
      return findHolderFault(line, change.outcome.holder);
    case 'intent':
    case 'not-run':
    case 'witnesses':
    case 'close':
      return undefined;
  }
}

/** Applies the change of a line. The caller has checked that it is the holder's next line. */
export function applyChange(draft: JournalDraft, holder: JournalHolder, line: JournalLine): void {
  const { change } = line;
  switch (change.type) {
    case 'take':
      take(draft, holder, change.account, change.amount);
      return;
    case 'give':
      addToSlice(holder, change.account, -change.amount);
      return;
    case 'transfer':
      addToSlice(holder, change.account, -change.amount);
      receive(draft, change.to, change.account, change.amount);
      return;
    case 'intent':
      if (!hasInterval(holder.done, change.ticket)) addIntent(holder, change.ticket);
      return;
    case 'bill':
      bill(draft, holder, change.bill);
      return;
    case 'outcome':
      draft.state.outcomes.push(change.outcome);
      complete(draft, holder, change.outcome.ticket);
      return;
    case 'not-run':
      dropIntent(holder, change.ticket);
      return;
    case 'witnesses':
      holder.witnesses = change.witnesses;
      return;
    case 'close':
      holder.state = 'closed';
      releaseSlices(holder);
      return;
  }
}

function take(draft: JournalDraft, holder: JournalHolder, account: string, amount: Tokens): void {
  const taken = Math.min(amount, pool(draft.state, account));
  if (taken > 0) addToSlice(holder, account, taken);
}

/**
 * Credits a transfer. The sender notifies the receiver directly, so the receiver may have spent the
 * tokens and ended before the sender's line arrives. Its slice is then negative, and the credit
 * compensates for it.
 */
function receive(draft: JournalDraft, to: IncarnationId, account: string, amount: Tokens): void {
  const receiver = editHolder(draft, to);
  // An unregistered receiver cannot spend anything, so the tokens return to the pool.
  if (!receiver) return;
  addToSlice(receiver, account, amount);
  if (receiver.state === 'sealed' || receiver.state === 'closed') releaseSlices(receiver);
}

function bill(draft: JournalDraft, holder: JournalHolder, entry: Bill): void {
  // A second bill for a ticket is a fault of its holder, and the caller must not pay for it.
  if (hasInterval(holder.done, entry.ticket)) return;
  addToSlice(holder, entry.account, -entry.cost);
  if (entry.unclaimed === undefined) charge(draft, entry);
  else draft.state.provisional = [...(draft.state.provisional ?? []), entry];
  complete(draft, holder, entry.ticket);
}

/** Adds a bill to the invoice and its cost to the totals. */
export function charge(draft: JournalDraft, entry: Bill): void {
  const totals = editAccount(draft, entry.account);
  totals.spent += entry.cost;
  totals.spentByClass = {
    ...totals.spentByClass,
    [entry.workClass]: (entryOf(totals.spentByClass, entry.workClass) ?? 0) + entry.cost,
  };
  draft.state.bills.push(entry);
}

function complete(draft: JournalDraft, holder: JournalHolder, ticket: number): void {
  holder.done = addToIntervals(holder.done, ticket);
  holder.segments.last = draft.state.segment;
  dropIntent(holder, ticket);
}

function addIntent(holder: JournalHolder, ticket: number): void {
  if (!holder.openIntents.includes(ticket)) holder.openIntents.push(ticket);
}

function dropIntent(holder: JournalHolder, ticket: number): void {
  holder.openIntents = holder.openIntents.filter((open) => open !== ticket);
}

function findAmountFault(amount: Tokens): JournalFault | undefined {
  if (Number.isSafeInteger(amount) && amount >= 0) return undefined;
  return {
    code: 'invalid',
    message: `token amount must be a non-negative integer, got ${amount}.`,
  };
}

function findHolderFault(line: JournalLine, named: IncarnationId): JournalFault | undefined {
  if (named === line.holder) return undefined;
  return {
    code: 'invalid',
    message: `a line of holder "${line.holder}" must not refer to holder "${named}".`,
  };
}
