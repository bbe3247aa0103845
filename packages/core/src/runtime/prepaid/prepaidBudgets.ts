/** Reducer of the object that all groups share: the members and the grants of each group. */

import type { AccountId, Tokens } from '../../types/ids.js';
import type {
  PrepaidBudgets,
  PrepaidGrant,
  PrepaidOutlook,
  PrepaidPage,
} from '../../types/prepaid.js';
import { sum } from '../../utils/sum.js';
import {
  emptyPrepaidAccount,
  isUnreadable,
  netGrant,
  prepaidRate,
  unallocatedPrepaid,
} from './prepaidPage.js';
import { entryOf, setEntry } from '../../utils/table.js';

/** Limit of each account, from the current configuration. An account without one is not limited. */
export type PrepaidLimits = ReadonlyMap<AccountId, Tokens>;

/**
 * Each grant is a group's even share of the ungranted tokens divided by this number, so that the
 * first group to ask does not take everything. With one group, each grant is half of the ungranted
 * tokens, so a budget is used up in about ten grants.
 */
const GRANT_DIVISOR = 2;

/**
 * Fraction of a new grant below which an account runs low in a group. It is then granted together
 * with the next account that the group asks for. All groups write the same object, so one write for
 * several accounts causes fewer update conflicts than one write for each.
 */
const LOW_GRANT_FRACTION = 0.5;

/**
 * Minimum surplus to return, as a fraction of a group's even part of the limit. Each return costs a
 * call to the store.
 */
const MIN_RETURN_FRACTION = 0.05;

const NO_GRANT: PrepaidGrant = { granted: 0, returned: 0, gone: 0 };

/** Creates budgets without grants and members. */
export function createPrepaidBudgets(): PrepaidBudgets {
  return { members: {}, grants: {} };
}

/**
 * Adds an instance to the first group that is not full. An instance stays in its group, also after
 * a restart, so that the new process finds what its predecessor held.
 *
 * @param groupSize maximum number of instances in a group.
 */
export function joinGroup(
  budgets: PrepaidBudgets,
  instance: string,
  groupSize: number,
): PrepaidBudgets {
  if (entryOf(budgets.members, instance) !== undefined) return budgets;
  const groups = Object.values(budgets.members);
  let group = 0;
  while (groups.filter((name) => name === String(group)).length >= groupSize) group += 1;
  return { ...budgets, members: { ...budgets.members, [instance]: String(group) } };
}

/** Removes instances that stopped or failed, and frees their places in the group. */
export function leaveGroup(budgets: PrepaidBudgets, instances: readonly string[]): PrepaidBudgets {
  const leaving = instances.filter((instance) => entryOf(budgets.members, instance) !== undefined);
  if (leaving.length === 0) return budgets;
  const members = Object.entries(budgets.members).filter(([name]) => !leaving.includes(name));
  return { ...budgets, members: Object.fromEntries(members) };
}

/** Returns the instances of a group. */
export function membersOf(budgets: PrepaidBudgets, group: string): string[] {
  return Object.keys(budgets.members).filter((name) => entryOf(budgets.members, name) === group);
}

/**
 * Returns the next group in a ring of all groups that have members, or the group itself if it is
 * the only one. Each group also watches the next group, because no instance is left to do so in a
 * group that failed as a whole.
 */
export function nextGroup(budgets: PrepaidBudgets, group: string): string {
  const groups = [...new Set(Object.values(budgets.members))].map(Number).sort((a, b) => a - b);
  return String(groups.find((other) => other > Number(group)) ?? groups[0] ?? group);
}

/** Tokens of an account that no group holds. */
export function ungrantedPrepaid(
  budgets: PrepaidBudgets,
  account: AccountId,
  limit: Tokens,
): Tokens {
  if (isUnreadable(budgets, account)) return 0;
  const grants = Object.values(entryOf(budgets.grants, account) ?? {});
  return Math.max(0, limit - sum(grants.map(netGrant)));
}

/** Upper bound of the tokens of an account that are left in the whole fleet. */
export function maxRemainingPrepaid(
  budgets: PrepaidBudgets,
  account: AccountId,
  limit: Tokens,
): Tokens {
  const grants = Object.values(entryOf(budgets.grants, account) ?? {});
  return Math.max(0, limit - sum(grants.map(({ gone }) => gone)));
}

