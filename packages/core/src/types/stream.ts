/** Streams that callers may take up again after their connection was lost. */

import type { ServiceName } from './ids.js';

/** Identifies a stream: a digest of its client account and of the request that brought its first event. */
export type StreamKey = string;

/** What began a stream, and what alone may go on with it. */
export interface StreamOrigin {
  service: ServiceName;
  /** Version of the software of the server that made its first event. */
  version: string;
}

/** Tells other instances what began a stream. */
export interface StreamRecord {
  key: StreamKey;
  origin: StreamOrigin;
  /** Milliseconds for which a caller may still take the stream up. */
  forMs: number;
}

/** What an instance knows of a stream. */
export type StreamKnowledge =
  | { type: 'known'; origin: StreamOrigin }
  /** Streams of different origins have begun under its key. */
  | { type: 'ambiguous' }
  | { type: 'unknown' };

/** Answer to a question for a stream. */
export interface StreamAnswer {
  knowledge: StreamKnowledge;
  /** Software versions that the answering instance has seen lately, by service. */
  software: Record<ServiceName, string[]>;
}
