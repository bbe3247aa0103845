/** How a backend server is asked for its own word on whether it stays. */

import type { ListedServer, ServerId, ServerWord } from '@flamingocourse/core';

/** Asks servers for their status. */
export abstract class HealthCheck {
  /** Never rejects; takes a bounded time. */
  abstract ask(id: ServerId, server: ListedServer): Promise<ServerWord>;
}
