/** Builds a holder's view of the budgets from its group's page and the data beyond the page. */

import type { AccountId, IncarnationId } from '../../types/ids.js';
import type {
  PrepaidAccountView,
  PrepaidOutlook,
  PrepaidPage,
  PrepaidView,
} from '../../types/prepaid.js';
import { isUnreadable, prepaidRate, remainingPrepaid } from './prepaidPage.js';
import { entryOf } from '../../utils/table.js';

/**
 * Returns the view of one process of an instance. It covers the tokens and the demand of all groups: an instance
 * that sized its tokens by those of its own group alone would hold too few if the callers of an account are at one
 * of several groups.
 *
 * @param outlook the limited accounts, with the data that the page does not contain.
 * @param instances number of instances that share the remaining tokens. @default writers of the page
 * @param otherFetchers number of instances of other groups that hold tokens from the store. @default 0
 */
export function viewOfPage(
  page: PrepaidPage,
  outlook: ReadonlyMap<AccountId, PrepaidOutlook>,
  { instance, incarnation }: { instance: string; incarnation: IncarnationId },
  instances = Object.keys(page.writers).length,
  otherFetchers = 0,
): PrepaidView {
  const accounts = new Map<AccountId, PrepaidAccountView>();
  for (const [name, { elsewhere, othersRate }] of outlook) {
    if (isUnreadable(page, name)) {
      accounts.set(name, { remaining: 0, othersRate: 0 });
      continue;
    }
    const account = entryOf(page.accounts, name);
    const groupRate = prepaidRate(account) - (entryOf(account?.shares, instance)?.rate ?? 0);
    const remaining = remainingPrepaid(account) + elsewhere;
    accounts.set(name, { remaining, othersRate: Math.max(0, groupRate) + othersRate });
  }
  const isRegistered = entryOf(page.writers, instance)?.incarnation === incarnation;
  const fetchers = Math.max(1, Object.keys(page.writers).length) + otherFetchers;
  return { isRegistered, instances: Math.max(1, instances), fetchers, accounts };
}
