/** Shows and changes prepaid budgets. */

import type {
  AccountId,
  BudgetChange,
  JournalState,
  LedgerPage,
  Tokens,
} from '@flamingocourse/core';
import type { Operator } from '../types/operator.js';
import { budgetAuditName, createAudit } from './audit.js';
import {
  changeBudget,
  committed,
  inDoubt,
  openAccount,
  pageOf,
  writeOff,
  entryOf,
} from '@flamingocourse/core';
import { changeLedgerPage, loadLedger } from './ledgerPages.js';
import { CliError, fromStoreError } from '../utils/cliError.js';
import { Result } from 'true-myth';

/** Attempts of a write-off; routers update the same journal, so conflicts are frequent. */
const maxWriteOffAttempts = 10;

/** Budget of one account as operators see it, in tokens. */
export interface BudgetLine {
  account: AccountId;
  limit: Tokens;
  /** Billed tokens that the data centres have reported so far. */
  spent: Tokens;
  /** Held by data centres and not yet billed. */
  held: Tokens;
  /** Limit minus billed tokens. */
  left: Tokens;
  /** Part of `held` that belongs to routers being sealed; no router can spend it. */
  inDoubt: Tokens;
  /** Reduction that takes effect once data centres return tokens. */
  pendingReduction: Tokens;
}

/** Reads the budgets of all accounts. */
export async function showBudgets(operator: Operator): Promise<Result<BudgetLine[], CliError>> {
  const ledger = await loadLedger(operator);
  if (ledger.isErr) return Result.err(ledger.error);
  const journals = await loadJournals(operator);
  if (journals.isErr) return Result.err(journals.error);
  const lines = ledger.value.flatMap((page) => describePage(page, journals.value));
  return Result.ok(lines.sort((a, b) => (a.account < b.account ? -1 : 1)));
}

/** Unspent tokens by account. */
export async function loadBudgets(
  operator: Operator,
): Promise<Result<Map<AccountId, Tokens>, CliError>> {
  const ledger = await loadLedger(operator);
  return ledger.map((pages) => {
    const lines = pages.flatMap((page) => describePage(page, []));
    return new Map(lines.map((line) => [line.account, line.left]));
  });
}

/** Reads the journals of all data centres. */
export async function loadJournals(operator: Operator): Promise<Result<JournalState[], CliError>> {
  const listed = await operator.store.list('journals');
  return listed
    .map((items) => items.map(({ value }) => value as JournalState))
    .mapErr((err) => fromStoreError(err, 'the journals cannot be read'));
}

/**
 * Tops a budget up (positive amount) or reduces it (negative), once per change id.
 *
 * @example
 * await changeAccountBudget(operator, 'altan-shop', { id, amount: 50_000, by: 'oyun', at: now });
 */
export async function changeAccountBudget(
  operator: Operator,
  account: AccountId,
  change: BudgetChange,
): Promise<Result<BudgetLine, CliError>> {
  const changed = await changeLedgerPage(operator, account, (page) =>
    changeBudget(page, account, change).mapErr(
      ({ message }) => new CliError('faults', `The budget was not changed: ${message}`),
    ),
  );
  if (changed.isErr) return Result.err(changed.error);
  const { id, amount, by, at } = change;
  const what = amount < 0 ? 'reduce' : 'top-up';
  const entry = { changeId: id, who: by, what, object: `Budget.${account}`, at, amount } as const;
  // If this fails, the next `history` creates the audit from the change stored in the ledger.
  await createAudit(operator.store, budgetAuditName(account, id), entry);
  const line = describePage(changed.value, []).find((one) => one.account === account);
  if (line) return Result.ok(line);
  return Result.err(new CliError('faults', `There is no budget of "${account}".`));
}

/**
 * Opens the budgets of accounts that have none. This is idempotent and runs on each `apply`, so that
 * it completes a command that failed after it wrote a declaration and before it opened the budget.
 */
