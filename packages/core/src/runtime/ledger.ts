/** Reducer of a ledger page: budgets, and the tokens that each data centre took from them. */

import type { AccountId, DataCentreId, EpochMs, Tokens } from '../types/ids.js';
import type { BudgetChange, LedgerAccount, LedgerPage, LedgerShare } from '../types/ledger.js';
import { Result } from 'true-myth';
import { entryOf } from '../utils/table.js';

/** Id of the change that sets the declared opening budget. */
export const OPENING_CHANGE = 'opening';

/** Number of changes stored per account. Repeating an older change would apply it again. */
const MAX_CHANGES = 100;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Why a change of a budget was refused. */
export interface LedgerFault {
  code: 'unknown-account' | 'invalid-amount' | 'id-reused';
  message: string;
}

/**
 * Finds the page that holds an account.
 *
 * @example
 * pageOf('red-cross-shop', 4); // 0 to 3, the same at every router
 */
export function pageOf(account: AccountId, pages: number): number {
  let hash = FNV_OFFSET;
  for (const byte of new TextEncoder().encode(account)) {
    hash = Math.imul(hash ^ byte, FNV_PRIME) >>> 0;
  }
  return hash % pages;
}

/** Creates an empty page. */
export function createLedgerPage(page: number): LedgerPage {
  return { page, accounts: {} };
}

/** Opens an account with its declared budget. A second call changes nothing. */
export function openAccount(
  page: LedgerPage,
  account: AccountId,
  openingTokens: Tokens,
  now: EpochMs,
): LedgerPage {
  if (entryOf(page.accounts, account)) return page;
  const change = { id: OPENING_CHANGE, amount: openingTokens, by: 'declaration', at: now };
  return withAccount(page, account, {
    limit: openingTokens,
    pendingReduction: 0,
    shares: {},
    changes: [change],
  });
}

/**
 * Tops up or reduces a budget, once per change id. The limit never falls below what data centres
 * hold or have spent; the rest of a reduction stays in `pendingReduction` until they return tokens.
 *
 * @example
 * changeBudget(page, 'red-cross-shop', { id: 'receipt-812', amount: 50_000, by: 'oyun', at: now });
 */
export function changeBudget(
  page: LedgerPage,
  account: AccountId,
  change: BudgetChange,
): Result<LedgerPage, LedgerFault> {
  const entry = entryOf(page.accounts, account);
  if (!entry) return Result.err(unknownAccount(account));
  if (!Number.isSafeInteger(change.amount)) return Result.err(invalidAmount(change.amount));
  const earlier = entry.changes.find((one) => one.id === change.id);
  if (earlier && earlier.amount !== change.amount) return Result.err(idReused(change.id));
  if (earlier) return Result.ok(page);
  const raised = {
    ...entry,
    limit: entry.limit + Math.max(0, change.amount),
    pendingReduction: entry.pendingReduction + Math.max(0, -change.amount),
    changes: [...entry.changes, change].slice(-MAX_CHANGES),
  };
  return Result.ok(withAccount(page, account, settleReduction(raised)));
}

/** Grants a data centre up to `amount` more tokens within the limit. */
export function grant(
  page: LedgerPage,
  account: AccountId,
  dataCentre: DataCentreId,
  amount: Tokens,
): LedgerPage {
  const entry = entryOf(page.accounts, account);
  if (!entry) return page;
  const granted = Math.floor(Math.min(amount, ungranted(entry)));
  if (granted <= 0) return page;
  const share = shareOf(entry, dataCentre);
  return withShare(page, account, dataCentre, { ...share, grantedIn: share.grantedIn + granted });
}

/**
 * Merges the total that a data centre returned, by maximum. A pending reduction takes the returned
 * tokens first.
 */
export function mergeReturned(
  page: LedgerPage,
  account: AccountId,
  dataCentre: DataCentreId,
  returnedOut: Tokens,
): LedgerPage {
  const entry = entryOf(page.accounts, account);
  if (!entry) return page;
  const share = shareOf(entry, dataCentre);
  if (returnedOut <= share.returnedOut) return page;
  const next = withShare(page, account, dataCentre, { ...share, returnedOut });
  const merged = entryOf(next.accounts, account);
  return merged ? withAccount(next, account, settleReduction(merged)) : next;
}

/** Merges the total that a data centre spent, by maximum. */
export function mergeSpent(
  page: LedgerPage,
  account: AccountId,
  dataCentre: DataCentreId,
  spent: Tokens,
  spentByClass: Record<string, Tokens> = {},
): LedgerPage {
  const entry = entryOf(page.accounts, account);
  if (!entry) return page;
  const share = shareOf(entry, dataCentre);
  if (spent <= share.spent) return page;
  return withShare(page, account, dataCentre, { ...share, spent, spentByClass });
}

/** Tokens that no data centre holds or has spent and that no pending reduction needs. */
export function ungranted(entry: LedgerAccount): Tokens {
  return Math.max(0, entry.limit - committed(entry) - entry.pendingReduction);
}

/** Tokens that data centres hold or have spent. */
export function committed(entry: LedgerAccount): Tokens {
  let sum = 0;
  for (const share of Object.values(entry.shares)) sum += share.grantedIn - share.returnedOut;
  return sum;
}

/** Returns the totals of a data centre, all zero if it has taken nothing. */
export function shareOf(entry: LedgerAccount, dataCentre: DataCentreId): LedgerShare {
  return entryOf(entry.shares, dataCentre) ?? { grantedIn: 0, returnedOut: 0, spent: 0 };
}

/** Returns the first account whose grants exceed its limit, or `undefined` if none does. */
export function checkLedgerInvariant(page: LedgerPage): AccountId | undefined {
  const accounts = Object.entries(page.accounts);
  return accounts.find(([, entry]) => committed(entry) > entry.limit)?.[0];
}

function settleReduction(entry: LedgerAccount): LedgerAccount {
  const possible = Math.min(entry.pendingReduction, entry.limit - committed(entry));
  if (possible <= 0) return entry;
  return {
    ...entry,
    limit: entry.limit - possible,
    pendingReduction: entry.pendingReduction - possible,
  };
}

function withAccount(page: LedgerPage, account: AccountId, entry: LedgerAccount): LedgerPage {
  return { ...page, accounts: { ...page.accounts, [account]: entry } };
}

function withShare(
  page: LedgerPage,
  account: AccountId,
  dataCentre: DataCentreId,
  share: LedgerShare,
): LedgerPage {
  const entry = entryOf(page.accounts, account);
  if (!entry) return page;
  return withAccount(page, account, {
    ...entry,
    shares: { ...entry.shares, [dataCentre]: share },
  });
}

function unknownAccount(account: AccountId): LedgerFault {
  return {
    code: 'unknown-account',
    message: `client account "${account}" is not declared; declare it first.`,
  };
}

function invalidAmount(amount: Tokens): LedgerFault {
  return { code: 'invalid-amount', message: `token amount must be an integer, got ${amount}.` };
}

function idReused(id: string): LedgerFault {
  const message = `change id "${id}" was already used with another amount; use a new id.`;
  return { code: 'id-reused', message };
}
