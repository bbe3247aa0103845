/** Reads ledger pages and changes them with conditional updates. */

import type { AccountId, LedgerPage } from '@flamingocourse/core';
import { checkLedgerInvariant, createLedgerPage, pageOf } from '@flamingocourse/core';
import { CliError, fromStoreError } from '../utils/cliError.js';
import type { Operator } from '../types/operator.js';
import { Result } from 'true-myth';

/** Data centres also write the pages, so conflicts are frequent; each attempt reads the page again. */
const maxAttempts = 10;

/** Reads all pages of the ledger that exist. */
export async function loadLedger(operator: Operator): Promise<Result<LedgerPage[], CliError>> {
  const listed = await operator.store.list('ledgers');
  return listed
    .map((items) => items.map(({ value }) => value as LedgerPage))
    .mapErr((err) => fromStoreError(err, 'the ledger cannot be read'));
}

/**
 * Changes the page of an account. `change` must be idempotent: after a lost reply the page is read
 * again and `change` is applied to it, whether or not the first write took effect.
 */
export async function changeLedgerPage(
  operator: Operator,
  account: AccountId,
  change: (page: LedgerPage) => Result<LedgerPage, CliError>,
): Promise<Result<LedgerPage, CliError>> {
  let failure = new CliError('unreachable', 'the ledger could not be changed. Try again.');
  for (let attempts = 0; attempts < maxAttempts; attempts += 1) {
    const outcome = await attemptChange(operator, account, change);
    if (outcome.isOk) return outcome;
    failure = outcome.error;
    if (failure.code !== 'conflict' && failure.code !== 'unreachable') break;
  }
  return Result.err(failure);
}

async function attemptChange(
  operator: Operator,
  account: AccountId,
  change: (page: LedgerPage) => Result<LedgerPage, CliError>,
): Promise<Result<LedgerPage, CliError>> {
  const { store } = operator;
  const number = pageOf(account, operator.ledgerPages);
  const name = String(number);
  const read = await store.get('ledgers', name);
  if (read.isErr && read.error.code !== 'not-found') {
    return Result.err(fromStoreError(read.error, 'the ledger cannot be read'));
  }
  const before = read.isOk ? (read.value.value as LedgerPage) : createLedgerPage(number);
  const changed = change(before);
  if (changed.isErr || changed.value === before) return changed;
  if (checkLedgerInvariant(changed.value) !== undefined) {
    return Result.err(new CliError('faults', 'the change would grant more than the budget.'));
  }
  const written = read.isOk
    ? await store.update('ledgers', name, read.value.version, changed.value)
    : await store.create('ledgers', name, changed.value);
  return written
    .map(() => changed.value)
    .mapErr((err) => fromStoreError(err, 'the ledger cannot be written'));
}
