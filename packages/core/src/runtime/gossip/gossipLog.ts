/** Gossip log of one instance: the facts that it knows and can send to peers that miss them. */

import type { EpochMs, IncarnationId } from '../../types/ids.js';
import type { DatedFact, GossipFact, GossipItem, VersionVector } from '../../types/gossip.js';
import { entryOf } from '../../utils/table.js';

/** Maximum number of facts kept; above it the oldest are removed. */
const MAX_KEPT = 512;
/** Maximum number of facts in one message; the others follow in later messages. */
export const MAX_FACTS_PER_MESSAGE = 128;
/** Maximum number of origins; above it, origins without kept facts are removed. */
const MAX_ORIGINS = 512;

interface KeptFact extends DatedFact {
  seq: number;
}

interface Origin {
  last: number;
  /** Ordered by sequence number, without gaps. */
  kept: KeptFact[];
}

/**
 * Facts by origin. The facts of an origin are sent in the order of their sequence numbers, so the
 * last number of each origin describes everything that an instance knows.
 *
 * @example
 * log.add({ type: 'finished', fingerprint }, now);
 * const items = log.missingFrom(peer.known, now);
 */
export class GossipLog {
  readonly #self: IncarnationId;
  readonly #origins = new Map<IncarnationId, Origin>();
  #newestAt = -Infinity;

  constructor(self: IncarnationId) {
    this.#self = self;
  }

  /** Whether there is no fact to send. */
  get isEmpty(): boolean {
    return [...this.#origins.values()].every(({ kept }) => kept.length === 0);
  }

  /** When the last fact was added; -Infinity before the first. */
  get newestAt(): EpochMs {
    return this.#newestAt;
  }

  get known(): VersionVector {
    const entries = [...this.#origins].map(([origin, { last }]) => [origin, last] as const);
    return Object.fromEntries(entries);
  }

  /** Adds a fact that this instance observed itself. */
  add(fact: GossipFact, now: EpochMs): void {
    const { last } = this.#originOf(this.#self);
    this.#append(this.#self, { seq: last + 1, at: now, news: fact }, now);
  }

  /** Adds facts from another instance; returns those that were new, in the order received. */
  receive(items: readonly GossipItem[], now: EpochMs): DatedFact[] {
    return items.flatMap(({ origin, seq, ageMs, news }) => {
      if (seq <= this.#originOf(origin).last) return [];
      const at = now - ageMs;
      this.#append(origin, { seq, at, news }, now);
      return [{ at, news }];
    });
  }

  /** Facts that an instance with the given version vector misses, oldest first for each origin. */
  missingFrom(known: VersionVector, now: EpochMs): GossipItem[] {
    const missing = [...this.#origins].flatMap(([origin, { kept }]) => {
      const after = entryOf(known, origin) ?? 0;
      return kept
        .filter(({ seq }) => seq > after)
        .map(({ seq, at, news }) => ({ origin, seq, ageMs: Math.max(0, now - at), news }));
    });
    return missing.slice(0, MAX_FACTS_PER_MESSAGE);
  }

  #originOf(name: IncarnationId): Origin {
    return this.#origins.get(name) ?? { last: 0, kept: [] };
  }

  #append(name: IncarnationId, fact: KeptFact, now: EpochMs): void {
    const origin = this.#originOf(name);
    origin.kept.push(fact);
    origin.last = fact.seq;
    // keep origins in the order of their last addition.
    this.#origins.delete(name);
    this.#origins.set(name, origin);
    this.#newestAt = now;
    this.#bound();
  }

  #bound(): void {
    let count = 0;
    for (const { kept } of this.#origins.values()) count += kept.length;
    for (; count > MAX_KEPT; count -= 1) this.#dropOldest();
    for (const [name, { kept }] of this.#origins) {
      if (this.#origins.size <= MAX_ORIGINS) break;
      if (kept.length === 0) this.#origins.delete(name);
    }
  }

  #dropOldest(): void {
    const firstAt = ({ kept: [first] }: Origin): EpochMs => first?.at ?? Infinity;
    const [first, ...others] = this.#origins.values();
    if (!first) return;
    const oldest = others.reduce(
      (old, origin) => (firstAt(origin) < firstAt(old) ? origin : old),
      first,
    );
    oldest.kept.shift();
  }
}
