/** The news of a fleet that one instance knows, so that it can tell any other what that one lacks. */

import type { EpochMs, IncarnationId } from '../../types/ids.js';
import type { DatedNews, FleetNews, NewsItem, NewsVersions } from '../../types/news.js';

/** News that are kept; beyond it the oldest go. */
const MAX_KEPT = 512;
/** News in one message; the rest goes with the next ones. */
export const MAX_NEWS_PER_MESSAGE = 128;
/** Origins of which the last number is remembered although none of their news is kept. */
const MAX_ORIGINS = 512;

interface KeptNews extends DatedNews {
  seq: number;
}

interface Origin {
  last: number;
  /** In the order of their numbers, without a gap. */
  kept: KeptNews[];
}

/**
 * News by origin. An origin's news are told in the order of their numbers, so one number for each origin says
 * what is known.
 *
 * @example
 * log.add({ type: 'finished', fingerprint }, now);
 * const items = log.lackedBy(peer.known, now);
 */
export class NewsLog {
  readonly #self: IncarnationId;
  readonly #origins = new Map<IncarnationId, Origin>();
  #newestAt = -Infinity;

  constructor(self: IncarnationId) {
    this.#self = self;
  }

  /** Whether there is anything to tell. */
  get isEmpty(): boolean {
    return [...this.#origins.values()].every(({ kept }) => kept.length === 0);
  }

  /** When the last news came; -Infinity before the first. */
  get newestAt(): EpochMs {
    return this.#newestAt;
  }

  get known(): NewsVersions {
    const entries = [...this.#origins].map(([origin, { last }]) => [origin, last] as const);
    return Object.fromEntries(entries);
  }

  /** Adds what this instance found out itself. */
  add(news: FleetNews, now: EpochMs): void {
    const { last } = this.#originOf(this.#self);
    this.#keep(this.#self, { seq: last + 1, at: now, news }, now);
  }

  /** Takes what another instance told; returns what was not known, in the order in which it was told. */
  take(items: readonly NewsItem[], now: EpochMs): DatedNews[] {
    return items.flatMap(({ origin, seq, ageMs, news }) => {
      if (seq <= this.#originOf(origin).last) return [];
      const at = now - ageMs;
      this.#keep(origin, { seq, at, news }, now);
      return [{ at, news }];
    });
  }

  /** What an instance that knows so much lacks, the oldest first of each origin. */
  lackedBy(known: NewsVersions, now: EpochMs): NewsItem[] {
    const lacked = [...this.#origins].flatMap(([origin, { kept }]) => {
      const after = known[origin] ?? 0;
      return kept
        .filter(({ seq }) => seq > after)
        .map(({ seq, at, news }) => ({ origin, seq, ageMs: Math.max(0, now - at), news }));
    });
    return lacked.slice(0, MAX_NEWS_PER_MESSAGE);
  }

  #originOf(name: IncarnationId): Origin {
    return this.#origins.get(name) ?? { last: 0, kept: [] };
  }

  #keep(name: IncarnationId, news: KeptNews, now: EpochMs): void {
    const origin = this.#originOf(name);
    origin.kept.push(news);
    origin.last = news.seq;
    // the origin that spoke last stands last.
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
