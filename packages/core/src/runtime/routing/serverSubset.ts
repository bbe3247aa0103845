/** Which servers one router uses when there are too many for each router to use all. */

import type { ServerId } from '../../types/ids.js';
import { hash32 } from '../../utils/hash.js';

/**
 * Picks one router's servers. Every router computes the same rounds, so that each server is used by
 * almost equally many routers.
 *
 * @example
 * pool.setSubset(chooseSubset({ routers, self, servers, size: 20 }));
 */
export function chooseSubset(options: {
  /** Ids of all routers that share the servers, self included. */
  routers: readonly string[];
  self: string;
  servers: readonly ServerId[];
  /** Servers per router. */
  size: number;
}): ReadonlySet<ServerId> {
  const { servers, size } = options;
  if (servers.length <= size) return new Set(servers);
  const index = Math.max(0, options.routers.toSorted().indexOf(options.self));
  const subsetsPerRound = Math.floor(servers.length / size);
  const round = Math.floor(index / subsetsPerRound);
  const ranked = servers
    .map((id) => ({ id, rank: hash32(`${round}/${id}`) }))
    .sort((a, b) => a.rank - b.rank || (a.id < b.id ? -1 : 1))
    .map((server) => server.id);
  const start = (index % subsetsPerRound) * size;
  return new Set(ranked.slice(start, start + size));
}
