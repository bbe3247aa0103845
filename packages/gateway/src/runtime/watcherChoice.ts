/** Which instances of a data centre watch the store for the others. */

import type { FleetInstance } from '@flamingocourse/core';
import { hash32, rendezvousOrder } from '@flamingocourse/core';

/**
 * Instances of a data centre below which each watches the store by itself. A watcher asks the store
 * more often than it would for itself alone, so that its word stays fresh.
 */
export const MIN_SHARED_INSTANCES = 4;
/**
 * Number of instances that one watcher serves in a data centre of up to its square; in a larger one
 * it is the root of their number, so that the first watcher serves no more watchers than instances.
 */
const INSTANCES_PER_WATCHER = 10;
/**
 * Milliseconds for which a watcher is not asked again, by how it failed. `silent`: it did not answer,
 * so that asking it again would cost the time of a whole call; `refused`: it answered at once that it
 * passes nothing on.
 */
const FAILED_MS: Record<WatcherFailure, number> = { silent: 20_000, refused: 5_000 };
/** Failed watchers after which an instance watches by itself. */
const MAX_FAILED: Record<WatcherFailure, number> = { silent: 3, refused: 6 };

/** How a watcher failed. */
export type WatcherFailure = 'silent' | 'refused';

/** Key of the order in which instances watch the store. */
const ORDER_KEY = 'store watch';

/** Instances that have a mesh address, in the order in which they watch for the others. */
interface Ranking {
  of: readonly FleetInstance[];
  ranked: readonly FleetInstance[];
  /** Number of watchers; the first asks the store, the others follow it. */
  watchers: number;
}

/**
 * Chooses the watcher of one instance. All instances compute the same order, so those that know the
 * same instances have the same watchers, and the same stand-ins for one that does not answer.
 *
 * Whoever is followed asks the store, or follows an instance that comes before it in the order. The
 * order depends on the names alone, so no two can follow each other, whatever they know.
 *
 * @example
 * const choice = new WatcherChoice('edge-4');
 * choice.choose(instances, now)?.name; // 'edge-1'
 * choice.recordFailure('edge-1', 'silent', now);
 */
export class WatcherChoice {
  readonly #self: string;
  /** How each instance failed, and when it may be asked again. */
  readonly #failed = new Map<string, { how: WatcherFailure; until: number }>();
  #ranking: Ranking = { of: [], ranked: [], watchers: 0 };

  constructor(self: string) {
    this.#self = self;
  }

  /**
   * Returns the instance to follow; undefined if this one has to ask the store.
   *
   * @param isFollowed whether others follow this instance.
   */
  choose(
    instances: readonly FleetInstance[],
    isFollowed: boolean,
    now: number,
  ): FleetInstance | undefined {
    for (const [name, { until }] of this.#failed) if (until <= now) this.#failed.delete(name);
    if (this.#hasFailedOften) return undefined;
    if (this.#ranking.of !== instances) this.#ranking = rank(instances);
    const { ranked, watchers } = this.#ranking;
    if (ranked.length < MIN_SHARED_INSTANCES) return undefined;
    const isWatcher = ranked.slice(0, watchers).some(({ name }) => name === this.#self);
    if (isFollowed && !isWatcher) return undefined;
    const order = isWatcher ? ranked.slice(0, 1) : this.#orderOfFollower();
    const chosen = order.find(({ name }) => !this.#failed.has(name));
    return chosen?.name === this.#self ? undefined : chosen;
  }

  recordFailure(name: string, how: WatcherFailure, now: number): void {
    this.#failed.set(name, { how, until: now + FAILED_MS[how] });
  }

  get #hasFailedOften(): boolean {
    const silent = [...this.#failed.values()].filter(({ how }) => how === 'silent').length;
    return silent >= MAX_FAILED.silent || this.#failed.size >= MAX_FAILED.refused;
  }

  /** The own watcher, then the other watchers, then those that stand in for them. */
  #orderOfFollower(): FleetInstance[] {
    const { ranked, watchers } = this.#ranking;
    const first = hash32(this.#self) % watchers;
    const standIns = ranked.slice(watchers);
    return [...ranked.slice(first, watchers), ...ranked.slice(0, first), ...standIns];
  }
}

function rank(instances: readonly FleetInstance[]): Ranking {
  const peers = instances.filter(({ meshUrl }) => meshUrl !== undefined);
  const ranked = rendezvousOrder(ORDER_KEY, peers);
  const each = Math.max(INSTANCES_PER_WATCHER, Math.ceil(Math.sqrt(ranked.length)));
  return { of: instances, ranked, watchers: Math.ceil(ranked.length / each) };
}
