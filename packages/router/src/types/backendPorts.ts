/** Seams between placement and the outside. */

import type { InstanceRecord, QuarantineState, ServerId, ServiceName } from '@flamingocourse/core';

/** The platform's lagging instance list. */
export interface InstanceSource {
  /** Gives undefined when the list cannot be read; the last known one then stays in force. */
  list(instanceList: ServiceName): Promise<InstanceRecord[] | undefined>;
}

/** Hints about requests that crash their servers, to and from peers. */
export interface QuarantineExchange {
  /** Sends news to the peers of the data centre; a lost hint only delays them. */
  publish(state: QuarantineState): void;
  /** Calls back with what peers have sent. */
  onHint(listener: (state: QuarantineState) => void): void;
}

/** Operators' drains. */
export interface DrainSource {
  /** Calls back with all drains in force, at once and after each change. */
  onDrains(listener: (drains: { service: ServiceName; server: ServerId }[]) => void): void;
}
