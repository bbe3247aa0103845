/** Tracks whether the store answers one service. */

import type { GatewayContext } from '../types/context.js';
import { ReachabilityTracker } from './reachabilityTracker.js';

/**
 * Reachability of the store for one service.
 *
 * @example
 * const reachability = new StoreReachability(context, 'directory');
 * store.watch(servers, { onEvent, onUpToDate: (ageMs) => reachability.recordAnswer({}, ageMs), onBreak: (reason) => reachability.recordFailure(reason) });
 */
export class StoreReachability extends ReachabilityTracker {
  /** @param user the service that uses the store, for the log. */
  constructor(context: GatewayContext, user: string) {
    super(context, { lost: 'store-lost', regained: 'store-regained' }, { watch: user });
  }
}
