/** What a holder sees of its group's page and of what lies beyond it. */

import type { AccountId, IncarnationId } from '../../types/ids.js';
import type {
  PrepaidAccountView,
  PrepaidOutlook,
  PrepaidPage,
  PrepaidView,
} from '../../types/prepaid.js';
import { prepaidRate, remainingPrepaid } from './prepaidPage.js';

/**
 * The view of one process of an instance.
 *
 * @param outlook the limited accounts, with what the page does not show of each.
 * @param instances instances that share what remains. @default those that write to the page
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
