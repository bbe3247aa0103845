/** What instances of a fleet tell each other. */

import type { EpochMs, IncarnationId, ServerId } from './ids.js';
import type { Fingerprint } from './quarantine.js';

/** One piece of news. */
export type FleetNews =
  /** A server ended with these requests of one instance in flight. */
  | { type: 'crashed'; server: ServerId; inFlight: Fingerprint[] }
  /** A request that had been in flight at a crash has finished. */
  | { type: 'finished'; fingerprint: Fingerprint };

/** News as it goes from instance to instance; numbered by the instance that it comes from. */
export interface NewsItem {
  origin: IncarnationId;
  seq: number;
  /** Milliseconds since it happened: instances share no clock. */
  ageMs: number;
  news: FleetNews;
}

/** Number of the last news that is known of each origin. */
export type NewsVersions = Record<IncarnationId, number>;

/** What one instance tells another, and gets as the answer. */
export interface NewsMessage {
  /** Name of the sender. */
  from: string;
  /** All that the sender has heard of. */
  known: NewsVersions;
  /** What the receiver may lack. */
  items: NewsItem[];
}

/** News with the time at which it happened, by the clock of this instance. */
export interface DatedNews {
  at: EpochMs;
  news: FleetNews;
}
