/** Division of a service's capacity among accounts, and of an account's part among importances. */

import type { Importance } from '../../types/declaration.js';
import type { RoomByImportance, ServiceDemand } from '../../types/fleetConditions.js';
import type { AccountId } from '../../types/ids.js';
import type { MinimumShares } from '../admission/queueDiscipline.js';
import { defaultMinimumShares } from '../admission/queueDiscipline.js';
import { importances, noRoom, totalRoom } from '../conditions/demandSums.js';
import { entryOf } from '../../utils/table.js';

/** Nobody is served less often than all requests together, times this. */
export const LEAST_SERVED = 0.25;
/** Steps by which the level is found; each halves the error. */
const LEVEL_STEPS = 40;

/** Demand of a number of accounts that are alike. */
interface AccountDemand {
  room: number;
  accounts: number;
}

/** How much of each account's demand is admitted. */
export interface RoomLevels {
  /** Room that an account gets at most, in slots; Infinity if all demand fits. */
  level: number;
  /** Fraction of an account's requests of one importance that is admitted, from 0 to 1. */
  fraction(account: AccountId, importance: Importance): number;
}

/**
 * Divides capacity by max-min fairness: accounts that demand no more than the level get all they ask
 * for, the others get the level. An account's part goes to its more important requests first, except
 * for the minimum shares of the less important. No account and no importance is served less than
 * {@link LEAST_SERVED} times as often as all requests together.
 *
 * @example
 * const levels = divideRoom(view.demand['writer'], 6);
 * levels.fraction('acct-1', 'first'); // 1
 */
export function divideRoom(
  demand: ServiceDemand,
  capacity: number,
  shares: MinimumShares = defaultMinimumShares,
): RoomLevels {
  const { accounts, rest } = demand;
  const named = Object.values(accounts).map((room) => ({ room: totalRoom(room), accounts: 1 }));
  const others = { room: totalRoom(rest.room), accounts: Math.max(1, rest.accounts) };
  const parts: AccountDemand[] = [...named, others];
  const total = parts.reduce((sum, { room }) => sum + room, 0);
  if (total <= capacity) return { level: Infinity, fraction: () => 1 };
  const served = Math.max(0, capacity) / total;
  const level = findLevel(parts, capacity, LEAST_SERVED * served);
  const restRoom = scaled(rest.room, 1 / others.accounts);
  const fractions = new Map<AccountId, RoomByImportance>();
  return {
    level,
    fraction(account, importance) {
      const known = fractions.get(account);
      if (known) return known[importance];
      const room = entryOf(accounts, account) ?? restRoom;
      const found = fractionsOf(room, level, LEAST_SERVED * served, shares);
      fractions.set(account, found);
      return found[importance];
    },
  };
}

/** Part of an account at a level, in slots. */
function partOf(room: number, level: number, least: number): number {
  return Math.max(Math.min(room, level), least * room);
}

/** The level at which all parts together are the capacity. */
function findLevel(parts: readonly AccountDemand[], capacity: number, least: number): number {
  let low = 0;
  let high = Math.max(...parts.map(({ room, accounts }) => room / accounts));
  for (let step = 0; step < LEVEL_STEPS; step += 1) {
    const middle = (low + high) / 2;
    const sum = parts.reduce((before, { room, accounts }) => {
      return before + accounts * partOf(room / accounts, middle, least);
    }, 0);
    if (sum > capacity) high = middle;
    else low = middle;
  }
  return low;
}

function fractionsOf(
  room: RoomByImportance,
  level: number,
  least: number,
  shares: MinimumShares,
): RoomByImportance {
  const total = totalRoom(room);
  const part = partOf(total, level, least);
  if (part >= total) return { first: 1, standard: 1, background: 1 };
  const given = noRoom();
  let left = part;
  for (const importance of importances) {
    const asked = room[importance];
    const kept = Math.max(least * asked, Math.min(asked, shares[importance] * part));
    given[importance] = Math.min(left, kept);
    left -= given[importance];
  }
  for (const importance of importances) {
    const more = Math.min(left, room[importance] - given[importance]);
    given[importance] += more;
    left -= more;
  }
  return {
    first: ratio(given.first, room.first),
    standard: ratio(given.standard, room.standard),
    background: ratio(given.background, room.background),
  };
}

/** An importance that nobody has asked for lately is admitted. */
function ratio(given: number, asked: number): number {
  return asked > 0 ? Math.min(1, given / asked) : 1;
}

function scaled({ first, standard, background }: RoomByImportance, by: number): RoomByImportance {
  return { first: by * first, standard: by * standard, background: by * background };
}
