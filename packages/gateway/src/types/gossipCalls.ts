/** Interface for exchanging gossip messages with other instances. */

import type { FleetInstance, GossipMessage } from '@flamingocourse/core';
import type { Result } from 'true-myth';

/** Sends a gossip message to another instance and returns its answer. */
export abstract class GossipCalls {
  /**
   * Never rejects and returns within a bounded time. The error says why there is no answer; the peer may
   * still have received the message.
   */
  abstract exchange(
    peer: FleetInstance,
    message: GossipMessage,
  ): Promise<Result<GossipMessage, string>>;
}
