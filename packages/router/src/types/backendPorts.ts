/** Interfaces through which placement reads instance lists, drains and peers' quarantine state. */

import type {
  EpochMs,
  Fingerprint,
  InstanceRecord,
  QuarantineEvent,
  QuarantineState,
  ServerId,
  ServiceName,
} from '@flamingocourse/core';

/** The platform's instance list, which lags behind the real state. */
export interface InstanceSource {
  /** Returns undefined if the list cannot be read; the caller then uses the last known list. */
  list(instanceList: ServiceName): Promise<InstanceRecord[] | undefined>;
}

/** What a peer reports about requests that crash their servers. */
export type QuarantineUpdate =
  /** The complete state of a peer. */
  | { type: 'state'; state: QuarantineState }
  /** One event that a peer observed, with its time by the clock of this process. */
  | { type: 'event'; event: QuarantineEvent; at: EpochMs };

/** Exchanges information about requests that crash their servers with peers. */
export interface QuarantineExchange {
  /**
   * Sends an event to peers. If the message is lost, peers only learn of the event later.
   *
   * @param state complete state after the event.
   */
  publish(event: QuarantineEvent, state: QuarantineState): void;
  /**
   * Called when an event that this router or a peer observed quarantines a request; not called when
   * the complete state of a peer does.
   */
  quarantined?(fingerprint: Fingerprint, state: QuarantineState): void;
  /** Registers a listener for what peers send. */
  onUpdate(listener: (update: QuarantineUpdate) => void): void;
}

/** Servers that operators have drained. */
export interface DrainSource {
  /** Calls the listener with all drains in force, immediately and after each update. */
  onDrains(listener: (drains: { service: ServiceName; server: ServerId }[]) => void): void;
}
