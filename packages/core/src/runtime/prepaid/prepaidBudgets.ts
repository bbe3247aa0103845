/** Reducer of the object that all groups share: membership, and what each group was granted. */

import type { AccountId, Tokens } from '../../types/ids.js';
import type {
  PrepaidBudgets,
  PrepaidGrant,
  PrepaidOutlook,
  PrepaidPage,
} from '../../types/prepaid.js';
import { sum } from '../../utils/sum.js';
import { emptyPrepaidAccount, netGrant, undealtPrepaid } from './prepaidPage.js';

/** Limit of each account, from the configuration in force; an account without one is not limited. */
export type PrepaidLimits = ReadonlyMap<AccountId, Tokens>;

/**
 * Grants that are left for each group in what remains when it asks, so that a group that asks first
 * does not take all. With one group each grant is half of the rest: a budget takes some ten of them.
 */
const GRANT_DIVISOR = 2;

/**
 * Part of what a group would be granted now below which an account runs low there. Then it is filled up
 * when the group asks for another, as all groups write the same object and get in each other's way: one
 * write for several accounts instead of one for each.
 */
const LOW_GRANT_FRACTION = 0.5;

/** Part of a group's even limit below which nothing is given back; each return costs a call. */
const MIN_RETURN_FRACTION = 0.05;

const NO_GRANT: PrepaidGrant = { granted: 0, returned: 0, gone: 0 };

/** Budgets of which nothing was granted, without members. */
export function createPrepaidBudgets(): PrepaidBudgets {
  return { members: {}, grants: {} };
}

/**
 * Puts an instance into the first group with room; one that belongs to a group stays there, also over
 * restarts, so that its new process finds what its predecessor held.
 *
 * @param groupSize most instances of a group.
 */
export function joinGroup(
  budgets: PrepaidBudgets,
  instance: string,
  groupSize: number,
): PrepaidBudgets {
  if (budgets.members[instance] !== undefined) return budgets;
  const groups = Object.values(budgets.members);
  let group = 0;
  while (groups.filter((name) => name === String(group)).length >= groupSize) group += 1;
  return { ...budgets, members: { ...budgets.members, [instance]: String(group) } };
}

/** Takes instances out that stopped or were lost; their places in the group are free again. */
export function leaveGroup(budgets: PrepaidBudgets, instances: readonly string[]): PrepaidBudgets {
  const leaving = instances.filter((instance) => budgets.members[instance] !== undefined);
  if (leaving.length === 0) return budgets;
  const members = Object.entries(budgets.members).filter(([name]) => !leaving.includes(name));
  return { ...budgets, members: Object.fromEntries(members) };
}

/** Instances of a group. */
export function membersOf(budgets: PrepaidBudgets, group: string): string[] {
  return Object.keys(budgets.members).filter((name) => budgets.members[name] === group);
}

/**
 * The group that follows in a ring of all that have members; itself where it is the only one. Each
 * group looks after the next one too, as nobody of a group that was lost whole can.
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
  const grants = Object.values(budgets.grants[account] ?? {});
  return Math.max(0, limit - sum(grants.map(netGrant)));
}

/** The most of an account that can be left anywhere. */
export function leftPrepaid(budgets: PrepaidBudgets, account: AccountId, limit: Tokens): Tokens {
  const grants = Object.values(budgets.grants[account] ?? {});
  return Math.max(0, limit - sum(grants.map(({ gone }) => gone)));
}

/**
 * What a group asks for: the accounts that it lacks, as far as the known grants don't cover them and
 * anything is left; and with them, without a least amount, those that run low.
 *
 * @param page the group's page; it may not have taken in all known grants yet.
 *
 * @example
 * const wanted = wantedGrants(budgets, '0', page, lackingPrepaid(page, report), limits);
 * if (wanted.size > 0) await write(grantPrepaid(budgets, '0', page, wanted, limits));
 */
export function wantedGrants(
  budgets: PrepaidBudgets,
  group: string,
  page: PrepaidPage,
  lacking: ReadonlyMap<AccountId, Tokens>,
  limits: PrepaidLimits,
): Map<AccountId, Tokens> {
  const wanted = new Map<AccountId, Tokens>();
  for (const [account, lacks] of lacking) {
    const stillLacks = lacks - pendingGrant(budgets, group, page, account);
    const rest = ungrantedPrepaid(budgets, account, limits.get(account) ?? 0);
    if (stillLacks > 0 && rest > 0) wanted.set(account, stillLacks);
  }
  if (wanted.size === 0) return wanted;
  const groups = countGroups(budgets);
  for (const [account, limit] of limits) {
    if (wanted.has(account)) continue;
    const fair = fairGrant(ungrantedPrepaid(budgets, account, limit), groups);
    const undealt = undealtPrepaid(page.accounts[account] ?? emptyPrepaidAccount());
    const has = undealt + pendingGrant(budgets, group, page, account);
    if (has < LOW_GRANT_FRACTION * fair) wanted.set(account, 0);
  }
  return wanted;
}

