/** Sums of the demand that instances report, with a bounded number of accounts. */

import type { Importance } from '../../types/declaration.js';
import type { RoomByImportance, ServiceDemand } from '../../types/fleetConditions.js';
import type { AccountId, ServiceName } from '../../types/ids.js';

/** Accounts that one message names in all services; the others are summed. */
export const MAX_NAMED_ACCOUNTS = 32;
/** Services in one message. */
export const MAX_REPORTED_SERVICES = 16;

/** Longest name in one message, in bytes of JSON; the other bounds keep messages of such names below 16 KiB. */
const MAX_REPORTED_NAME_BYTES = 80;
const encoder = new TextEncoder();

/** From most to least important. */
export const importances: readonly Importance[] = ['first', 'standard', 'background'];

/**
 * Whether reports name an instance, data centre or service of this name. There is no report on others.
 */
export function isReportedName(name: string): boolean {
  return name !== '' && isShort(name);
}

function isShort(name: string): boolean {
  if (name.length > MAX_REPORTED_NAME_BYTES) return false;
  return encoder.encode(JSON.stringify(name)).length <= MAX_REPORTED_NAME_BYTES;
}

/** No room. */
export function noRoom(): RoomByImportance {
  return { first: 0, standard: 0, background: 0 };
}

/** Room of all importances together. */
export function totalRoom({ first, standard, background }: RoomByImportance): number {
  return first + standard + background;
}

/** Demand for a service that nobody asks for. */
export function noDemand(): ServiceDemand {
  return {
    accounts: {},
    rest: { accounts: 0, room: noRoom() },
    served: 0,
    lateness: 0,
    crowded: false,
  };
}

/**
 * Sums demands by service and account. The number of the accounts without a name is the largest that
 * any one report states, because the same account may be among those of many reports.
 *
 * @example
 * const fleet = sumDemands([own, ...reports.map(({ demand }) => demand)]);
 */
export function sumDemands(
  demands: readonly Record<ServiceName, ServiceDemand>[],
): Record<ServiceName, ServiceDemand> {
  const sums = new Map<ServiceName, ServiceDemand[]>();
  for (const demand of demands) {
    for (const [service, each] of Object.entries(demand)) {
      sums.set(service, [...(sums.get(service) ?? []), each]);
    }
  }
  const entries = [...sums].map(([service, each]) => [service, sumOf(each)] as const);
  return Object.fromEntries(entries);
}

/**
 * Names the heaviest accounts of each service only and adds up the others. The services whose accounts
 * are named divide {@link MAX_NAMED_ACCOUNTS} evenly.
 *
 * @example
 * const message = boundDemand(demand);
 */
export function boundDemand(
  demand: Record<ServiceName, ServiceDemand>,
): Record<ServiceName, ServiceDemand> {
  const services = Object.entries(demand)
    .filter(([service]) => isReportedName(service))
    .toSorted(([, a], [, b]) => Number(b.crowded) - Number(a.crowded) || b.served - a.served)
    .slice(0, MAX_REPORTED_SERVICES);
  const naming = services.filter(([, { accounts }]) => Object.keys(accounts).length > 0).length;
  const most = Math.floor(MAX_NAMED_ACCOUNTS / Math.max(1, naming));
  return Object.fromEntries(services.map(([service, each]) => [service, bounded(each, most)]));
}

/**
 * Adds up all accounts of the services that need no division, so that reports on them are short.
 *
 * @param isNamed whether the accounts of a service are named.
 */
export function summedUnless(
  demand: Record<ServiceName, ServiceDemand>,
  isNamed: (service: ServiceName) => boolean,
): Record<ServiceName, ServiceDemand> {
  const entries = Object.entries(demand).map(([service, each]) => {
    return [service, isNamed(service) ? each : bounded(each, 0)] as const;
  });
  return Object.fromEntries(entries);
}

function bounded(demand: ServiceDemand, most: number): ServiceDemand {
  const byWeight = Object.entries(demand.accounts).toSorted(
    ([, a], [, b]) => totalRoom(b) - totalRoom(a),
  );
  const named: typeof byWeight = [];
  const others: typeof byWeight = [];
  // requests without an account are under the empty name.
  for (const entry of byWeight) {
    (named.length < most && isShort(entry[0]) ? named : others).push(entry);
  }
  if (others.length === 0) return demand;
  const room = { ...demand.rest.room };
  for (const [, each] of others) addRoom(room, each);
  return {
    ...demand,
    accounts: Object.fromEntries(named),
    rest: { accounts: demand.rest.accounts + others.length, room },
  };
}

function sumOf(demands: readonly ServiceDemand[]): ServiceDemand {
  const sum = noDemand();
  const accounts = new Map<AccountId, RoomByImportance>();
  for (const { accounts: named, rest, served, lateness, crowded } of demands) {
    for (const [account, room] of Object.entries(named)) {
      const known = accounts.get(account) ?? noRoom();
      addRoom(known, room);
      accounts.set(account, known);
    }
    sum.rest.accounts = Math.max(sum.rest.accounts, rest.accounts);
    addRoom(sum.rest.room, rest.room);
    const before = sum.served;
    sum.served += served;
    if (sum.served > 0) {
      sum.lateness = (before * sum.lateness + served * lateness) / sum.served;
    }
    sum.crowded ||= crowded;
  }
  sum.accounts = Object.fromEntries(accounts);
  return sum;
}

function addRoom(sum: RoomByImportance, room: RoomByImportance): void {
  for (const importance of importances) sum[importance] += room[importance];
}
