/** Seams between placement and the outside. */

import type {
  EpochMs,
  Fingerprint,
  InstanceRecord,
  QuarantineEvent,
  QuarantineState,
  ServerId,
  ServiceName,
} from '@flamingocourse/core';

/** The platform's lagging instance list. */
export interface InstanceSource {
  /** Gives undefined when the list cannot be read; the last known one then stays in force. */
  list(instanceList: ServiceName): Promise<InstanceRecord[] | undefined>;
}

/** What peers tell of requests that crash their servers. */
export type QuarantineNews =
  /** All that a peer knows. */
  | { type: 'state'; state: QuarantineState }
  /** One thing that a peer saw, and when, by the clock of this process. */
  | { type: 'event'; event: QuarantineEvent; at: EpochMs };

/** News about requests that crash their servers, to and from peers. */
export interface QuarantineExchange {
  /**
   * Sends news to peers; a lost one only delays them.
   *
   * @param state all that is known after the event.
   */
  publish(event: QuarantineEvent, state: QuarantineState): void;
  /** A request is refused from now on, by what was seen here or told by peers. */
  quarantined?(fingerprint: Fingerprint, state: QuarantineState): void;
  /** Calls back with what peers have sent. */
  onNews(listener: (news: QuarantineNews) => void): void;
}

/** Operators' drains. */
export interface DrainSource {
  /** Calls back with all drains in force, at once and after each change. */
  onDrains(listener: (drains: { service: ServiceName; server: ServerId }[]) => void): void;
}
