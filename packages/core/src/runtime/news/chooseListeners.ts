/** Whom an instance tells its news. */

import type { DataCentreId } from '../../types/ids.js';
import type { FleetInstance } from '../../types/prepaid.js';

/**
 * Some of the others at random, all but one of the own data centre: bytes between data centres cost more, and
 * each of them has to hear of it from somebody.
 *
 * @param random numbers from 0 (included) to 1 (excluded).
 * @example
 * for (const peer of chooseListeners(others, 'hall-a', 4, Math.random)) tell(peer);
 */
export function chooseListeners(
  others: readonly FleetInstance[],
  dataCentre: DataCentreId,
  count: number,
  random: () => number,
): FleetInstance[] {
  const shuffled = shuffle(others, random);
  const near = shuffled.filter((other) => other.dataCentre === dataCentre);
  const far = shuffled.filter((other) => other.dataCentre !== dataCentre);
  const farCount = Math.min(far.length, Math.max(1, count - near.length));
  return [...far.slice(0, farCount), ...near.slice(0, count - farCount)];
}

function shuffle<T>(items: readonly T[], random: () => number): T[] {
  return items
    .map((item) => ({ item, rank: random() }))
    .toSorted((a, b) => a.rank - b.rank)
    .map(({ item }) => item);
}
