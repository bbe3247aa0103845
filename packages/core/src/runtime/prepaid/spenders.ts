/** Which instances of a data centre hold its rights to spend and lend them to the others. */

import type { AccountId, DataCentreId } from '../../types/ids.js';
import type { FleetInstance } from '../../types/prepaid.js';
import { hash32, rendezvousRank } from '../../utils/hash.js';

/** Instances up to which each holds rights of its own: so few hardly get in each other's way. */
const MAX_WITHOUT_LENDERS = 10;
/** Spenders of a data centre; with two, the accounts of a lost one are served by the other. */
const LENDERS_PER_DATA_CENTRE = 2;

/**
 * The spenders of a data centre, in the order in which a lost one is followed by another. Each instance
 * reckons by what it knows of the fleet; two that disagree do no harm, as both lend what they hold only.
 *
 * @example
 * const isSpender = chooseSpenders(instances, 'hall-a').some(({ name }) => name === own);
 */
export function chooseSpenders(
  instances: readonly FleetInstance[],
  dataCentre: DataCentreId,
): FleetInstance[] {
  if (instances.length <= MAX_WITHOUT_LENDERS) return [...instances];
  return rankSpenders(instances, dataCentre).slice(0, LENDERS_PER_DATA_CENTRE);
}

/** All instances of a data centre that could be its spenders, the likeliest first. */
export function rankSpenders(
  instances: readonly FleetInstance[],
  dataCentre: DataCentreId,
): FleetInstance[] {
  const peers = instances.filter((instance) => {
    return instance.dataCentre === dataCentre && instance.meshUrl !== undefined;
  });
  return byRank(peers, dataCentre);
}

/**
 * Spenders in the order in which one account's tokens are asked of them.
 *
 * @example
 * const [first, second] = orderSpenders(spenders, 'club-7');
 */
export function orderSpenders(
  spenders: readonly FleetInstance[],
  account: AccountId,
): FleetInstance[] {
  return byRank(spenders, account);
}

function byRank(instances: readonly FleetInstance[], key: string): FleetInstance[] {
  const keyHash = hash32(key);
  const rank = ({ name }: FleetInstance): number => rendezvousRank(keyHash, hash32(name));
  return instances.toSorted((a, b) => rank(b) - rank(a));
}
