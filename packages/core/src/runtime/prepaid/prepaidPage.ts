/** Reducer of the stored page with the prepaid budgets of one group. */

import type { AccountId, Tokens } from '../../types/ids.js';
import type {
  ForwardedReport,
  PrepaidAccount,
  PrepaidPage,
  PrepaidReport,
  PrepaidReportEntry,
  PrepaidShare,
} from '../../types/prepaid.js';
import { sum } from '../../utils/sum.js';
import { entryOf, hasEntry, setEntry, withoutEntry } from '../../utils/table.js';

/** Creates an empty page. */
export function createPrepaidPage(): PrepaidPage {
  return { accounts: {}, writers: {} };
}

/** Whether a page has already applied a report. */
export function hasReport(page: PrepaidPage, report: PrepaidReport): boolean {
  const writer = entryOf(page.writers, report.instance);
  return writer?.incarnation === report.incarnation && writer.seq >= report.seq;
}

/**
 * Whether the page no longer lists the reporting process, because it did not report for long or
 * because a successor has reported. Its tokens are then in doubt, and the report would count them
 * twice.
 */
export function isFenced(page: PrepaidPage, report: PrepaidReport): boolean {
  return (
    report.seq > 1 && entryOf(page.writers, report.instance)?.incarnation !== report.incarnation
  );
}

/**
 * Whether a page may apply a report that another instance writes: the reporting process is listed, or
 * its predecessor still is if this is its first report.
 *
 * @example
 * canApplyForwarded(page, { group: '0', report, replaces: 'edge-3-1/1' });
 */
export function canApplyForwarded(
  page: PrepaidPage,
  { report, replaces }: ForwardedReport,
): boolean {
  const listed = entryOf(page.writers, report.instance)?.incarnation;
  return listed === (report.seq === 1 ? replaces : report.incarnation);
}

/** Names of the instances of which `after` contains a report that `before` does not. */
export function reportersBetween(before: PrepaidPage, after: PrepaidPage): string[] {
  return Object.keys(after.writers).filter((name) => {
    const [old, now] = [entryOf(before.writers, name), entryOf(after.writers, name)];
    return old?.incarnation !== now?.incarnation || old?.seq !== now?.seq;
  });
}

/**
 * Applies a report and allocates the requested tokens within the group's grant.
 *
 * The first report of a new process of the same instance moves all tokens of its predecessor to
 * `inDoubt`: the predecessor may have spent them since its last report, so they are never granted
 * again. A last report removes the instance from the page.
 *
 * @example
 * const next = applyReport(page, report);
 * const update = await store.update(pages, '0', version, next);
 */
export function applyReport(page: PrepaidPage, report: PrepaidReport): PrepaidPage {
  if (hasReport(page, report) || isFenced(page, report)) return page;
  const { instance, incarnation, seq } = report;
  const before = entryOf(page.writers, instance);
  const replaced = before !== undefined && before.incarnation !== incarnation;
  const accounts = replaced ? moveSharesToInDoubt(page.accounts, instance) : { ...page.accounts };
  for (const [name, entry] of Object.entries(report.entries)) {
    if (isUnreadable(page, name)) continue;
    setEntry(
      accounts,
      name,
      applyEntry(entryOf(accounts, name) ?? emptyPrepaidAccount(), instance, entry),
    );
  }
  const writers = { ...page.writers, [instance]: { incarnation, seq } };
  const next = { ...page, accounts, writers };
  return report.last ? dropWriter(next, instance) : next;
}

/**
 * Removes an instance and moves its tokens to `inDoubt`. If the instance is still alive, its next
 * report is fenced.
 */
export function dropWriter(page: PrepaidPage, instance: string): PrepaidPage {
  if (!hasEntry(page.writers, instance)) return page;
  return {
    ...page,
    accounts: moveSharesToInDoubt(page.accounts, instance),
    writers: withoutEntry(page.writers, instance),
  };
}

