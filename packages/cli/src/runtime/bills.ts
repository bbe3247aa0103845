/** Exports invoices: one line per billed request, checked against the total that was billed. */

import type { AccountId, Bill, BillSegment, JournalState, Tokens } from '@flamingocourse/core';
import type { CliError } from '../utils/cliError.js';
import { entryOf } from '@flamingocourse/core';
import { fromStoreError } from '../utils/cliError.js';
import type { Operator } from '../types/operator.js';
import { Result } from 'true-myth';
import { loadJournals } from './budget.js';

/** An invoice of one account. */
export interface Invoice {
  account: AccountId;
  lines: Bill[];
  /** Sum of the lines. */
  total: Tokens;
  /** Total billed according to the journals; differs from `total` only after a fault. */
  billed: Tokens;
  /** Requests with more than one line; empty unless there is a fault. */
  repeated: string[];
}

/**
 * Collects the bills of an account from all data centres.
 *
 * @example
 * const invoice = await exportInvoice(operator, 'altan-shop');
 */
export async function exportInvoice(
  operator: Operator,
  account: AccountId,
): Promise<Result<Invoice, CliError>> {
  // Journals are read first: bills of a segment that is closed in the meantime are still in the
  // journal read here.
  const journals = await loadJournals(operator);
  if (journals.isErr) return Result.err(journals.error);
  const lines: Bill[] = [];
  for (const journal of journals.value) {
    const closed = await readClosedBills(operator, journal);
    if (closed.isErr) return Result.err(closed.error);
    lines.push(...[...closed.value, ...journal.bills].filter((bill) => bill.account === account));
  }
  const billed = journals.value.reduce(
    (sum, journal) => sum + (entryOf(journal.accounts, account)?.spent ?? 0),
    0,
  );
  return Result.ok(createInvoice(account, lines, billed));
}

/** Returns a message about a fault of an invoice, or `undefined`. */
export function findInvoiceFault(invoice: Invoice): string | undefined {
  if (invoice.repeated.length > 0) {
    return `These requests have more than one line: ${invoice.repeated.join(', ')}. Report it.`;
  }
  if (invoice.total === invoice.billed) return undefined;
  return `The lines add up to ${invoice.total} and ${invoice.billed} was billed. Report it.`;
}

async function readClosedBills(
  operator: Operator,
  journal: JournalState,
): Promise<Result<Bill[], CliError>> {
  const bills: Bill[] = [];
  for (let number = 0; number < journal.segment; number += 1) {
    const read = await operator.store.get('segments', `${journal.dataCentre}-${number}`);
    if (read.isOk) bills.push(...(read.value.value as BillSegment).bills);
    // Numbering may begin at 1. Any other gap makes `total` differ from `billed`.
    else if (read.error.code !== 'not-found') {
      return Result.err(fromStoreError(read.error, 'a segment of bills cannot be read'));
    }
  }
  return Result.ok(bills);
}

function createInvoice(account: AccountId, lines: Bill[], billed: Tokens): Invoice {
  const seen = new Set<string>();
  const repeated: string[] = [];
  let total = 0;
  for (const bill of lines) {
    const request = `${bill.holder}#${bill.ticket}`;
    if (seen.has(request) && bill.service !== 'unattributed') repeated.push(request);
    seen.add(request);
    total += bill.cost;
  }
  const sorted = lines.sort((a, b) => a.at - b.at);
  return { account, lines: sorted, total, billed, repeated };
}
