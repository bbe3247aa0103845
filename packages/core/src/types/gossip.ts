/** Types of the gossip between the instances of a fleet. */

import type { EpochMs, IncarnationId, ServerId } from './ids.js';
import type { Fingerprint } from './quarantine.js';

/** A fact that instances pass on to each other. */
export type GossipFact =
  /** A server crashed while these requests of one instance were in flight. */
  | { type: 'crashed'; server: ServerId; inFlight: Fingerprint[] }
  /** A request that was in flight during an earlier crash has finished. */
  | { type: 'finished'; fingerprint: Fingerprint };

/** A fact as it is sent between instances, with a sequence number of its origin. */
export interface GossipItem {
  origin: IncarnationId;
  seq: number;
  /** Milliseconds since it happened; an age, because the clocks of instances differ. */
  ageMs: number;
  news: GossipFact;
}

/** Version vector: the last known sequence number of each origin. */
export type VersionVector = Record<IncarnationId, number>;

/** Message of one gossip exchange; used for both the request and the answer. */
export interface GossipMessage {
  /** Name of the sender. */
  from: string;
  /** What the sender knows. */
  known: VersionVector;
  /** Facts that the receiver may not know. */
  items: GossipItem[];
}

/** A fact with the time at which it happened, by the clock of this instance. */
export interface DatedFact {
  at: EpochMs;
  news: GossipFact;
}
