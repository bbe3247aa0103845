/** Options, fault switches and counters of the model engine stand-in. */

import type { HttpStandInOptions } from './httpStandIn.js';

/** Faults that can be switched on and off while the engine runs. */
export interface EngineFaults {
  /** Multiplies all times. @default 1 */
  slowFactor: number;
  /** The engine crashes after it has written this many more tokens. @default null */
  crashAfterTokens: number | null;
  /** Requests are accepted but nothing is written. @default false */
  hang: boolean;
  /** Fraction of the chunks that are sent twice, with the same event number. @default 0 */
  duplicateChunks: number;
  /**
   * Fraction of the chunks that are followed by a chunk of an earlier attempt that has ended, with
   * the id of that attempt. @default 0
   */
  lateChunks: number;
  /** Fraction of the requests that are answered with status 500 before they run. @default 0 */
  errorRate: number;
  /** Finishes open streams, refuses new requests, reports `leaving` in `/health`. @default false */
  leaving: boolean;
}

/** Options of {@link createEngineStandIn}. */
export interface EngineStandInOptions extends HttpStandInOptions {
  /** Requests decoded concurrently. @default 8 */
  slots?: number;
  /** Maximum number of requests that wait for a slot. @default 256 */
  maxWaiting?: number;
  /** Milliseconds to read one prompt token that is not cached. @default 0.2 */
  prefillMsPerToken?: number;
  /** Milliseconds of one decoding step with a single request. @default 10 */
  decodeMs?: number;
  /** Milliseconds that each additional request adds to a step. @default 1 */
  decodeMsPerRequest?: number;
  /** Blocks of 16 words that the prefix cache holds. @default 512 */
  cacheBlocks?: number;
  /** Age of the load that `/load` reports, in milliseconds. @default 1000 */
  loadLagMs?: number;
  /** Delay of published cache events, in milliseconds. @default 500 */
  cacheEventLagMs?: number;
  /** Fraction of the cache events that are never published. @default 0.05 */
  cacheEventLoss?: number;
  /** Refuses control requests whose fencing number is lower than one seen before. @default false */
  checksFencing?: boolean;
  /** A request whose body contains this text crashes the engine. @default 'crash-the-engine' */
  crashMarker?: string;
  /** Milliseconds from a crash until the restart; if absent, the engine does not restart. */
  restartAfterMs?: number;
  /** @default 1 */
  seed?: number;
  faults?: Partial<EngineFaults>;
}

/** All faults switched off. */
export const NO_ENGINE_FAULTS: EngineFaults = {
  slowFactor: 1,
  crashAfterTokens: null,
  hang: false,
  duplicateChunks: 0,
  lateChunks: 0,
  errorRate: 0,
  leaving: false,
};

/** Counters since the engine was created; a crash does not reset them. */
export interface EngineCounters {
  requests: number;
  /** Requests that arrived, and were refused, while the engine was leaving. */
  whileLeaving: number;
  finished: number;
  cancelled: number;
  tokensWritten: number;
  crashes: number;
}
