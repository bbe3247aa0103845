/** Which instance collects the reports of which others. */

import type { FleetInstance } from '../../types/prepaid.js';
import { hash32, rendezvousOrder } from '../../utils/hash.js';

/**
 * Instances that one collector serves in a data centre of up to its square; in a larger one it is the
 * root of their number. One call costs each end about half a millisecond of processor time, so 12 that
 * call every half second cost a collector 1.2 % of a core.
 */
const INSTANCES_PER_COLLECTOR = 12;
/** Size of a group above which its members report less often, so that its collector keeps up. */
const FREQUENT_GROUP = 16;
/** Number of collectors above which the first one serves only the others. */
const MAX_SHARED_FIRST = 3;
/** Milliseconds for which an instance that did not answer is not asked again. */
const FAILED_MS = 5_000;
/** Key of the order; another one than that of the watches, so that the same instance has not both. */
const ORDER_KEY = 'conditions';

/**
 * Chooses the instance to which one instance reports. All instances compute the same order, by
 * rendezvous hashing of the names. In a large data centre there are several collectors, and the first
 * in the order collects their sums.
 *
 * An instance to which others report, reports only to one that comes before it in the order, so no
 * two sum up each other's sums.
 *
 * @example
 * const order = new CollectorOrder('edge-4');
 * order.choose(instances, false, now)?.name; // 'edge-1'
 * order.recordFailure('edge-1', now);
 */
export class CollectorOrder {
  readonly #self: string;
  /** Until when each instance that failed is left out. */
  readonly #failed = new Map<string, number>();
  #ranked: { of: readonly FleetInstance[]; order: FleetInstance[] } = { of: [], order: [] };

  constructor(self: string) {
    this.#self = self;
  }

  recordFailure(name: string, now: number): void {
    this.#failed.set(name, now + FAILED_MS);
  }

  /**
   * Returns the instance to report to; undefined if this is the first collector of the data centre.
   *
   * @param instances those of the own data centre.
   * @param isCollecting whether others report to this instance.
   */
  choose(
    instances: readonly FleetInstance[],
    isCollecting: boolean,
    now: number,
  ): FleetInstance | undefined {
    const order = this.#orderOf(instances);
    const own = order.findIndex(({ name }) => name === this.#self);
    const collectors = collectorCount(order.length);
    const isCollector = isCollecting || (own >= 0 && own < collectors);
    const candidates = isCollector ? before(order, own) : groupOrder(order, collectors, this.#self);
    return this.#firstUsable(candidates, now);
  }

  /** The first collector of another data centre; undefined if none of its instances answers. */
  firstOf(instances: readonly FleetInstance[], now: number): FleetInstance | undefined {
    const ranked = rendezvousOrder(ORDER_KEY, instances.filter(servesPeers));
    return this.#firstUsable(ranked, now);
  }

  /** Factor by which the instances of a large data centre report less often. */
  intervalFactor(instances: readonly FleetInstance[]): number {
    return Math.max(1, groupSize(instances.length) / FREQUENT_GROUP);
  }

  #firstUsable(candidates: readonly FleetInstance[], now: number): FleetInstance | undefined {
    for (const [name, until] of this.#failed) if (until <= now) this.#failed.delete(name);
    const chosen = candidates.find(({ name }) => !this.#failed.has(name));
    return chosen?.name === this.#self ? undefined : chosen;
  }

  #orderOf(instances: readonly FleetInstance[]): FleetInstance[] {
    if (this.#ranked.of !== instances) {
      const order = rendezvousOrder(ORDER_KEY, instances.filter(servesPeers));
      this.#ranked = { of: instances, order };
    }
    return this.#ranked.order;
  }
}

/** The own collector, then the other collectors, then those that stand in for them. */
function groupOrder(order: FleetInstance[], collectors: number, self: string): FleetInstance[] {
  if (collectors === 0) return [];
  const first = firstChoice(hash32(self), collectors);
  return [...order.slice(first, collectors), ...order.slice(0, first), ...order.slice(collectors)];
}

/** Instances before one; all of them for an instance that is not listed yet. */
function before(order: FleetInstance[], own: number): FleetInstance[] {
  return own < 0 ? order : order.slice(0, own);
}

function firstChoice(hash: number, collectors: number): number {
  return collectors > MAX_SHARED_FIRST ? 1 + (hash % (collectors - 1)) : hash % collectors;
}

function collectorCount(instances: number): number {
  return Math.ceil(instances / groupSize(instances));
}

function groupSize(instances: number): number {
  return Math.max(INSTANCES_PER_COLLECTOR, Math.ceil(Math.sqrt(instances)));
}

function servesPeers({ meshUrl }: FleetInstance): boolean {
  return meshUrl !== undefined;
}