/**
 * Returns the grants that a group asks for, with the minimum amount of each: accounts with a
 * shortfall that the known grants do not cover and that have ungranted tokens. If there are any,
 * accounts that run low are added with a minimum of 0.
 *
 * @param page the group's page, which may not include all known grants yet.
 *
 * @example
 * const wanted = wantedGrants(budgets, '0', page, prepaidShortfalls(page, report), limits);
 * if (wanted.size > 0) await write(grantPrepaid(budgets, '0', page, wanted, limits));
 */
export function wantedGrants(
  budgets: PrepaidBudgets,
  group: string,
  page: PrepaidPage,
  shortfalls: ReadonlyMap<AccountId, Tokens>,
  limits: PrepaidLimits,
): Map<AccountId, Tokens> {
  const wanted = new Map<AccountId, Tokens>();
  for (const [account, shortfall] of shortfalls) {
    const uncovered = shortfall - pendingGrant(budgets, group, page, account);
    const ungranted = ungrantedPrepaid(budgets, account, limits.get(account) ?? 0);
    if (uncovered > 0 && ungranted > 0) wanted.set(account, uncovered);
  }
  if (wanted.size === 0) return wanted;
  const groups = countGroups(budgets);
  for (const [account, limit] of limits) {
    if (wanted.has(account) || isUnreadable(page, account)) continue;
    const fair = fairGrant(ungrantedPrepaid(budgets, account, limit), groups);
    const unallocated = unallocatedPrepaid(
      entryOf(page.accounts, account) ?? emptyPrepaidAccount(),
    );
    const available = unallocated + pendingGrant(budgets, group, page, account);
    if (available < LOW_GRANT_FRACTION * fair) wanted.set(account, 0);
  }
  return wanted;
}

/** Tokens of an account that were granted to a group and that its page does not include yet. */
function pendingGrant(
  budgets: PrepaidBudgets,
  group: string,
  page: PrepaidPage,
  account: AccountId,
): Tokens {
  const granted = entryOf(entryOf(budgets.grants, account), group)?.granted ?? 0;
  return Math.max(0, granted - (entryOf(page.accounts, account)?.granted ?? 0));
}

/** Grant to a group from the ungranted tokens, unless its shortfall is larger. */
function fairGrant(ungranted: Tokens, groups: number): Tokens {
  return ungranted / (GRANT_DIVISOR * groups);
}

/**
 * Grants a group its shortfall of each account, or the fair grant if that is larger, so that it
 * does not have to ask again for each request. Also applies the returns, the spending and the demand that
 * the group's page shows.
 *
 * @param reported the page with the report that asks, for its demand.
 *
 * @example
 * const next = grantPrepaid(budgets, '0', page, prepaidShortfalls(page, report), limits);
 */
export function grantPrepaid(
  budgets: PrepaidBudgets,
  group: string,
  page: PrepaidPage,
  shortfalls: ReadonlyMap<AccountId, Tokens>,
  limits: PrepaidLimits,
  reported = page,
): PrepaidBudgets {
  const known = mergePage(budgets, group, page);
  const groups = countGroups(known);
  const grants = { ...known.grants };
  for (const [account, shortfall] of shortfalls) {
    const ungranted = ungrantedPrepaid(known, account, limits.get(account) ?? 0);
    const grant = Math.floor(
      Math.min(ungranted, Math.max(shortfall, fairGrant(ungranted, groups))),
    );
    const before = entryOf(entryOf(grants, account), group) ?? NO_GRANT;
    const rate = prepaidRate(entryOf(reported.accounts, account));
    const after = { ...before, granted: before.granted + grant, rate };
    if (grant > 0) setEntry(grants, account, { ...entryOf(grants, account), [group]: after });
  }
  return { ...known, grants };
}

/** Applies all known grants to the group's page. Never reduces a grant. */
export function takeGrants(page: PrepaidPage, budgets: PrepaidBudgets, group: string): PrepaidPage {
  const accounts = { ...page.accounts };
  for (const [name, grants] of Object.entries(budgets.grants)) {
    if (isUnreadable(page, name)) continue;
    const granted = entryOf(grants, group)?.granted ?? 0;
    const account = entryOf(accounts, name) ?? emptyPrepaidAccount();
    if (granted > account.granted) setEntry(accounts, name, { ...account, granted });
  }
  return { ...page, accounts };
}