/** What a group was granted of an account and its page does not show yet. */
function pendingGrant(
  budgets: PrepaidBudgets,
  group: string,
  page: PrepaidPage,
  account: AccountId,
): Tokens {
  const granted = budgets.grants[account]?.[group]?.granted ?? 0;
  return Math.max(0, granted - (page.accounts[account]?.granted ?? 0));
}

/** What a group is granted of the rest of an account when it asks without lacking more. */
function fairGrant(rest: Tokens, groups: number): Tokens {
  return rest / (GRANT_DIVISOR * groups);
}

/**
 * Grants a group what it lacks and a part of the rest with it, so that it does not have to ask for each
 * request. What the group's page says of returns and spending is taken in too.
 *
 * @example
 * const next = grantPrepaid(budgets, '0', page, lackingPrepaid(page, report), limits);
 */
export function grantPrepaid(
  budgets: PrepaidBudgets,
  group: string,
  page: PrepaidPage,
  lacking: ReadonlyMap<AccountId, Tokens>,
  limits: PrepaidLimits,
): PrepaidBudgets {
  const known = mergePage(budgets, group, page);
  const groups = countGroups(known);
  const grants = { ...known.grants };
  for (const [account, lacks] of lacking) {
    const rest = ungrantedPrepaid(known, account, limits.get(account) ?? 0);
    const grant = Math.floor(Math.min(rest, Math.max(lacks, fairGrant(rest, groups))));
    const before = grants[account]?.[group] ?? NO_GRANT;
    const after = { ...before, granted: before.granted + grant };
    if (grant > 0) grants[account] = { ...grants[account], [group]: after };
  }
  return { ...known, grants };
}

/** The group's page with all grants that the budgets know; never takes one back. */
export function takeGrants(page: PrepaidPage, budgets: PrepaidBudgets, group: string): PrepaidPage {
  const accounts = { ...page.accounts };
  for (const [name, grants] of Object.entries(budgets.grants)) {
    const granted = grants[group]?.granted ?? 0;
    const account = accounts[name] ?? emptyPrepaidAccount();
    if (granted > account.granted) accounts[name] = { ...account, granted };
  }
  return { ...page, accounts };
}

/**
 * The group's page with all given back that other groups need more: what it has not dealt, beyond twice
 * what it would be granted now. An account's callers come in elsewhere than they did, or the first
 * instances that started were granted tokens before the others had joined; without a way back, others
 * refuse while these tokens lie idle. A group without instances gives back all.
 */
export function returnSurplus(
  page: PrepaidPage,
  outlook: ReadonlyMap<AccountId, PrepaidOutlook>,
): PrepaidPage {
  if (Object.keys(page.writers).length === 0) return returnAll(page);
  const accounts = { ...page.accounts };
  for (const [name, { limitPart, beyond, groups }] of outlook) {
    const account = accounts[name];
    if (!account) continue;
    const undealt = undealtPrepaid(account);
    const fair = (beyond + undealt / groups) / GRANT_DIVISOR;
    const surplus = Math.floor(undealt - fair);
    if (undealt <= GRANT_DIVISOR * fair || surplus < MIN_RETURN_FRACTION * limitPart) continue;
    accounts[name] = { ...account, returned: account.returned + surplus };
  }
  return { ...page, accounts };
}

function returnAll(page: PrepaidPage): PrepaidPage {
  const accounts = Object.entries(page.accounts).map(([name, account]) => {
    return [name, { ...account, returned: account.returned + undealtPrepaid(account) }];
  });
  return { ...page, accounts: Object.fromEntries(accounts) as PrepaidPage['accounts'] };
}

/** Whether the page gave something back that the budgets have not taken in. */
export function hasReturns(page: PrepaidPage, budgets: PrepaidBudgets, group: string): boolean {
  return Object.entries(page.accounts).some(([name, { returned }]) => {
    return returned > (budgets.grants[name]?.[group]?.returned ?? 0);
  });
}

/** What a group needs to know beyond its own page to size its instances' shares. */
export function prepaidOutlook(
  budgets: PrepaidBudgets,
  limits: PrepaidLimits,
): Map<AccountId, PrepaidOutlook> {
  const groups = countGroups(budgets);
  return new Map(
    [...limits].map(([account, limit]) => {
      const beyond = ungrantedPrepaid(budgets, account, limit) / groups;
      return [account, { limitPart: limit / groups, beyond, groups }];
    }),
  );
}

/** Takes in what the page says of returns and spending; both only grow. */
function mergePage(budgets: PrepaidBudgets, group: string, page: PrepaidPage): PrepaidBudgets {
  const grants = { ...budgets.grants };
  for (const [name, { returned, spent, inDoubt }] of Object.entries(page.accounts)) {
    const before = grants[name]?.[group];
    // a page can't have anything of an account before its group was granted some.
    if (!before) continue;
    const after = {
      ...before,
      returned: Math.max(before.returned, returned),
      gone: Math.max(before.gone, spent + inDoubt),
    };
    grants[name] = { ...grants[name], [group]: after };
  }
  return { ...budgets, grants };
}

function countGroups(budgets: PrepaidBudgets): number {
  return Math.max(1, new Set(Object.values(budgets.members)).size);
}
