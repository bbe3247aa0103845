/** Chooses the instances that remember for others what began a stream. */

import type { DataCentreId } from '../../types/ids.js';
import type { FleetInstance } from '../../types/prepaid.js';
import type { StreamKey } from '../../types/stream.js';
import { hash32, rendezvousRank } from '../../utils/hash.js';

interface Ranked {
  instance: FleetInstance;
  rank: number;
}

/**
 * The other instances of a fleet, in the order in which they hold the record of a stream. Every instance
 * finds nearly the same order by rendezvous hashing of the key, without any exchange.
 *
 * @example
 * const holders = new StreamHolders(instances, { name: 'edge-1', dataCentre: 'hall-a' });
 * const [near, far] = holders.toRecord(key);
 */
export class StreamHolders {
  readonly #near: FleetInstance[] = [];
  readonly #far = new Map<DataCentreId, FleetInstance[]>();
  /** Data centres with instances that serve no peers, so nobody can ask them. */
  readonly #withoutMesh = new Set<DataCentreId>();
  readonly #hashes = new Map<FleetInstance, number>();

  /** @param self this instance; it holds what it knows anyway. */
  constructor(
    instances: readonly FleetInstance[],
    self: Pick<FleetInstance, 'name' | 'dataCentre'>,
  ) {
    for (const instance of instances) {
      if (instance.name === self.name) continue;
      if (instance.meshUrl === undefined) {
        this.#withoutMesh.add(instance.dataCentre);
        continue;
      }
      this.#hashes.set(instance, hash32(instance.name));
      if (instance.dataCentre === self.dataCentre) this.#near.push(instance);
      else this.#far.set(instance.dataCentre, [...this.#farIn(instance.dataCentre), instance]);
    }
  }

  /**
   * Instances to which the record of a stream is sent, the preferred ones first: one in this data centre,
   * which a caller of a cut data centre still reaches, then one elsewhere; the others replace them.
   */
  toRecord(key: StreamKey): FleetInstance[] {
    const [near, ...nearRest] = this.#ranked(this.#near, key);
    const [far, ...farRest] = this.#farFirst(key);
    return [near, far, ...farRest, ...nearRest].flatMap((ranked) => ranked?.instance ?? []);
  }

  /**
   * Instances to ask for a stream that began anywhere. A stream that began in another data centre has its
   * record at the first one elsewhere, not counting the data centre where it began.
   *
   * @param near number of instances in this data centre.
   * @param far number of data centres elsewhere, one instance in each.
   */
  toAsk(key: StreamKey, near: number, far: number): FleetInstance[] {
    const chosen = [
      ...this.#ranked(this.#near, key).slice(0, near),
      ...this.#farFirst(key).slice(0, far),
    ];
    return chosen.map(({ instance }) => instance);
  }

  /**
   * Whether the instances that answered show that this one is not cut off, alone or with others: one of each
   * other data centre, or all of the own one if no other can be asked. In a single data centre any number of
   * instances can be cut off together, and one that is missing may still be in touch with the store.
   *
   * @param answered names of instances.
   */
  areReached(answered: ReadonlySet<string>): boolean {
    const hasAnswered = ({ name }: FleetInstance): boolean => answered.has(name);
    if (this.#far.size > 0) {
      return [...this.#far.values()].every((instances) => instances.some(hasAnswered));
    }
    if (this.#withoutMesh.size > 0) return false;
    return this.#near.length > 0 && this.#near.every(hasAnswered);
  }

  /**
   * Instances to ask for a stream after others have not answered: of each other data centre without an answer
   * the preferred one that was not asked, or the rest of a single data centre.
   *
   * @param asked names of instances, as well as `answered`.
   */
  toAskNext(
    key: StreamKey,
    asked: ReadonlySet<string>,
    answered: ReadonlySet<string>,
  ): FleetInstance[] {
    const isOpen = ({ instance }: Ranked): boolean => !asked.has(instance.name);
    if (this.#far.size === 0) {
      const near = this.#ranked(this.#near, key).filter(isOpen);
      return near.map(({ instance }) => instance);
    }
    return [...this.#far.values()].flatMap((instances) => {
      if (instances.some(({ name }) => answered.has(name))) return [];
      return this.#ranked(instances, key).find(isOpen)?.instance ?? [];
    });
  }

  /** The first instance of each other data centre. */
  #farFirst(key: StreamKey): Ranked[] {
    const keyHash = hash32(key);
    const firsts = [...this.#far.values()].map((instances) => {
      const ranked = instances.map((instance) => this.#rank(instance, keyHash));
      return ranked.reduce((best, next) => (next.rank > best.rank ? next : best));
    });
    return firsts.toSorted((a, b) => b.rank - a.rank);
  }

  #ranked(instances: readonly FleetInstance[], key: StreamKey): Ranked[] {
    const keyHash = hash32(key);
    return instances
      .map((instance) => this.#rank(instance, keyHash))
      .toSorted((a, b) => b.rank - a.rank);
  }

  #rank(instance: FleetInstance, keyHash: number): Ranked {
    return { instance, rank: rendezvousRank(keyHash, this.#hashes.get(instance) ?? 0) };
  }

  #farIn(dataCentre: DataCentreId): FleetInstance[] {
    return this.#far.get(dataCentre) ?? [];
  }
}
