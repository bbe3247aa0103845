/**
 * One request from its body to its end: reserve, place, send, judge, pass the answer on, settle.
 *
 * Order of the steps, and why: the reservation comes before anything is sent, so a budget holds
 * whatever the servers do. An answer's head is judged before a byte of it reaches the caller, so
 * that an answer to another request never does.
 */

import type {
  PrepaidReservation,
  Refusal,
  Route,
  RouteTable,
  RoutedAccount,
  RoutedService,
} from '@flamingocourse/core';
import type { Placement } from '@flamingocourse/router';
import type { CallHead } from '../types/call.js';
import type { GatewayContext } from '../types/context.js';
import type { Outcome } from '../types/outcome.js';
import type { AttemptHistory, FailedAttempt } from '../runtime/attemptJudgement.js';
import type { BackendLane, BackendLanes } from './backendLanes.js';
import type { AttemptFault, OpenAnswer } from './httpAttempt.js';
import type { PrepaidService } from './prepaidService.js';
import type { ServerAgent } from './serverAgent.js';
import type { CallerAnswer } from './callerAnswer.js';
import type { RelayEnd } from './answerRelay.js';
import { createHash } from 'node:crypto';
import { notRun } from '@flamingocourse/router';
import { isRepeatable, mayFollow, refuseFailed } from '../runtime/attemptJudgement.js';
import { enginePriority } from '../runtime/enginePriority.js';
import { affinityKey } from '../runtime/affinityKey.js';
import { importanceOf, urgencyOf } from '../runtime/urgency.js';
import { openAttempt } from './httpAttempt.js';
import { relayStream, relayWhole } from './answerRelay.js';

/** Milliseconds after which a caller may come back when no server could take its request. */
const NO_SERVER_RETRY_MS = 300;
/**
 * Times its target that a repeatable request waits for the first of several servers, at least. An
 * answer that comes so late is more likely lost than slow.
 */
const PATIENCE = 2;
/** Part of the remaining time that it waits, at least: two servers must not share a short wait. */
const ATTEMPT_PART = 0.6;

/** What all requests of a process share. */
export interface FlowParts {
  context: GatewayContext;
  lanes: BackendLanes;
  prepaid: PrepaidService;
  agent: ServerAgent;
}

/** A request whose route and account are known and whose body was read. */
export interface RoutedCall {
  head: CallHead;
  body: Buffer;
  table: RouteTable;
  route: Route;
  account: RoutedAccount | undefined;
  service: RoutedService;
  arrivedAt: number;
  /** When its time is over, by the caller's word and the route's limit. */
  endsAt: number;
  answer: CallerAnswer;
  /** Aborted when the caller left or its time is over. */
  signal: AbortSignal;
}

/** Progress of one request. */
interface Progress {
  tried: string[];
  made: number;
  mayHaveRun: number;
  events: number;
  resumeAfter: string | undefined;
  /** Tokens charged to the account. */
  charged: number;
}

type AttemptEnd = { type: 'done'; outcome: Outcome } | { type: 'failed'; failed: FailedAttempt };

/** Runs one request. */
export class RequestFlow {
  readonly #parts: FlowParts;
  readonly #call: RoutedCall;
  readonly #progress: Progress;

  constructor(parts: FlowParts, call: RoutedCall) {
    this.#parts = parts;
    this.#call = call;
    const { resumeAfter } = call.head;
    this.#progress = { tried: [], made: 0, mayHaveRun: 0, events: 0, resumeAfter, charged: 0 };
  }

  /** Servers tried, attempts and events so far, for the log. */
  get progress(): Readonly<Progress> {
    return this.#progress;
  }

  /** Runs the request to its end; never rejects for reasons outside our own code. */
  async run(): Promise<Outcome> {
    const reserved = await this.#reserve();
    if (reserved.type === 'refused') return this.#refuse(reserved.refusal);
    try {
      return await this.#serve();
    } finally {
      this.#settle(reserved.reservation);
    }
  }

