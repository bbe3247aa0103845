/** Chooses the peers through which servers are reached. */

import type { DataCentreId, FleetInstance } from '@flamingocourse/core';

/** Milliseconds for which a peer is asked last after it gave no working tunnel. */
const AVOID_MS = 2_000;

/** Rank of a peer through which a server has answered; lower ranks are asked first. */
const PROVEN_RANK = 0;
const UNKNOWN_RANK = 2;
const AVOIDED_RANK = 4;

/**
 * Ranks peers: those through which a server has answered first, and those that recently gave no
 * working tunnel last; among equals the own data centre first, in random order. Where nothing is
 * known, one of another data centre comes second, as all of the own one may have lost their links.
 *
 * @example
 * const [first] = peers.inOrder(instances.all, now);
 * peers.recordFailure(first.name, now);
 */
export class TunnelPeers {
  readonly #dataCentre: DataCentreId;
  readonly #random: () => number;
  readonly #avoidUntil = new Map<string, number>();
  readonly #proven = new Set<string>();

  constructor(dataCentre: DataCentreId, random: () => number) {
    this.#dataCentre = dataCentre;
    this.#random = random;
  }

  /** Orders the instances that serve peers. */
  inOrder(peers: readonly FleetInstance[], now: number): FleetInstance[] {
    const rank = (peer: FleetInstance): number =>
      this.#rank(peer.name, now) + (this.#isNear(peer) ? 0 : 1) + this.#random();
    const ordered = peers
      .filter(({ meshUrl }) => meshUrl !== undefined)
      .map((peer) => ({ peer, rank: rank(peer) }))
      .toSorted((a, b) => a.rank - b.rank)
      .map(({ peer }) => peer);
    return this.#withFarSecond(ordered);
  }

  /** Records that a server answered through a peer. */
  recordProven(name: string): void {
    this.#avoidUntil.delete(name);
    this.#proven.add(name);
  }

  /** Records that a peer gave no tunnel, or one on which a server did not answer. */
  recordFailure(name: string, now: number): void {
    this.#proven.delete(name);
    this.#avoidUntil.set(name, now + AVOID_MS);
  }

  /** Records that some tunnel does not work any more, and it is not known which. */
  recordDoubt(): void {
    this.#proven.clear();
  }

  #rank(name: string, now: number): number {
    if (this.#proven.has(name)) return PROVEN_RANK;
    return now < (this.#avoidUntil.get(name) ?? -Infinity) ? AVOIDED_RANK : UNKNOWN_RANK;
  }

  #isNear({ dataCentre }: FleetInstance): boolean {
    return dataCentre === this.#dataCentre;
  }

  #withFarSecond(ordered: FleetInstance[]): FleetInstance[] {
    const [first, ...rest] = ordered;
    if (!first || this.#proven.has(first.name) || !this.#isNear(first)) return ordered;
    const far = rest.find((peer) => !this.#isNear(peer));
    return far ? [first, far, ...rest.filter((peer) => peer !== far)] : ordered;
  }
}
