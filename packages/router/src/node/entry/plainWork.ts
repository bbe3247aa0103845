/**
 * A call of a plain service.
 *
 * A non-idempotent call is retried only if the last attempt provably did not run: no connection was
 * made, or the server refused the call because it is leaving.
 */

import type { Refusal, Tokens } from '@flamingocourse/core';
import type { PlacementOutcome, Placement } from '../../types/backends.js';
import type { PlainOutcome } from '../backends/plainAttempt.js';
import type { PlainRequest } from './callerRequest.js';
import type { Execution } from './executionTable.js';
import type { WorkEnd } from './work.js';
import { runPlainAttempt } from '../backends/plainAttempt.js';
import { backendFailed, outcomeUnknown, Work } from './work.js';

/** Runs a call of a plain service. */
export class PlainWork extends Work<PlainRequest> {
  override worstCase(): Tokens {
    return this.request.service.tokensPerCall;
  }

  override async run(execution: Execution): Promise<WorkEnd> {
    for (let attempts = 1; ; attempts += 1) {
      const placed = await this.place(execution);
      if (placed.isErr) {
        if (execution.abort.signal.aborted && !execution.dispatched) return { type: 'cancelled' };
        return { type: 'refused', refusal: this.#placementRefusal(placed.error, execution) };
      }
      const end = await this.#attempt(execution, placed.value, attempts);
      const workEnd = this.#endOrRetry(end, execution, attempts);
      if (workEnd) return workEnd;
    }
  }

  async #attempt(
    execution: Execution,
    placement: Placement,
    attempts: number,
  ): Promise<PlainOutcome> {
    const wasDispatched = execution.dispatched;
    execution.dispatched = true;
    const startedAt = this.context.clock.now();
    placement.recordSent();
    const end = await runPlainAttempt({
      url: placement.server.url,
      nonce: this.nonce(execution, attempts),
      method: this.request.method,
      path: this.request.path,
      contentType: this.request.contentType,
      body: this.request.body,
      timeoutMs: this.remainingMs(),
      signal: execution.abort.signal,
    });
    placement.end(attemptEndOf(end), this.context.clock.now() - startedAt);
    if (end.type === 'not-sent' || end.type === 'leaving') execution.dispatched = wasDispatched;
    return end;
  }

  #endOrRetry(end: PlainOutcome, execution: Execution, attempts: number): WorkEnd | undefined {
    switch (end.type) {
      case 'done':
        return this.#completed(end);
      case 'too-large':
        return {
          type: 'refused',
          refusal: {
            reason: 'backend-failed',
            run: 'ran',
            detail: 'The service ran the call but its answer is too large to pass on.',
          },
        };
      case 'cancelled':
        return this.request.idempotent
          ? { type: 'cancelled' }
          : { type: 'refused', refusal: outcomeUnknown(describeEnd(end)) };
      case 'not-sent':
      case 'leaving':
        if (this.mayRetry(attempts)) return undefined;
        return { type: 'refused', refusal: backendFailed(describeEnd(end), execution.dispatched) };
      case 'crashed':
      case 'timed-out':
        if (!this.request.idempotent) {
          return { type: 'refused', refusal: outcomeUnknown(describeEnd(end)) };
        }
        if (this.mayRetry(attempts)) return undefined;
        return { type: 'refused', refusal: backendFailed(describeEnd(end), true) };
    }
  }

  #placementRefusal(refusal: Refusal, execution: Execution): Refusal {
    return execution.dispatched ? backendFailed(refusal.detail, true) : refusal;
  }

  #completed(end: PlainOutcome & { type: 'done' }): WorkEnd {
    const { service } = this.request;
    const details = {
      service: service.name,
      cost: service.tokensPerCall,
      promptTokens: 0,
      completionTokens: 0,
    };
    const { status, contentType, body } = end;
    return { type: 'whole', details, end: { type: 'plain', status, contentType, body } };
  }
}

function attemptEndOf(end: PlainOutcome): PlacementOutcome {
  switch (end.type) {
    case 'done':
      return end.status >= 500 ? 'failed' : 'ok';
    case 'too-large':
      return 'ok';
    case 'not-sent':
      return 'failed';
    case 'leaving':
    case 'crashed':
    case 'timed-out':
    case 'cancelled':
      return end.type;
  }
}

function describeEnd(end: PlainOutcome): string {
  switch (end.type) {
    case 'timed-out':
      return 'The service did not answer in time.';
    case 'leaving':
      return 'The service instance is leaving; try again.';
    case 'crashed':
      return `The connection to the service broke after the call was sent: ${end.detail}.`;
    case 'not-sent':
      return `The service could not be reached: ${end.detail}.`;
    case 'cancelled':
      return 'The call was given up while it ran.';
    case 'done':
    case 'too-large':
      return end.type;
  }
}
