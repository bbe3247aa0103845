/** Options, switches and figures of the model engine stand-in. */

import type { HttpStandInOptions } from './httpStandIn.js';

/** Faults that can be switched while the engine runs. */
export interface EngineFaults {
  /** Multiplies all times. @default 1 */
  slowFactor: number;
  /** The engine crashes once it has written this many tokens from now on. @default null */
  crashAfterTokens: number | null;
  /** Requests are taken in and nothing is written. @default false */
  hang: boolean;
  /** Part of the chunks that come a second time, with the same event number. @default 0 */
  duplicateChunks: number;
  /** Part of the chunks followed by a chunk of an attempt that is over, under its id. @default 0 */
  lateChunks: number;
  /** Part of the requests answered with status 500 before anything runs. @default 0 */
  errorRate: number;
  /** Finishes its streams, refuses new requests, says so in `/health`. @default false */
  leaving: boolean;
}

/** Options of {@link createEngineStandIn}. */
export interface EngineStandInOptions extends HttpStandInOptions {
  /** Requests decoded at once. @default 8 */
  slots?: number;
  /** Requests that may wait for a slot. @default 256 */
  maxWaiting?: number;
  /** Milliseconds to read one prompt token that is not cached. @default 0.2 */
  prefillMsPerToken?: number;
  /** Milliseconds of one decoding step for a single request. @default 10 */
  decodeMs?: number;
  /** Milliseconds that each further request adds to a step. @default 1 */
  decodeMsPerRequest?: number;
  /** Blocks of 16 words that the prefix cache holds. @default 512 */
  cacheBlocks?: number;
  /** Age of what `/load` reports, in milliseconds. @default 1000 */
  loadLagMs?: number;
  /** Delay of published cache events, in milliseconds. @default 500 */
  cacheEventLagMs?: number;
  /** Part of the cache events that are never published. @default 0.05 */
  cacheEventLoss?: number;
  /** Refuses an order whose fencing number is lower than one seen before. @default false */
  checksFencing?: boolean;
  /** A request whose body contains this text crashes the engine. @default 'crash-the-engine' */
  crashMarker?: string;
  /** Comes back this long after a crash, in milliseconds; absent: stays down. */
  restartAfterMs?: number;
  /** @default 1 */
  seed?: number;
  faults?: Partial<EngineFaults>;
}

/** Faults of an engine that has none. */
export const NO_ENGINE_FAULTS: EngineFaults = {
  slowFactor: 1,
  crashAfterTokens: null,
  hang: false,
  duplicateChunks: 0,
  lateChunks: 0,
  errorRate: 0,
  leaving: false,
};

/** Counters since the engine was created; they outlive a crash. */
export interface EngineCounters {
  requests: number;
  /** Requests that came while the engine was leaving; each was refused. */
  whileLeaving: number;
  finished: number;
  cancelled: number;
  tokensWritten: number;
  crashes: number;
}