  async #reserve(): Promise<
    | { type: 'held'; reservation: PrepaidReservation | undefined }
    | { type: 'refused'; refusal: Refusal }
  > {
    const { account, head } = this.#call;
    if (account?.prepaid === undefined || head.size === undefined) {
      return { type: 'held', reservation: undefined };
    }
    const most = head.size.prompt + head.size.most;
    const reserved = await this.#parts.prepaid.reserve(account.name, most);
    return reserved.isOk
      ? { type: 'held', reservation: reserved.value }
      : { type: 'refused', refusal: reserved.error };
  }

  /** Charges the prompt once if it may have been read, and what was generated and passed on. */
  #settle(reservation: PrepaidReservation | undefined): void {
    const { head, service } = this.#call;
    if (!reservation || !head.size) return;
    const { mayHaveRun, events } = this.#progress;
    const generated = Math.min(head.size.most, events * service.tokensPerEvent);
    const used = mayHaveRun === 0 ? 0 : head.size.prompt + generated;
    this.#progress.charged = used;
    this.#parts.prepaid.settle(reservation, used);
  }

  async #serve(): Promise<Outcome> {
    const lane = this.#parts.lanes.find(this.#call.service.name);
    if (!lane) return this.#refuse(noServers());
    lane.retries.request(this.#now());
    for (;;) {
      const placed = await this.#place(lane);
      if (placed.type === 'refused') return this.#refuse(placed.refusal);
      const end = await this.#attempt(placed.placement, lane);
      if (end.type === 'done') return end.outcome;
      const stop = this.#stopAfter(end.failed, lane);
      if (stop) return stop;
    }
  }

  async #place(
    lane: BackendLane,
  ): Promise<{ type: 'placed'; placement: Placement } | { type: 'refused'; refusal: Refusal }> {
    const { head, route, account, endsAt, signal, service } = this.#call;
    const prefixKey = affinityKey(head.promptParts);
    const placed = await lane.lane.place({
      service: service.name,
      workClass: route.name,
      importance: importanceOf(urgencyOf(route, account)),
      deadline: endsAt,
      ...(prefixKey === undefined ? {} : { prefixKey }),
      tried: this.#progress.tried,
      fingerprint: fingerprintOf(this.#call),
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

  async #attempt(placement: Placement, lane: BackendLane): Promise<AttemptEnd> {
    const { context, agent } = this.#parts;
    const { head, account, body, signal, endsAt, service } = this.#call;
    const startedAt = this.#now();
    this.#progress.made += 1;
    const { server } = placement;
    const opened = await openAttempt({
      url: server.url,
      method: head.method,
      target: head.target,
      headers: context.dialects.servers.attemptHeaders(head, {
        serverId: server.id,
        leftMs: Math.max(1, Math.floor(endsAt - startedAt)),
        account: account?.name,
        priority: head.size && enginePriority(head.size),
        resumeAfter: this.#progress.resumeAfter,
        bodyBytes: body.length,
      }),
      body,
      agent,
      connectMs: context.settings.servers.connectMs,
      headMs: this.#headMs(startedAt),
      signal,
    });
    if (opened.isErr) return this.#faulted(placement, opened.error);
    placement.heard();
    this.#learnLoad(opened.value, placement, lane);
    const verdict = context.dialects.servers.judge(head, opened.value.head);
    context.metrics.attempt(service.name, verdict);
    switch (verdict) {
      case 'answered':
        this.#progress.mayHaveRun += 1;
        return this.#relay(opened.value, placement, startedAt);
      case 'not-run':
        opened.value.body.resume();
        return this.#failed(
          placement,
          'refused',
          'cancelled',
          `status ${opened.value.head.status}`,
        );
      case 'other-server':
        opened.value.body.resume();
        return this.#failed(placement, 'other-server', 'leaving', 'another server has the address');
      case 'spoilt':
        opened.value.drop();
        this.#progress.mayHaveRun += 1;
        return this.#failed(placement, 'unknown', 'failed', 'not an answer to this request');
    }
  }

  /** Milliseconds for the head; the request's own end decides where no other attempt may follow. */
  #headMs(now: number): number | undefined {
    const { route, endsAt } = this.#call;
    const leftMs = Math.max(1, endsAt - now);
    const last = this.#progress.mayHaveRun + 1 >= route.maxAttempts;
    if (last || !isRepeatable(route.repetition)) return undefined;
    return Math.min(leftMs, Math.max(ATTEMPT_PART * leftMs, PATIENCE * route.targetMs));
  }

  #faulted(placement: Placement, fault: AttemptFault): AttemptEnd {
    if (fault.sent) this.#progress.mayHaveRun += 1;
    if (fault.reason === 'aborted') {
      placement.end('cancelled');
      return { type: 'done', outcome: this.#interrupted() };
    }
    if (!fault.sent) return this.#failed(placement, 'not-sent', 'unreachable', fault.cause);
    const how = fault.reason === 'timeout' ? 'timed-out' : 'failed';
    return this.#failed(placement, 'unknown', how, fault.cause);
  }

  #failed(
    placement: Placement,
    failed: FailedAttempt,
    how: Parameters<Placement['end']>[0],
    cause: string,
  ): AttemptEnd {
    const { context } = this.#parts;
    const { head, service } = this.#call;
    placement.end(how);
    this.#progress.tried.push(placement.server.id);
    context.metrics.attempt(service.name, failed);
    context.log.write('attempt-failed', {
      request: head.id,
      server: placement.server.id,
      failed,
      cause,
      made: this.#progress.made,
      mayHaveRun: this.#progress.mayHaveRun,
      leftMs: Math.round(this.#call.endsAt - this.#now()),
    });
    return { type: 'failed', failed };
  }

  async #relay(open: OpenAnswer, placement: Placement, startedAt: number): Promise<AttemptEnd> {
    const { context } = this.#parts;
    const { answer, head, route, signal } = this.#call;
    const isStream = route.repetition === 'resumable-stream' || route.repetition === 'once-stream';
    const headers = context.dialects.servers.answerHeaders(open.head);
    const isError = open.head.status >= 500;
    if (isError && !answer.started && this.#mayTryAgain('server-error')) {
      open.body.resume();
      return this.#failed(placement, 'server-error', 'ok', `status ${open.head.status}`);
    }
    const heard = (): void => {
      placement.heard();
    };
    const relay = { open, answer, headers, signal, heard, now: () => this.#now() };
    const end: RelayEnd =
      isStream && !isError
        ? await relayStream(relay, (events, lastId) => {
            this.#progress.events += events;
            if (lastId !== undefined) this.#progress.resumeAfter = lastId;
          })
        : await relayWhole(relay);
    if (end.type === 'whole') {
      placement.end('ok', (end.firstByteAt ?? this.#now()) - startedAt);
      return { type: 'done', outcome: { type: 'answered', status: open.head.status } };
    }
    if (end.type === 'aborted' || answer.gone) {
      placement.end('cancelled');
      return { type: 'done', outcome: this.#interrupted() };
    }
    context.log.write('attempt-failed', {
      request: head.id,
      cause: end.cause,
      events: answer.events,
    });
    return this.#failed(placement, 'unknown', 'crashed', end.cause);
  }

  #mayTryAgain(failed: FailedAttempt): boolean {
    return mayFollow(failed, this.#history());
  }

  #history(): AttemptHistory {
    const { route, endsAt } = this.#call;
    const { mayHaveRun, made } = this.#progress;
    const { repetition, maxAttempts } = route;
    return { repetition, maxAttempts, mayHaveRun, made, leftMs: endsAt - this.#now() };
  }

  /** The outcome if no further attempt may follow. */
  #stopAfter(failed: FailedAttempt, lane: BackendLane): Outcome | undefined {
    const { answer, signal } = this.#call;
    if (signal.aborted) return this.#interrupted();
    // what never reached a server is not counted as a further attempt by anybody.
    const allowed = failed === 'not-sent' || lane.retries.take(this.#now());
    if (allowed && this.#mayTryAgain(failed)) return undefined;
    if (answer.started) return this.#break(`broke off after ${failed}`);
    const detail = 'No backend server gave an answer.';
    return this.#refuse(refuseFailed(this.#progress.mayHaveRun, detail, NO_SERVER_RETRY_MS));
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

  #learnLoad(open: OpenAnswer, { server }: Placement, { lane }: BackendLane): void {
    const load = this.#parts.context.dialects.servers.load(open.head);
    const now = this.#now();
    if (load) lane.pool.reportLoad(server.id, { ...load, at: now }, now);
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

function noServers(): Refusal {
  return notRun('no-backend-server', 'No backend server is known.', NO_SERVER_RETRY_MS);
}
