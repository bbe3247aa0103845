/** What runs behind one request, and what all kinds of work share. */

import type { Refusal, ServerId, Tokens } from '@flamingocourse/core';
import type { Clock, EventLog } from '@flamingocourse/kernel';
import type { Result } from 'true-myth';
import type { Backends, Placement, PlacementRequest } from '../../types/backends.js';
import type { BillDetails } from '../../types/money.js';
import type { CallerRequest } from './callerRequest.js';
import type { Execution } from './executionTable.js';
import type { AnswerEnd } from './liveAnswer.js';
import { digest } from '../../utils/digest.js';
import { notRun } from '../../utils/problem.js';

/** Pause after which a retry can find a backend server again, in milliseconds. */
const BACKEND_RETRY_AFTER_MS = 1_000;

/** What work uses of the router. */
export interface WorkContext {
  backends: Backends;
  clock: Clock;
  log: EventLog;
  maxAttempts: number;
}

/** How work ended. */
export type WorkEnd =
  | { type: 'whole'; end: AnswerEnd; details: BillDetails }
  /** Nobody waits any more; `details` is the use so far, absent when nothing was dispatched. */
  | { type: 'cancelled'; details?: BillDetails }
  | { type: 'refused'; refusal: Refusal };

/** One kind of request: a model call or a call of a plain service. */
export abstract class Work<R extends CallerRequest = CallerRequest> {
  readonly #tried: ServerId[] = [];
  readonly #fingerprint: string;

  constructor(
    readonly request: R,
    readonly context: WorkContext,
  ) {
    const { account, service, bodyDigest } = request;
    this.#fingerprint = digest(account.name, service.name, bodyDigest);
  }

  /** Most tokens that the request can cost. */
  abstract worstCase(): Tokens;

  /** Runs to an end; never throws for a failure of a backend server. */
  abstract run(execution: Execution): Promise<WorkEnd>;

  /** Key under which requests share a prompt prefix; undefined where that means nothing. */
  protected prefixKey(): string | undefined {
    return undefined;
  }

  /** Waits for a place on a backend server that this request has not tried yet. */
  protected async place(execution: Execution): Promise<Result<Placement, Refusal>> {
    const { service, workClass, deadline } = this.request;
    const prefixKey = this.prefixKey();
    const wish: PlacementRequest = {
      service: service.name,
      workClass: workClass.name,
      importance: workClass.importance,
      deadline,
      tried: this.#tried,
      fingerprint: this.#fingerprint,
      signal: execution.abort.signal,
      ...(prefixKey === undefined ? {} : { prefixKey }),
    };
    const placed = await this.context.backends.place(wish);
    if (placed.isOk) this.#tried.push(placed.value.server.id);
    return placed;
  }

  /** Name of one attempt, so that output of any other attempt can be told apart. */
  protected nonce(execution: Execution, attempt: number): string {
    return `${digest(execution.answer.requestId).slice(0, 24)}-${attempt}`;
  }

  /** Whether another attempt is allowed after `attempts` of them. */
  protected mayRetry(attempts: number): boolean {
    if (attempts >= this.context.maxAttempts) return false;
    return this.context.backends.mayRetry(this.request.service.name);
  }

  /** Milliseconds until the caller's deadline; at least 1. */
  protected remainingMs(): number {
    return Math.max(1, this.request.deadline - this.context.clock.now());
  }
}

/** Refusal after the last attempt of an idempotent request. */
export function backendFailed(detail: string, dispatched: boolean): Refusal {
  if (!dispatched) return notRun('backend-failed', detail, BACKEND_RETRY_AFTER_MS);
  return { reason: 'backend-failed', run: 'unknown', detail, retryAfterMs: BACKEND_RETRY_AFTER_MS };
}

/** Refusal of a non-idempotent request whose dispatch has no known outcome. */
export function outcomeUnknown(detail: string): Refusal {
  return { reason: 'outcome-unknown', run: 'unknown', detail };
}