/**
 * Whether a stored object has an entry of an account that cannot be read. How much of its budget is spent or
 * held is not known then, so none of it may be allocated.
 */
export function isUnreadable(
  { unreadable }: Pick<PrepaidPage, 'unreadable'>,
  account: AccountId,
): boolean {
  return unreadable !== undefined && hasEntry(unreadable, account);
}

/** Tokens of an account that can still be allocated to instances. */
export function unallocatedPrepaid(account: PrepaidAccount): Tokens {
  return Math.max(0, netGrant(account) - account.spent - account.inDoubt - heldPrepaid(account));
}

/** Tokens of the group's grant that are neither reported as spent nor in doubt. */
export function remainingPrepaid(account: PrepaidAccount | undefined): Tokens {
  if (!account) return 0;
  return Math.max(0, netGrant(account) - account.spent - account.inDoubt);
}

/** Tokens that were granted and not returned. */
export function netGrant({
  granted,
  returned,
}: Pick<PrepaidAccount, 'granted' | 'returned'>): Tokens {
  return granted - returned;
}

/**
 * Returns the tokens that a report requests and the page cannot allocate, by account.
 *
 * @example
 * const shortfalls = prepaidShortfalls(page, report);
 * if (shortfalls.size > 0) await askForGrants(shortfalls);
 */
export function prepaidShortfalls(
  page: PrepaidPage,
  report: PrepaidReport,
): Map<AccountId, Tokens> {
  const shortfalls = new Map<AccountId, Tokens>();
  const after = applyReport(page, report);
  for (const [account, { keeps, wants }] of Object.entries(report.entries)) {
    if (isUnreadable(page, account)) continue;
    const held = entryOf(entryOf(after.accounts, account)?.shares, report.instance)?.held ?? 0;
    const shortfall = keeps + wants - held;
    if (shortfall > 0) shortfalls.set(account, shortfall);
  }
  return shortfalls;
}

/** Tokens that all instances of the group hold. */
export function heldPrepaid(account: PrepaidAccount): Tokens {
  return sum(Object.values(account.shares).map(({ held }) => held));
}

/** Demand at all instances of the group, in tokens per second. */
export function prepaidRate(account: PrepaidAccount | undefined): number {
  return sum(Object.values(account?.shares ?? {}).map(({ rate }) => rate));
}

function applyEntry(
  account: PrepaidAccount,
  instance: string,
  entry: PrepaidReportEntry,
): PrepaidAccount {
  const others = withoutEntry(account.shares, instance);
  const spent = account.spent + entry.spent;
  const withoutWants = { ...account, spent, shares: { ...others, [instance]: shareOf(entry, 0) } };
  const share = shareOf(entry, Math.floor(Math.min(entry.wants, unallocatedPrepaid(withoutWants))));
  // An empty share would only enlarge the page, which each exchange transfers in both directions.
  return share.held === 0 && share.rate === 0
    ? { ...withoutWants, shares: others }
    : { ...withoutWants, shares: { ...others, [instance]: share } };
}

function shareOf({ keeps, rate }: PrepaidReportEntry, allocated: Tokens): PrepaidShare {
  return { held: keeps + allocated, rate };
}

function moveSharesToInDoubt(
  accounts: Record<AccountId, PrepaidAccount>,
  instance: string,
): Record<AccountId, PrepaidAccount> {
  return Object.fromEntries(
    Object.entries(accounts).map(([name, account]) => {
      const lost = entryOf(account.shares, instance);
      if (!lost) return [name, account];
      const shares = withoutEntry(account.shares, instance);
      return [name, { ...account, inDoubt: account.inDoubt + lost.held, shares }];
    }),
  );
}

/** Creates an account without a grant. */
export function emptyPrepaidAccount(): PrepaidAccount {
  return { granted: 0, returned: 0, spent: 0, inDoubt: 0, shares: {} };
}
