/** Interface through which the request path gets places on backend servers. */

import type {
  BackendServer,
  EpochMs,
  Fingerprint,
  Importance,
  PlacementPlan,
  PromptPart,
  PromptReading,
  Refusal,
  ServerId,
  ServiceName,
  ServerBounds,
  Tokens,
  WorkClassName,
} from '@flamingocourse/core';
import type { Result } from 'true-myth';
import { Service } from '@flamingocourse/kernel';

/** A request for a place to run one attempt. */
export interface PlacementRequest {
  service: ServiceName;
  workClass: WorkClassName;
  importance: Importance;
  /** Time after which the complete answer is of no use. */
  deadline: EpochMs;
  /**
   * Latest time at which the request may be sent. If rate limits or pauses of the servers make that
   * impossible, the request is refused immediately.
   */
  startBy?: EpochMs;
  /** Requests with the same prefix key benefit from the prompt cache of the same server. */
  prefixKey?: string;
  /** Number of tokens of the prompt, if the request has one. */
  promptTokens?: Tokens;
  /** Parts of the prompt, in order. */
  promptParts?: readonly PromptPart[];
  /** Maximum number of tokens of the response, if it is a generation. */
  outputTokens?: Tokens;
  /** Servers that this request has already tried. */
  tried: ServerId[];
  /** Servers that may run it. @default any */
  bounds?: ServerBounds;
  /** Digest of the request, used to identify requests that crash their servers. */
  fingerprint: Fingerprint;
  /** Fingerprints of the parts of its prompt that other requests may share. */
  partFingerprints?: readonly Fingerprint[];
  /** Aborted when the caller no longer waits. */
  signal: AbortSignal;
}

/** How an attempt ended, as it affects the server's health. */
export type PlacementOutcome =
  | 'ok'
  | 'failed'
  | 'crashed'
  /** The connection ended before the answer was complete; the server may have crashed. */
  | 'broken'
  | 'timed-out'
  | 'cancelled'
  | 'leaving'
  /** No connection could be opened. */
  | 'unreachable';

/** A place on a backend server for one attempt; `end` must be called exactly once. */
export interface Placement {
  server: BackendServer;
  /** Another server that probably has the shared parts of the prompt in its cache. */
  promptSource: BackendServer | undefined;
  /** What the server was chosen by; undefined if cached prompts are not weighed. */
  plan?: PlacementPlan | undefined;
  /** Value of the engine's `priority` field; requests with lower values run first. */
  priority: number;
  /** Releases the place. `firstTokenMs` is the time from the placement to the first token. */
  end(how: PlacementOutcome, firstTokenMs?: number): void;
  /** Records that the request is sent; only from then on can it be the cause of a crash. */
  recordSent(): void;
  /** Records that a part of the answer has arrived. */
  recordReceived(): void;
  /** Records that another process than the listed one was found at the server. */
  recordReplaced(): void;
  /** Records that the server goes on some time after it began to write the answer. */
  recordSurvived(): void;
  /** Records that the server has begun to answer and so has read the prompt. */
  recordPromptRead(): void;
  /** Records the first event of a stream; returns what it says about the prompt. */
  recordFirstEvent(): PromptReading | undefined;
}

/** Places attempts on backend servers. The service is registered as `backends`. */
export abstract class Backends extends Service {
  override readonly name = 'backends';

  /** Waits in the service's queue for a place; refuses immediately if waiting cannot succeed. */
  abstract place(request: PlacementRequest): Promise<Result<Placement, Refusal>>;

  /** Takes one retry from the service's retry budget; returns false if none is left. */
  abstract mayRetry(service: ServiceName): boolean;
}
