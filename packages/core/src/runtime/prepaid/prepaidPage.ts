/** Reducer of a page of prepaid budgets. */

import type { AccountId, Tokens } from '../../types/ids.js';
import type {
  PrepaidAccount,
  PrepaidPage,
  PrepaidReport,
  PrepaidReportEntry,
} from '../../types/prepaid.js';

/** Limit of each account, from the configuration in force; an account without one is not limited. */
export type PrepaidLimits = ReadonlyMap<AccountId, Tokens>;

/** A page on which nothing was spent. */
export function createPrepaidPage(): PrepaidPage {
  return { accounts: {}, writers: {} };
}

/** Whether a page has taken a report in already. */
export function hasReport(page: PrepaidPage, report: PrepaidReport): boolean {
  const writer = page.writers[report.instance];
  return writer?.incarnation === report.incarnation && writer.seq >= report.seq;
}

/**
 * Takes a report in. What it wants is granted as far as the limit allows.
 *
 * A report of a new process of the same instance moves all that its predecessor held to `inDoubt`:
 * the predecessor may have spent it since its last report, so it is never granted again.
 *
 * @example
 * const next = applyReport(page, report, limits);
 * const update = await store.update(pages, '0', version, next);
 */
export function applyReport(
  page: PrepaidPage,
  report: PrepaidReport,
  limits: PrepaidLimits,
): PrepaidPage {
  if (hasReport(page, report)) return page;
  const { instance, incarnation, seq } = report;
  const before = page.writers[instance];
  const replaced = before !== undefined && before.incarnation !== incarnation;
  const accounts = replaced ? doubtShares(page.accounts, instance) : { ...page.accounts };
  for (const [name, entry] of Object.entries(report.entries)) {
    const limit = limits.get(name) ?? Infinity;
    accounts[name] = applyEntry(accounts[name] ?? emptyAccount(), instance, entry, limit);
  }
  return { accounts, writers: { ...page.writers, [instance]: { incarnation, seq } } };
}

/** Tokens of an account that may be granted still. */
export function ungrantedPrepaid(account: PrepaidAccount, limit: Tokens): Tokens {
  return Math.max(0, limit - account.spent - account.inDoubt - heldPrepaid(account));
}

/** Tokens of an account that no report has shown as spent or in doubt. */
export function remainingPrepaid(account: PrepaidAccount | undefined, limit: Tokens): Tokens {
  return account === undefined ? limit : Math.max(0, limit - account.spent - account.inDoubt);
}

/** Tokens that instances hold. */
export function heldPrepaid(account: PrepaidAccount): Tokens {
  return Object.values(account.shares).reduce((sum, share) => sum + share.held, 0);
}

/** Demand of all instances in tokens a second. */
export function prepaidRate(account: PrepaidAccount | undefined): number {
  return Object.values(account?.shares ?? {}).reduce((sum, share) => sum + share.rate, 0);
}

function applyEntry(
  account: PrepaidAccount,
  instance: string,
  entry: PrepaidReportEntry,
  limit: Tokens,
): PrepaidAccount {
  const kept: PrepaidAccount = {
    ...account,
    spent: account.spent + entry.spent,
    shares: { ...account.shares, [instance]: { held: entry.keeps, rate: entry.rate } },
  };
  const granted = Math.floor(Math.min(entry.wants, ungrantedPrepaid(kept, limit)));
  kept.shares[instance] = { held: entry.keeps + granted, rate: entry.rate };
  return kept;
}

function doubtShares(
  accounts: Record<AccountId, PrepaidAccount>,
  instance: string,
): Record<AccountId, PrepaidAccount> {
  return Object.fromEntries(
    Object.entries(accounts).map(([name, account]) => {
      const lost = account.shares[instance];
      if (!lost) return [name, account];
      const shares = { ...account.shares, [instance]: { held: 0, rate: 0 } };
      return [name, { ...account, inDoubt: account.inDoubt + lost.held, shares }];
    }),
  );
}

function emptyAccount(): PrepaidAccount {
  return { spent: 0, inDoubt: 0, shares: {} };
}
