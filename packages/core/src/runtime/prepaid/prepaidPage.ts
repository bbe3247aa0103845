/** Reducer of the page of one group's prepaid budgets. */

import type { AccountId, Tokens } from '../../types/ids.js';
import type {
  PrepaidAccount,
  PrepaidPage,
  PrepaidReport,
  PrepaidReportEntry,
  PrepaidShare,
} from '../../types/prepaid.js';
import { sum } from '../../utils/sum.js';

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
 * Whether the page has forgotten the process that reports, because it was silent for long or because a
 * successor has reported. What it held is in doubt then: the report would count it a second time.
 */
export function isFenced(page: PrepaidPage, report: PrepaidReport): boolean {
  return report.seq > 1 && page.writers[report.instance]?.incarnation !== report.incarnation;
}

/**
 * Takes a report in. What it wants is dealt as far as the group's grant allows.
 *
 * A report of a new process of the same instance moves all that its predecessor held to `inDoubt`:
 * the predecessor may have spent it since its last report, so it is never granted again. After a last
 * report the page no longer knows the instance.
 *
 * @example
 * const next = applyReport(page, report);
 * const update = await store.update(pages, '0', version, next);
 */
export function applyReport(page: PrepaidPage, report: PrepaidReport): PrepaidPage {
  if (hasReport(page, report) || isFenced(page, report)) return page;
  const { instance, incarnation, seq } = report;
  const before = page.writers[instance];
  const replaced = before !== undefined && before.incarnation !== incarnation;
  const accounts = replaced ? moveSharesToInDoubt(page.accounts, instance) : { ...page.accounts };
  for (const [name, entry] of Object.entries(report.entries)) {
    accounts[name] = applyEntry(accounts[name] ?? emptyPrepaidAccount(), instance, entry);
  }
  const next = { accounts, writers: { ...page.writers, [instance]: { incarnation, seq } } };
  return report.last ? dropWriter(next, instance) : next;
}

/**
 * Forgets an instance; what it holds is in doubt from then on. Should it be alive after all, its next
 * report is fenced.
 */
export function dropWriter(page: PrepaidPage, instance: string): PrepaidPage {
  if (!page.writers[instance]) return page;
  return {
    accounts: moveSharesToInDoubt(page.accounts, instance),
    writers: withoutKey(page.writers, instance),
  };
}

/** Tokens of an account that may be dealt to instances still. */
export function undealtPrepaid(account: PrepaidAccount): Tokens {
  return Math.max(0, netGrant(account) - account.spent - account.inDoubt - heldPrepaid(account));
}

/** Tokens of the group's grant that no report has shown as spent or in doubt. */
export function remainingPrepaid(account: PrepaidAccount | undefined): Tokens {
  if (!account) return 0;
  return Math.max(0, netGrant(account) - account.spent - account.inDoubt);
}

/** Tokens that were granted and not given back. */
export function netGrant({
  granted,
  returned,
}: Pick<PrepaidAccount, 'granted' | 'returned'>): Tokens {
  return granted - returned;
}

/**
 * Tokens that a report wants and the page can't deal, by account.
 *
 * @example
 * const lacking = lackingPrepaid(page, report);
 * if (lacking.size > 0) await askForGrants(lacking);
 */
export function lackingPrepaid(page: PrepaidPage, report: PrepaidReport): Map<AccountId, Tokens> {
  const lacking = new Map<AccountId, Tokens>();
  const after = applyReport(page, report);
  for (const [account, { keeps, wants }] of Object.entries(report.entries)) {
    const held = after.accounts[account]?.shares[report.instance]?.held ?? 0;
    const lacks = keeps + wants - held;
    if (lacks > 0) lacking.set(account, lacks);
  }
  return lacking;
}

/** Tokens that instances hold. */
export function heldPrepaid(account: PrepaidAccount): Tokens {
  return sum(Object.values(account.shares).map(({ held }) => held));
}

/** Demand of all instances in tokens a second. */
export function prepaidRate(account: PrepaidAccount | undefined): number {
  return sum(Object.values(account?.shares ?? {}).map(({ rate }) => rate));
}

function applyEntry(
  account: PrepaidAccount,
  instance: string,
  entry: PrepaidReportEntry,
): PrepaidAccount {
  const others = withoutKey(account.shares, instance);
  const spent = account.spent + entry.spent;
  const kept = { ...account, spent, shares: { ...others, [instance]: shareOf(entry, 0) } };
  const share = shareOf(entry, Math.floor(Math.min(entry.wants, undealtPrepaid(kept))));
  // a share of nothing would only make the page longer, which each exchange carries both ways.
  return share.held === 0 && share.rate === 0
    ? { ...kept, shares: others }
    : { ...kept, shares: { ...others, [instance]: share } };
}

function withoutKey<T>(record: Record<string, T>, key: string): Record<string, T> {
  return Object.fromEntries(Object.entries(record).filter(([name]) => name !== key));
}

function shareOf({ keeps, rate }: PrepaidReportEntry, dealt: Tokens): PrepaidShare {
  return { held: keeps + dealt, rate };
}

function moveSharesToInDoubt(
  accounts: Record<AccountId, PrepaidAccount>,
  instance: string,
): Record<AccountId, PrepaidAccount> {
  return Object.fromEntries(
    Object.entries(accounts).map(([name, account]) => {
      const { [instance]: lost, ...shares } = account.shares;
      if (!lost) return [name, account];
      return [name, { ...account, inDoubt: account.inDoubt + lost.held, shares }];
    }),
  );
}

/** An account of which nothing was granted. */
export function emptyPrepaidAccount(): PrepaidAccount {
  return { granted: 0, returned: 0, spent: 0, inDoubt: 0, shares: {} };
}
