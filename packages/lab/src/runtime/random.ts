/** Seeded random source of the lab (pure-rand), so that a run can be repeated from its seed. */

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A seeded source of random choices. */
export interface Random {
  /** Integer from `from` to `to`, both inclusive. */
  int(from: number, to: number): number;
  /** Number from 0 up to, not including, 1. */
  fraction(): number;
  /** True with the given probability. */
  chance(probability: number): boolean;
  /** One of the items, with equal probability. Throws a `RangeError` if there are none. */
  pick<T>(items: readonly [T, ...T[]] | readonly T[]): T;
  /** One of the items, with a probability proportional to its weight. */
  pickWeighted<T extends { weight: number }>(items: readonly T[]): T;
}

/**
 * Creates a source of random choices.
 *
 * @example
 * const random = createRandom(7);
 * random.int(1, 6);
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const fraction = (): number => uniformFloat64(generator);
  return {
    fraction,
    int: (from, to) => uniformInt(generator, from, to),
    chance: (probability) => probability > 0 && fraction() < probability,
    pick: (items) => itemAt(items, uniformInt(generator, 0, items.length - 1)),
    pickWeighted: (items) => pickWeighted(items, fraction()),
  };
}

function pickWeighted<T extends { weight: number }>(items: readonly T[], fraction: number): T {
  const total = items.reduce((sum, item) => sum + item.weight, 0);
  let remaining = fraction * total;
  for (const item of items) {
    remaining -= item.weight;
    if (remaining < 0) return item;
  }
  return itemAt(items, items.length - 1);
}

function itemAt<T>(items: readonly T[], index: number): T {
  const item = items[index];
  if (item === undefined) throw new RangeError('cannot pick from an empty list');
  return item;
}
