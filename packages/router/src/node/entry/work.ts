/** Base class for running one request on backend servers, with the parts that all kinds share. */

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

/** Suggested delay before a retry, in milliseconds; by then a backend server may be available. */
const BACKEND_RETRY_AFTER_MS = 1_000;

/** The router's services that a request's work uses. */
export interface WorkContext {
  backends: Backends;
  clock: Clock;
  log: EventLog;
  maxAttempts: number;
}

/** How the work of a request ended. */
export type WorkEnd =
  | { type: 'whole'; end: AnswerEnd; details: BillDetails }
  /** No caller waits any more; `details` is the usage so far, absent if nothing was dispatched. */
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

  /** Maximum number of tokens that the request can cost. */
  abstract worstCase(): Tokens;

  /** Runs the request to its end; never throws for a failure of a backend server. */
  abstract run(execution: Execution): Promise<WorkEnd>;

  /** Key that requests with the same prompt prefix share; undefined if the request has no prompt. */
  protected prefixKey(): string | undefined {
    return undefined;
  }

  /** Waits for a placement on a backend server, preferably one that this request has not tried. */
  protected async place(execution: Execution): Promise<Result<Placement, Refusal>> {
    const { service, workClass, deadline } = this.request;
    const prefixKey = this.prefixKey();
    const placementRequest: PlacementRequest = {
      service: service.name,
      workClass: workClass.name,
      importance: workClass.importance,
      deadline,
      tried: this.#tried,
      fingerprint: this.#fingerprint,
      signal: execution.abort.signal,
      ...(prefixKey === undefined ? {} : { prefixKey }),
    };
    const placed = await this.context.backends.place(placementRequest);
    if (placed.isOk) this.#tried.push(placed.value.server.id);
    return placed;
  }

  /** Unique id of one attempt, to recognise output of other attempts. */
  protected nonce(execution: Execution, attempt: number): string {
    return `${digest(execution.answer.requestId).slice(0, 24)}-${attempt}`;
  }

  /** Whether another attempt is allowed after `attempts` attempts. */
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
