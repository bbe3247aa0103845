/**
 * One request from its body to its end: reserve, place, send, judge, pass the answer on, settle.
 *
 * Order of the steps, and why: the reservation comes before anything is sent, so a budget holds
 * whatever the servers do. An answer's head is judged before a byte of it reaches the caller, so
 * that an answer to another request never does.
 */

import type { PrepaidReservation, Refusal } from '@flamingocourse/core';
import type { Placement } from '@flamingocourse/router';
import type { Outcome } from '../types/outcome.js';
import type { FlowParts, Progress, RoutedCall } from '../types/requestRun.js';
import type { FailedAttempt } from '../runtime/attemptJudgement.js';
import type { BackendLane } from './backendLanes.js';
import { createHash } from 'node:crypto';
import { notRun } from '@flamingocourse/router';
import { isStream, mayFollow, refuseFailed } from '../runtime/attemptJudgement.js';
import { affinityKey } from '../runtime/affinityKey.js';
import { chargeOf } from '../runtime/charge.js';
import { importanceOf, effectivePriority } from '../runtime/urgency.js';
import { ServerAttempt, historyOf } from './serverAttempt.js';

/** Milliseconds after which a caller may come back when no server could take its request. */
const NO_SERVER_RETRY_MS = 300;

/** Runs one request. */
export class RequestFlow {
  readonly #parts: FlowParts;
  readonly #call: RoutedCall;
  readonly #progress: Progress;

  constructor(parts: FlowParts, call: RoutedCall) {
    this.#parts = parts;
    this.#call = call;
    const { resumeAfter } = call.head;
    this.#progress = {
      tried: [],
      made: 0,
      mayHaveRun: 0,
      events: 0,
      resumeAfter,
      charged: 0,
      fingerprint: fingerprintOf(call),
    };
  }

  /** Servers tried, attempts and events so far, for the log. */
  get progress(): Readonly<Progress> {
    return this.#progress;
  }

  /** Runs the request to its end; never rejects for reasons outside our own code. */
  async run(): Promise<Outcome> {
    if (this.#call.answer.gone) return { type: 'gone' };
    const reserved = await this.#reserve();
    if (reserved.type === 'refused') return this.#refuse(reserved.refusal);
    let outcome: Outcome | undefined;
    try {
      outcome = await this.#serve();
      return outcome;
    } finally {
      this.#settle(reserved.reservation, outcome);
    }
  }

  async #reserve(): Promise<
    | { type: 'held'; reservation: PrepaidReservation | undefined }
    | { type: 'refused'; refusal: Refusal }
  > {
    const { account, head, signal } = this.#call;
    if (account?.prepaid === undefined || head.size === undefined) {
      return { type: 'held', reservation: undefined };
    }
    const most = head.size.prompt + head.size.most;
    const reserved = await this.#parts.prepaid.reserve(account.name, most, signal);
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

  async #serve(): Promise<Outcome> {
    const lane = this.#parts.lanes.find(this.#call.service.name);
    if (!lane) return this.#refuse(noServers());
    lane.retries.request(this.#now());
    for (;;) {
      const placed = await this.#place(lane);
      if (placed.type === 'refused') return this.#refuse(placed.refusal);
      const { placement } = placed;
      const attempt = { parts: this.#parts, call: this.#call, progress: this.#progress };
      const end = await new ServerAttempt({ ...attempt, placement, lane }).run();
      if (end.type === 'answered') return end;
      if (end.type === 'interrupted') return this.#interrupted();
      const stop = this.#stopAfter(end.failed, lane);
      if (stop) return stop;
    }
  }

  async #place(
    lane: BackendLane,
  ): Promise<{ type: 'placed'; placement: Placement } | { type: 'refused'; refusal: Refusal }> {
    const { head, route, account, arrivedAt, endsAt, signal, service } = this.#call;
    const prefixKey = affinityKey(head.promptParts);
    const placed = await lane.lane.place({
      service: service.name,
      workClass: route.name,
      importance: importanceOf(effectivePriority(route, account)),
      deadline: endsAt,
      // what has not run yet waits for limits and rests only while the answer can still be in time.
      ...(this.#progress.mayHaveRun === 0 ? { startBy: arrivedAt + route.targetMs } : {}),
      ...(prefixKey === undefined ? {} : { prefixKey }),
      ...(head.size === undefined ? {} : { promptTokens: head.size.prompt }),
      tried: this.#progress.tried,
      fingerprint: this.#progress.fingerprint,
      signal,
    });
    return placed.isOk
      ? { type: 'placed', placement: placed.value }
      : { type: 'refused', refusal: this.#asKnown(placed.error) };
  }

  /** A refusal of a further attempt says `not-run` only if the earlier ones did not run either. */
  #asKnown(refusal: Refusal): Refusal {
    if (this.#progress.mayHaveRun === 0) return refusal;
    return refuseFailed(this.#progress.mayHaveRun, refusal.detail, NO_SERVER_RETRY_MS);
  }

  /** The outcome if no further attempt may follow. */
  #stopAfter(failed: FailedAttempt, lane: BackendLane): Outcome | undefined {
    const { answer, signal } = this.#call;
    if (signal.aborted) return this.#interrupted();
    const now = this.#now();
    const follows = mayFollow(failed, historyOf(this.#call, this.#progress, now));
    // what never reached a server is not counted as a further attempt by anybody.
    if (follows && (failed === 'not-sent' || lane.retries.take(now))) return undefined;
    if (answer.started) return this.#break(`broke off after ${failed}`);
    const detail = 'No backend server gave an answer.';
    return this.#refuse(refuseFailed(this.#progress.mayHaveRun, detail, retryMs(lane, now)));
  }

  /** The caller left, or its time is over. */
  #interrupted(): Outcome {
    const { answer } = this.#call;
    if (answer.gone) return { type: 'gone' };
    if (answer.started) return this.#break('time is over');
    const detail = 'The time limit passed.';
    if (this.#progress.mayHaveRun > 0) {
      return this.#refuse({ reason: 'deadline-passed', run: 'unknown', detail });
    }
    return this.#refuse(notRun('deadline-unreachable', detail));
  }

  #break(detail: string): Outcome {
    this.#call.answer.cut();
    return { type: 'broken', detail };
  }

  #refuse(refusal: Refusal): Outcome {
    const { answer } = this.#call;
    if (answer.gone) return { type: 'gone' };
    if (answer.started) return this.#break(refusal.detail);
    const status = answer.refuse(this.#parts.context.dialects.callers.writeRefusal(refusal));
    return { type: 'refused', status, refusal };
  }

  #now(): number {
    return this.#parts.context.clock.now();
  }
}

/** Digest of what runs, the same whenever the caller sends it again. */
function fingerprintOf({ head, account, body }: RoutedCall): string {
  const hash = createHash('sha1').update(head.method).update(head.target).update('\0');
  return hash
    .update(account?.name ?? '')
    .update('\0')
    .update(body)
    .digest('base64');
}

function isSuccess(status: number | undefined): boolean {
  return status !== undefined && status >= 200 && status < 300;
}

/** Milliseconds after which a caller may come back: not before a server is back, where all rest. */
function retryMs({ lane: { pool } }: BackendLane, now: number): number {
  const restMs = pool.hasOpenServer(undefined, now) ? undefined : pool.restEndsInMs(now);
  return Math.max(NO_SERVER_RETRY_MS, Math.ceil(restMs ?? 0));
}

function noServers(): Refusal {
  return notRun('no-backend-server', 'No backend server is known.', NO_SERVER_RETRY_MS);
}