/**
 * Returns tokens that other groups are more likely to need: if the unallocated tokens of an account
 * exceed twice the fair grant, all beyond one fair grant is returned. This is needed when the
 * callers of an account move to other instances, or when the first instances to start were granted
 * tokens before the others had joined. Otherwise other groups would refuse requests while these
 * tokens stay unused. A group without instances returns all unallocated tokens.
 */
export function returnSurplus(
  page: PrepaidPage,
  outlook: ReadonlyMap<AccountId, PrepaidOutlook>,
): PrepaidPage {
  if (Object.keys(page.writers).length === 0) return returnAll(page);
  const accounts = { ...page.accounts };
  for (const [name, { limitPart, beyond, groups }] of outlook) {
    const account = entryOf(accounts, name);
    if (!account) continue;
    const unallocated = unallocatedPrepaid(account);
    const fair = (beyond + unallocated / groups) / GRANT_DIVISOR;
    const surplus = Math.floor(unallocated - fair);
    if (unallocated <= GRANT_DIVISOR * fair || surplus < MIN_RETURN_FRACTION * limitPart) continue;
    setEntry(accounts, name, { ...account, returned: account.returned + surplus });
  }
  return { ...page, accounts };
}

function returnAll(page: PrepaidPage): PrepaidPage {
  const accounts = Object.entries(page.accounts).map(([name, account]) => {
    return [name, { ...account, returned: account.returned + unallocatedPrepaid(account) }];
  });
  return { ...page, accounts: Object.fromEntries(accounts) as PrepaidPage['accounts'] };
}

/** Whether the page has returned tokens that the budgets do not include yet. */
export function hasReturns(page: PrepaidPage, budgets: PrepaidBudgets, group: string): boolean {
  return Object.entries(page.accounts).some(([name, { returned }]) => {
    if (isUnreadable(budgets, name)) return false;
    return returned > (entryOf(entryOf(budgets.grants, name), group)?.returned ?? 0);
  });
}

/** Returns the data beyond its own page that a group needs to size the shares of its instances. */
export function prepaidOutlook(
  budgets: PrepaidBudgets,
  limits: PrepaidLimits,
  group: string,
): Map<AccountId, PrepaidOutlook> {
  const groups = countGroups(budgets);
  const others = groupsOf(budgets);
  others.delete(group);
  return new Map(
    [...limits].map(([account, limit]) => {
      const ungranted = ungrantedPrepaid(budgets, account, limit);
      const grants = Object.entries(entryOf(budgets.grants, account) ?? {}).flatMap(
        ([name, grant]) => {
          return others.has(name) ? [grant] : [];
        },
      );
      const unspent = sum(grants.map((grant) => Math.max(0, netGrant(grant) - grant.gone)));
      const othersRate = sum(grants.map(({ rate = 0 }) => rate));
      const outlook = {
        limitPart: limit / groups,
        beyond: ungranted / groups,
        elsewhere: ungranted + unspent,
        othersRate,
        groups,
      };
      return [account, outlook];
    }),
  );
}

/** Merges the returns and the spending that the page shows, by maximum, and its demand. */
function mergePage(budgets: PrepaidBudgets, group: string, page: PrepaidPage): PrepaidBudgets {
  const grants = { ...budgets.grants };
  for (const [name, account] of Object.entries(page.accounts)) {
    const { returned, spent, inDoubt } = account;
    const before = entryOf(entryOf(grants, name), group);
    // Without a grant to the group, its page has no tokens of the account.
    if (!before) continue;
    const after = {
      ...before,
      returned: Math.max(before.returned, returned),
      gone: Math.max(before.gone, spent + inDoubt),
      rate: prepaidRate(account),
    };
    setEntry(grants, name, { ...entryOf(grants, name), [group]: after });
  }
  return { ...budgets, grants };
}

function countGroups(budgets: PrepaidBudgets): number {
  return Math.max(1, groupsOf(budgets).size);
}

/** Groups that have members. */
function groupsOf({ members }: PrepaidBudgets): Set<string> {
  return new Set(Object.values(members));
}
