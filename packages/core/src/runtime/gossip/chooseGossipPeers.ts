/** Chooses the peers to which an instance gossips. */

import type { DataCentreId } from '../../types/ids.js';
import type { FleetInstance } from '../../types/prepaid.js';

/**
 * Picks peers at random. One is from another data centre and the rest are local, because traffic
 * between data centres costs more but must reach each of them. More remote peers are picked only if
 * there are too few local ones.
 *
 * @param random numbers from 0 (included) to 1 (excluded).
 * @example
 * for (const peer of chooseGossipPeers(others, 'hall-a', 4, Math.random)) exchange(peer);
 */
export function chooseGossipPeers(
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
