/**
 * Runs one request after its body was read: reserve tokens, choose a server, send, check the
 * response, forward it, settle the reservation.
 *
 * Tokens are reserved before anything is sent, so the budget is never exceeded, regardless of what
 * the servers do. The head of a response is checked before any byte of it is forwarded, so a caller
 * never gets the response to another request.
 */

import type { PrepaidReservation, Refusal } from '@flamingocourse/core';
import type { Placement } from '@flamingocourse/router';
import type { Outcome } from '../types/outcome.js';
import type { StreamStart } from '../types/streamStart.js';
import type { FlowParts } from '../types/flowParts.js';
import type { EndCause, RequestProgress, RoutedCall } from '../types/requestRun.js';
import type { FailedAttempt } from '../runtime/retryPolicy.js';
import type { BackendLane } from './backendLanes.js';
import { createHash } from 'node:crypto';
import { EventOrder, partFingerprint } from '@flamingocourse/core';
import { notRun } from '@flamingocourse/router';
import { isStream, mayRetry, refusalAfterFailure } from '../runtime/retryPolicy.js';
import { homesOf } from '../runtime/homes.js';
import { isSuccess } from '../runtime/isSuccess.js';
import { affinityKey } from '../runtime/affinityKey.js';
import { chargeOf } from '../runtime/charge.js';
import { importanceOf, effectivePriority } from '../runtime/requestPriority.js';
import { sharedParts } from '../runtime/sharedParts.js';
import { cutByStop, timeOver } from './entryRefusals.js';
import { ServerAttempt, historyOf } from './serverAttempt.js';

/** Minimum `retryAfterMs` of a refusal when no server could take the request, in milliseconds. */
const NO_SERVER_RETRY_MS = 300;

/** Runs one request. */
export class RequestFlow {
  readonly #parts: FlowParts;
  readonly #call: RoutedCall;
  readonly #progress: RequestProgress;

