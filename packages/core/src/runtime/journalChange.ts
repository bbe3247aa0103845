/** Effect of each kind of line on the journal. */

import type { Bill, JournalFault, JournalHolder, JournalLine } from '../types/journal.js';
import type { IncarnationId, Tokens } from '../types/ids.js';
import type { JournalDraft } from './journalDraft.js';
import { addToIntervals, hasInterval } from '../utils/intervals.js';
import { addToSlice, dropFreeSlices, editAccount, editHolder } from './journalDraft.js';
import { pool } from './journalTotals.js';

/** Finds what makes a line unacceptable whatever the state is. */
export function faultInChange(line: JournalLine): JournalFault | undefined {
  const { change } = line;
  switch (change.type) {
    case 'take':
    case 'give':
    case 'transfer':
      return faultInAmount(change.amount);
    case 'bill':
      return faultInAmount(change.bill.cost) ?? faultInHolder(line, change.bill.holder);
    case 'outcome':
      return faultInHolder(line, change.outcome.holder);
    case 'intent':
    case 'not-run':
    case 'witnesses':
    case 'close':
      return undefined;
  }
}

/** Applies the change of a line that is known to be the holder's next. */
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
      dropFreeSlices(holder);
      return;
  }
}

function take(draft: JournalDraft, holder: JournalHolder, account: string, amount: Tokens): void {
  const taken = Math.min(amount, pool(draft.state, account));
  if (taken > 0) addToSlice(holder, account, taken);
}

/**
 * Credits a transfer. The receiver may have been told, have spent the tokens and have ended before
 * the sender's line arrives; then its slice is negative and is made up for here.
 */
function receive(draft: JournalDraft, to: IncarnationId, account: string, amount: Tokens): void {
  const receiver = editHolder(draft, to);
  // a receiver that is not registered here can spend nothing: the tokens fall into the pool.
  if (!receiver) return;
  addToSlice(receiver, account, amount);
  if (receiver.state === 'sealed' || receiver.state === 'closed') dropFreeSlices(receiver);
}

function bill(draft: JournalDraft, holder: JournalHolder, entry: Bill): void {
  // a second bill for one ticket is a fault of its holder; the caller must not pay for it.
  if (hasInterval(holder.done, entry.ticket)) return;
  addToSlice(holder, entry.account, -entry.cost);
  if (entry.unclaimed === undefined) charge(draft, entry);
  else draft.state.provisional = [...(draft.state.provisional ?? []), entry];
  complete(draft, holder, entry.ticket);
}

/** Adds a bill to the invoice and to what was spent. */
export function charge(draft: JournalDraft, entry: Bill): void {
  const totals = editAccount(draft, entry.account);
  totals.spent += entry.cost;
  totals.spentByClass = {
    ...totals.spentByClass,
    [entry.workClass]: (totals.spentByClass?.[entry.workClass] ?? 0) + entry.cost,
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

function faultInAmount(amount: Tokens): JournalFault | undefined {
  if (Number.isSafeInteger(amount) && amount >= 0) return undefined;
  return { code: 'invalid', message: `use a whole, non-negative number of tokens, not ${amount}.` };
}

function faultInHolder(line: JournalLine, named: IncarnationId): JournalFault | undefined {
  if (named === line.holder) return undefined;
  return { code: 'invalid', message: `a line of "${line.holder}" must not name "${named}".` };
}
