/** Builds a holder's view of the budgets from its group's page and the data beyond the page. */

import type { AccountId, IncarnationId } from '../../types/ids.js';
import type {
  PrepaidAccountView,
  PrepaidOutlook,
  PrepaidPage,
  PrepaidView,
} from '../../types/prepaid.js';
import { prepaidRate, remainingPrepaid } from './prepaidPage.js';

/**
 * Returns the view of one process of an instance.
 *
 * @param outlook the limited accounts, with the data that the page does not contain.
 * @param instances number of instances that share the remaining tokens. @default writers of the page
 */
export function viewOfPage(
  page: PrepaidPage,
  outlook: ReadonlyMap<AccountId, PrepaidOutlook>,
  { instance, incarnation }: { instance: string; incarnation: IncarnationId },
  instances = Object.keys(page.writers).length,
): PrepaidView {
  const accounts = new Map<AccountId, PrepaidAccountView>();
  for (const [name, { beyond }] of outlook) {
    const account = page.accounts[name];
    const othersRate = prepaidRate(account) - (account?.shares[instance]?.rate ?? 0);
    const remaining = remainingPrepaid(account) + beyond;
    accounts.set(name, { remaining, othersRate: Math.max(0, othersRate) });
  }
  const isRegistered = page.writers[instance]?.incarnation === incarnation;
  const fetchers = Math.max(1, Object.keys(page.writers).length);
  return { isRegistered, instances: Math.max(1, instances), fetchers, accounts };
}
