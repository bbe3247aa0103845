/**
 * Chooses the instances of a data centre that hold tokens from the store and lend them to others.
 */

import type { AccountId, DataCentreId } from '../../types/ids.js';
import type { FleetInstance } from '../../types/prepaid.js';
import { rendezvousOrder } from '../../utils/hash.js';

/**
 * Maximum number of instances that all hold tokens from the store. So few instances rarely cause
 * update conflicts.
 */
const MAX_WITHOUT_LENDERS = 10;
/** Lenders in a data centre. With two, the other one serves the accounts of a failed lender. */
const LENDERS_PER_DATA_CENTRE = 2;

/**
 * Returns the lenders of a data centre, in the order in which they replace a failed one. In a small
 * fleet these are all instances. Each instance decides from its own view of the fleet. Different
 * results are safe, because a lender only lends tokens that it holds.
 *
 * @example
 * const isLender = chooseLenders(instances, 'hall-a').some(({ name }) => name === own);
 */
export function chooseLenders(
  instances: readonly FleetInstance[],
  dataCentre: DataCentreId,
): FleetInstance[] {
  if (instances.length <= MAX_WITHOUT_LENDERS) return [...instances];
  return rankLenders(instances, dataCentre).slice(0, LENDERS_PER_DATA_CENTRE);
}

/** Returns all instances of a data centre that could be lenders, in order of preference. */
export function rankLenders(
  instances: readonly FleetInstance[],
  dataCentre: DataCentreId,
): FleetInstance[] {
  const peers = instances.filter((instance) => {
    return instance.dataCentre === dataCentre && instance.meshUrl !== undefined;
  });
  return rendezvousOrder(dataCentre, peers);
}

/**
 * Returns the lenders in the order in which an account's tokens are requested from them.
 *
 * @example
 * const [first, second] = orderLenders(lenders, 'club-7');
 */
export function orderLenders(
  lenders: readonly FleetInstance[],
  account: AccountId,
): FleetInstance[] {
  return rendezvousOrder(account, lenders);
}
