/** Interface for telling other instances what began a stream, and for asking them. */

import type {
  FleetInstance,
  ServiceName,
  StreamAnswer,
  StreamKey,
  StreamRecord,
} from '@flamingocourse/core';
import type { Result } from 'true-myth';

/** Calls of other instances. They never reject and return within a bounded time. */
export abstract class StreamCalls {
  /** Asks a peer to keep records. After an error it may have kept them all the same. */
  abstract keep(peer: FleetInstance, streams: StreamRecord[]): Promise<Result<'kept', string>>;
  /** Asks a peer for a stream of one of these services. */
  abstract find(
    peer: FleetInstance,
    key: StreamKey,
    services: ServiceName[],
  ): Promise<Result<StreamAnswer, string>>;
}
