/** What one instance knows of the origins of streams; bounded by number and by age. */

import type { EpochMs } from '../../types/ids.js';
import type { StreamKey, StreamKnowledge, StreamOrigin, StreamRecord } from '../../types/stream.js';

/** Maximum number of records in one message between instances. */
export const MAX_STREAMS_PER_MESSAGE = 512;
/** Maximum number of records; at the size to come an instance needs some hundreds. */
const MAX_RECORDS = 16_384;
/** Maximum milliseconds for which a record is kept, whatever a caller says that it waits. */
const MAX_KEPT_MS = 60_000;

/** Whether a stream began at this instance, or a peer told it what began the stream. */
export type RecordSource = 'own' | 'peer';

interface Entry {
  /** Undefined if streams of different origins have begun under the key. */
  origin: StreamOrigin | undefined;
  source: RecordSource;
  until: EpochMs;
}

/**
 * Records of streams by key.
 *
 * @example
 * records.add({ key, origin: { service: 'llm', version: 'v1' }, forMs: 4_000 }, 'own', now);
 * records.find(key, now); // { type: 'known', origin }
 */
export class StreamRecords {
  /** Oldest first. */
  readonly #entries = new Map<StreamKey, Entry>();

  /** Number of records, expired ones included. */
  get size(): number {
    return this.#entries.size;
  }

  /** Adds a record. One that contradicts an earlier record of its key makes the stream ambiguous. */
  add({ key, origin, forMs }: StreamRecord, source: RecordSource, now: EpochMs): void {
    const known = this.#live(key, now);
    const agrees = !known || (known.origin !== undefined && isSameOrigin(known.origin, origin));
    const until = now + Math.min(forMs, MAX_KEPT_MS);
    this.#entries.delete(key);
    this.#entries.set(key, {
      origin: agrees ? origin : undefined,
      source: known?.source === 'own' ? 'own' : source,
      until: Math.max(until, known?.until ?? -Infinity),
    });
    this.#dropOldest(now);
  }

  /** Returns what is known of a stream. */
  find(key: StreamKey, now: EpochMs): StreamKnowledge {
    const entry = this.#live(key, now);
    if (!entry) return { type: 'unknown' };
    const { origin } = entry;
    return origin === undefined ? { type: 'ambiguous' } : { type: 'known', origin };
  }

  /** Records from one source that callers may still ask for, for other instances. */
  from(source: RecordSource, now: EpochMs): StreamRecord[] {
    return [...this.#entries].flatMap(([key, { origin, until, ...entry }]) => {
      if (entry.source !== source || origin === undefined || until <= now) return [];
      return [{ key, origin, forMs: until - now }];
    });
  }

  #live(key: StreamKey, now: EpochMs): Entry | undefined {
    const entry = this.#entries.get(key);
    return entry && entry.until > now ? entry : undefined;
  }

  #dropOldest(now: EpochMs): void {
    for (const [key, { until }] of this.#entries) {
      if (this.#entries.size <= MAX_RECORDS && until > now) return;
      this.#entries.delete(key);
    }
  }
}

function isSameOrigin(a: StreamOrigin, b: StreamOrigin): boolean {
  return a.service === b.service && a.version === b.version;
}
