/** Chooses the peers through which servers are reached. */

import type { DataCentreId, FleetInstance } from '@flamingocourse/core';

/** Milliseconds for which a peer is asked last after it gave no working tunnel. */
const AVOID_MS = 2_000;

/**
 * Ranks peers: those of the own data centre first, in random order, and those that recently gave no
 * working tunnel last.
 *
 * @example
 * const [first] = peers.inOrder(instances.all, now);
 * peers.recordFailure(first.name, now);
 */
export class TunnelPeers {
  readonly #dataCentre: DataCentreId;
  readonly #random: () => number;
  readonly #avoidUntil = new Map<string, number>();

  constructor(dataCentre: DataCentreId, random: () => number) {
    this.#dataCentre = dataCentre;
    this.#random = random;
  }

  /** Orders the instances that serve peers. */
  inOrder(peers: readonly FleetInstance[], now: number): FleetInstance[] {
    const rank = ({ name, dataCentre }: FleetInstance): number => {
      const isAvoided = now < (this.#avoidUntil.get(name) ?? -Infinity);
      return (isAvoided ? 2 : 0) + (dataCentre === this.#dataCentre ? 0 : 1) + this.#random();
    };
    return peers
      .filter(({ meshUrl }) => meshUrl !== undefined)
      .map((peer) => ({ peer, rank: rank(peer) }))
      .toSorted((a, b) => a.rank - b.rank)
      .map(({ peer }) => peer);
  }

  recordFailure(name: string, now: number): void {
    this.#avoidUntil.set(name, now + AVOID_MS);
  }

  recordSuccess(name: string): void {
    this.#avoidUntil.delete(name);
  }
}
