/** Health check that asks a backend server whether it is shutting down. */

import type { ListedServer, ServerId, ProbeResult } from '@flamingocourse/core';

/** Checks the status of backend servers. */
export abstract class HealthCheck {
  /** Asks a server for its status. Never rejects; takes a bounded time. */
  abstract probe(id: ServerId, server: ListedServer): Promise<ProbeResult>;
}
