/** What the request path asks of the backend servers. */

import type {
  BackendServer,
  EpochMs,
  Importance,
  Refusal,
  ServerId,
  ServiceName,
  Tokens,
  WorkClassName,
} from '@flamingocourse/core';
import type { Result } from 'true-myth';
import { Service } from '@flamingocourse/kernel';

/** A wish to run one attempt. */
export interface PlacementRequest {
  service: ServiceName;
  workClass: WorkClassName;
  importance: Importance;
  /** Latest useful time of the whole answer. */
  deadline: EpochMs;
  /** Latest time at which it may be sent; if that can't be kept for rate limits it is refused at once. */
  startBy?: EpochMs;
  /** Requests with the same prefix key gain from the same server's prompt cache. */
  prefixKey?: string;
  /** Tokens of the prompt, where the request has one. */
  promptTokens?: Tokens;
  /** Servers that this request has already tried. */
  tried: ServerId[];
  /** Digest of what runs, to find requests that crash their servers. */
  fingerprint: string;
  /** Aborted when nobody waits any more. */
  signal: AbortSignal;
}

/** How an attempt ended, as far as the server's health is concerned. */
export type AttemptEnd =
  | 'ok'
  | 'failed'
  | 'crashed'
  /** The connection ended before the whole answer; whether the server crashed is to be found out. */
  | 'broken'
  | 'timed-out'
  | 'cancelled'
  | 'leaving'
  /** No connection could be opened. */
  | 'unreachable';

/** A place on a backend server for one attempt; ended exactly once. */
export interface Placement {
  server: BackendServer;
  /** Another server that probably has read the request's shared prompt parts. */
  holder: BackendServer | undefined;
  /** Value of the engine's `priority` field; lower runs first. */
  priority: number;
  end(how: AttemptEnd, firstTokenMs?: number): void;
  /** Something of the answer came. */
  heard(): void;
  /** The server answers, so it has read the prompt. */
  promptRead(): void;
}

/** Places attempts on backend servers. Registered as `backends`. */
export abstract class Backends extends Service {
  override readonly name = 'backends';

  /** Waits in the service's queue for a place; refuses at once when that cannot succeed. */
  abstract place(request: PlacementRequest): Promise<Result<Placement, Refusal>>;

  /** Whether a further attempt is within the fleet's retry budget. */
  abstract mayRetry(service: ServiceName): boolean;
}