  constructor(parts: FlowParts, call: RoutedCall) {
    this.#parts = parts;
    this.#call = call;
    const { software } = call.stream;
    const { resumeAfter } = call.head;
    const { weightsField } = parts.context.dialects.servers;
    this.#progress = {
      tried: [],
      answeredOn: new Set(),
      made: 0,
      mayHaveRun: 0,
      events: 0,
      order: new EventOrder({ weightsField, after: resumeAfter }),
      resumeAfter,
      isResumable: true,
      software,
      charged: 0,
      fingerprint: fingerprintOf(call),
    };
  }

  /** Progress so far, for the log. */
  get progress(): Readonly<RequestProgress> {
    return this.#progress;
  }

  /** Where the request may begin or go on with its stream. */
  get stream(): StreamStart {
    return this.#call.stream;
  }

  /** Runs the request to its end. Rejects only if this process has a bug. */
  async run(): Promise<Outcome> {
    if (this.#call.answer.callerGone) return { type: 'gone' };
    const reserved = await this.#reserve();
    if (reserved.type === 'refused') return this.#refuse(reserved.refusal);
    let outcome: Outcome | undefined;
    try {
      outcome = await this.#sendWithinShare();
      return outcome;
    } finally {
      this.#settle(reserved.reservation, outcome);
    }
  }

  /** Asks once for the request's part of an overloaded service; its retries are not asked about. */
  async #sendWithinShare(): Promise<Outcome> {
    const { room } = this.#parts;
    const ticket = room.ask(this.#call);
    if (ticket.refusal) return this.#refuse(ticket.refusal);
    let outcome: Outcome | undefined;
    try {
      outcome = await this.#sendWithRetries();
      return outcome;
    } finally {
      room.recordEnd(ticket, this.#call, this.#progress, outcome);
    }
  }

  async #reserve(): Promise<
    | { type: 'held'; reservation: PrepaidReservation | undefined }
    | { type: 'refused'; refusal: Refusal }
  > {
    const { account, head, signal, endsAt } = this.#call;
    if (account?.prepaid === undefined || head.size === undefined) {
      return { type: 'held', reservation: undefined };
    }
    const most = head.size.prompt + head.size.most;
    const reserved = await this.#parts.prepaid.reserve(account.name, most, signal, endsAt);
    return reserved.isOk
      ? { type: 'held', reservation: reserved.value }
      : { type: 'refused', refusal: reserved.error };
  }

  #settle(reservation: PrepaidReservation | undefined, outcome: Outcome | undefined): void {
    const { head, service, route } = this.#call;
    if (!reservation || !head.size) return;
    const { mayHaveRun, events } = this.#progress;
    const { prepaid } = this.#parts.context.settings;
    const request = {
      ...head.size,
      mayHaveRun,
      answered: outcome?.type === 'answered' && isSuccess(outcome.status),
      events: isStream(route.repetition) ? events : undefined,
      tokensPerEvent: service.tokensPerEvent,
    };
    this.#progress.charged = chargeOf(request, prepaid.unanswered);
    this.#parts.prepaid.settle(reservation, this.#progress.charged);
  }

  async #sendWithRetries(): Promise<Outcome> {
    const lane = this.#parts.lanes.find(this.#call.service.name);
    if (!lane) return this.#refuse(noServers());
    lane.retries.request(this.#now());
    for (;;) {
      const placed = await this.#place(lane);
      if (placed.type === 'refused') return this.#refuse(placed.refusal);
      const { placement } = placed;
      if (!this.#mayBegin()) {
        placement.end('cancelled');
        return this.#refuse(cutByStop(this.#progress.mayHaveRun));
      }
      const attempt = { parts: this.#parts, call: this.#call, progress: this.#progress };
      const end = await new ServerAttempt({ ...attempt, placement, lane }).run();
      if (end.type === 'answered') return end;
      if (end.type === 'interrupted') return this.#interrupted();
      const stop = this.#outcomeAfter(end.failed, lane);
      if (stop) return stop;
    }
  }

  /** A response that has begun goes on for as long as it can; others may be had elsewhere. */
  #mayBegin(): boolean {
    return this.#call.answer.started || this.#call.mayBegin();
  }

  async #place(
    lane: BackendLane,
  ): Promise<{ type: 'placed'; placement: Placement } | { type: 'refused'; refusal: Refusal }> {
    const { head, route, account, arrivedAt, endsAt, signal, service } = this.#call;
    const { regions } = this.#parts.context.settings;
    const prefixKey = affinityKey(head.promptParts);
    const placed = await lane.lane.place({
      service: service.name,
      workClass: route.name,
      importance: importanceOf(effectivePriority(route, account)),
      deadline: endsAt,
      // a request that has not run yet waits for rate limits and pauses only while it can meet its
      // target.
      ...(this.#progress.mayHaveRun === 0 ? { startBy: arrivedAt + route.targetMs } : {}),
      ...(prefixKey === undefined ? {} : { prefixKey }),
      ...(head.size === undefined
        ? {}
        : {
            promptTokens: head.size.prompt,
            outputTokens: head.size.most,
            promptParts: head.promptParts,
          }),
      tried: this.#progress.tried,
      bounds: { software: this.#progress.software, homes: homesOf(route, account, regions) },
      fingerprint: this.#progress.fingerprint,
      partFingerprints: sharedParts(head.promptParts).map(({ id }) => partFingerprint(id)),
      signal,
    });
    return placed.isOk
      ? { type: 'placed', placement: placed.value }
      : { type: 'refused', refusal: this.#correctRunVerdict(placed.error) };
  }

  /**
   * Makes sure that the refusal of a retry says `not-run` only if no earlier attempt can have run.
   */
  #correctRunVerdict(refusal: Refusal): Refusal {
    if (this.#progress.mayHaveRun === 0) return refusal;
    return refusalAfterFailure(this.#progress.mayHaveRun, refusal.detail, NO_SERVER_RETRY_MS);
  }

  /** Returns the final outcome after a failed attempt; undefined if the request is retried. */
  #outcomeAfter(failed: FailedAttempt, lane: BackendLane): Outcome | undefined {
    const { answer, signal } = this.#call;
    if (signal.aborted) return this.#interrupted();
    const now = this.#now();
    const follows = mayRetry(failed, historyOf(this.#call, this.#progress, now));
    // an attempt that never reached a server does not count against the retry allowance.
    if (follows && (failed === 'not-sent' || lane.retries.take(now))) return undefined;
    if (answer.started)
      return this.#abortAnswer(`stream aborted after a failed attempt: ${failed}`);
    const detail = 'No backend server gave an answer.';
    return this.#refuse(
      refusalAfterFailure(this.#progress.mayHaveRun, detail, retryAfterMs(lane, now)),
    );
  }

  /** Ends the request because its signal was aborted. */
  #interrupted(): Outcome {
    const { answer, signal } = this.#call;
    if (answer.callerGone) return { type: 'gone' };
    const cause = signal.reason as EndCause;
    if (answer.started) return this.#abortAnswer(cause);
    if (cause === 'stopping') return this.#refuse(cutByStop(this.#progress.mayHaveRun));
    if (this.#progress.mayHaveRun > 0) {
      const detail = 'The time limit passed.';
      return this.#refuse({ reason: 'deadline-passed', run: 'unknown', detail });
    }
    return this.#refuse(timeOver());
  }

  #abortAnswer(detail: string): Outcome {
    this.#call.answer.abort();
    return { type: 'broken', detail };
  }

  #refuse(refusal: Refusal): Outcome {
    const { answer } = this.#call;
    if (answer.callerGone) return { type: 'gone' };
    if (answer.started) return this.#abortAnswer(refusal.detail);
    const status = answer.refuse(this.#parts.context.dialects.callers.encodeRefusal(refusal));
    return { type: 'refused', status, refusal };
  }

  #now(): number {
    return this.#parts.context.clock.now();
  }
}

/** Returns a digest of the request's content; the same when the caller repeats the request. */
function fingerprintOf({ head, account, body }: RoutedCall): string {
  const hash = createHash('sha1').update(head.method).update(head.target).update('\0');
  return hash
    .update(account?.name ?? '')
    .update('\0')
    .update(body)
    .digest('base64');
}

/** Returns `retryAfterMs` of a refusal; not before a request can be sent again to any server. */
function retryAfterMs({ lane: { pool } }: BackendLane, now: number): number {
  return Math.max(NO_SERVER_RETRY_MS, Math.ceil(pool.sendPace(now)?.firstMs ?? 0));
}

function noServers(): Refusal {
  return notRun('no-backend-server', 'No backend server is known.', NO_SERVER_RETRY_MS);
}
