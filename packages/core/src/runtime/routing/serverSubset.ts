/** Chooses the subset of servers that one router uses if there are too many for it to use all. */

import type { ServerId } from '../../types/ids.js';
import { hash32 } from '../../utils/hash.js';

/**
 * Picks the servers of one router. All routers compute the same rounds, so each server is used by
 * almost the same number of routers.
 *
 * @example
 * pool.setSubset(chooseSubset({ routers, self, servers, size: 20 }));
 */
export function chooseSubset(options: {
  /** Ids of all routers that share the servers, including this one. */
  routers: readonly string[];
  self: string;
  servers: readonly ServerId[];
  /** Number of servers per router. */
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
