/** In which data centres a request may run, by the homes of its route and its client account. */

import type { DataCentreId, Homes, Route, RoutedAccount } from '@flamingocourse/core';
import { entryOf } from '@flamingocourse/core';

/** Regions of data centres, by their names. */
export type Regions = Readonly<Record<DataCentreId, string>>;

/**
 * Returns the data centres in which a request may run; undefined if it has no homes. Where route and
 * account both have homes, both bind. A data centre whose region is unknown is no home.
 *
 * @example
 * homesOf({ homes: ['north'] }, undefined, { 'dc-a': 'north', 'dc-b': 'south' }); // Set { 'dc-a' }
 */
export function homesOf(
  route: Pick<Route, 'homes'>,
  account: Pick<RoutedAccount, 'homes'> | undefined,
  regions: Regions,
): ReadonlySet<DataCentreId> | undefined {
  const binding = [route.homes, account?.homes].filter((homes) => homes !== undefined);
  if (binding.length === 0) return undefined;
  const allowed = Object.entries(regions).filter(([, region]) => {
    return binding.every((homes) => isHome(homes, region));
  });
  return new Set(allowed.map(([dataCentre]) => dataCentre));
}

/**
 * Whether a peer may carry requests to a server: one in another region could be given the body of a
 * request that must not go there.
 *
 * @param peer Data centre of the peer.
 * @param server Data centre of the server.
 * @example
 * mayCarry('dc-b', 'dc-a', { 'dc-a': 'north', 'dc-b': 'south' }); // false
 */
export function mayCarry(peer: DataCentreId, server: DataCentreId, regions: Regions): boolean {
  // a server of an unknown region gets no request with homes.
  return (
    entryOf(regions, server) === undefined || entryOf(regions, peer) === entryOf(regions, server)
  );
}

/** Homes that cannot be read allow no region. */
function isHome(homes: Homes, region: string): boolean {
  return homes !== 'invalid' && homes.includes(region);
}