export async function openBudgets(
  operator: Operator,
  accounts: readonly { name: AccountId; openingTokens: Tokens }[],
): Promise<Result<AccountId[], CliError>> {
  const ledger = await loadLedger(operator);
  if (ledger.isErr) return Result.err(ledger.error);
  const misplaced = findMisplacedPage(ledger.value, operator.ledgerPages);
  if (misplaced) return Result.err(misplaced);
  const known = new Set(ledger.value.flatMap((page) => Object.keys(page.accounts)));
  const opened: AccountId[] = [];
  for (const { name, openingTokens } of accounts.filter((one) => !known.has(one.name))) {
    const seen = { missing: false };
    const changed = await changeLedgerPage(operator, name, (page) => {
      seen.missing ||= entryOf(page.accounts, name) === undefined;
      return Result.ok(openAccount(page, name, openingTokens, operator.now()));
    });
    if (changed.isErr) return Result.err(changed.error);
    if (seen.missing) opened.push(name);
  }
  return Result.ok(opened);
}

// If the number of pages differs from the routers' setting, a budget would be opened on a page that
// no router reads.
function findMisplacedPage(
  pages: readonly LedgerPage[],
  ledgerPages: number,
): CliError | undefined {
  for (const { page, accounts } of pages) {
    const stray = Object.keys(accounts).find((account) => pageOf(account, ledgerPages) !== page);
    if (stray === undefined) continue;
    const message = `The budget of "${stray}" is on page ${page}, which does not match ${ledgerPages} ledger pages. Set --ledger-pages to the value of budget.ledgerPages in the routers settings.`;
    return new CliError('usage', message);
  }
  return undefined;
}

/**
 * Writes off a holder that can never be sealed because it and one of its witnesses are destroyed.
 * The tokens that it held are billed as unattributed, because lost bills may have spent them.
 */
export async function writeOffHolder(
  operator: Operator,
  dataCentre: string,
  holder: string,
): Promise<Result<'written-off', CliError>> {
  let failure = new CliError('unreachable', 'The journal could not be changed. Try again.');
  // Routers write the journal continuously, so conflicts are frequent. A write-off is idempotent.
  for (let attempts = 0; attempts < maxWriteOffAttempts; attempts += 1) {
    const outcome = await attemptWriteOff(operator, dataCentre, holder);
    if (outcome.isOk) {
      await auditWriteOff(operator, dataCentre, holder);
      return outcome;
    }
    failure = outcome.error;
    if (failure.code !== 'conflict' && failure.code !== 'unreachable') break;
  }
  return Result.err(failure);
}

async function attemptWriteOff(
  operator: Operator,
  dataCentre: string,
  holder: string,
): Promise<Result<'written-off', CliError>> {
  const read = await operator.store.get('journals', dataCentre);
  if (read.isErr) return Result.err(fromStoreError(read.error, 'the journal cannot be read'));
  const before = read.value.value as JournalState;
  const after = writeOff(before, holder, operator.now());
  if (after.isErr) return Result.err(new CliError('faults', after.error.message));
  if (after.value === before) return Result.ok('written-off');
  const { version } = read.value;
  const written = await operator.store.update('journals', dataCentre, version, after.value);
  return written
    .map(() => 'written-off' as const)
    .mapErr((err) => fromStoreError(err, 'the journal cannot be written'));
}

async function auditWriteOff(
  operator: Operator,
  dataCentre: string,
  holder: string,
): Promise<void> {
  const changeId = `write-off.${holder.replaceAll('/', '.')}`;
  const object = `Holder.${dataCentre}.${holder}`;
  const entry = { changeId, who: operator.who, what: 'write-off', object, at: operator.now() };
  await createAudit(operator.store, changeId, { ...entry, what: 'write-off' });
}

function describePage(page: LedgerPage, journals: readonly JournalState[]): BudgetLine[] {
  return Object.entries(page.accounts).map(([account, entry]) => {
    const spent = Object.values(entry.shares).reduce((sum, share) => sum + share.spent, 0);
    return {
      account,
      limit: entry.limit,
      spent,
      held: committed(entry) - spent,
      left: entry.limit - spent,
      inDoubt: journals.reduce((sum, journal) => sum + inDoubt(journal, account), 0),
      pendingReduction: entry.pendingReduction,
    };
  });
}
