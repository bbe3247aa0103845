/** One attempt of a request at one backend server: send it, check the response and forward it. */

import type { Duplex } from 'node:stream';
import type { ProcessVerdict } from '@flamingocourse/core';
import type { Placement } from '@flamingocourse/router';
import type { AttemptHistory, FailedAttempt } from '../runtime/retryPolicy.js';
import type { Relay, RelayEnd } from './answerRelay.js';
import type { BackendLane } from './backendLanes.js';
import type { AttemptFault, AttemptRequest, OpenAnswer } from './httpAttempt.js';
import type { GenerationSize, ServerHead } from '../types/call.js';
import type { FlowParts } from '../types/flowParts.js';
import type { RequestProgress, RoutedCall } from '../types/requestRun.js';
import { EventTiming, UNCERTAIN_VERSION } from '@flamingocourse/core';
import { Result } from 'true-myth';
import { isRepeatable, isStream, mayRetry } from '../runtime/retryPolicy.js';
import { enginePriority } from '../runtime/enginePriority.js';
import { isServerFull } from '../runtime/isServerFull.js';
import { isSuccess } from '../runtime/isSuccess.js';
import { effectivePriority, importanceOf } from '../runtime/requestPriority.js';
import { sharedPartIds } from '../runtime/sharedParts.js';
import { recordLoad } from './recordLoad.js';
import { recordNotice } from './recordNotice.js';
import { relayStream, relayWhole } from './answerRelay.js';
import { discardAnswer } from './discardAnswer.js';
import { openAttempt } from './httpAttempt.js';

/**
 * Minimum wait for a response that can still be retried elsewhere, as a multiple of the route's
 * target time. A response that takes longer is more likely lost than slow.
 */
const MIN_WAIT_TARGETS = 2;
/**
 * Minimum wait as a fraction of the remaining time, so that a short time is not split between two
 * servers.
 */
const MIN_WAIT_FRACTION = 0.6;

/**
 * Milliseconds after its first event after which a stream shows that its prompt does not crash the
 * server, which happens when writing begins.
 */
const SURVIVED_MS = 500;
/** Connections on which an attempt is tried if other requests take those that were asked. */
const MAX_CONNECTIONS = 3;

/** How an attempt ended. */
export type AttemptEnd =
  | { type: 'answered'; status: number }
  /** The caller disconnected, or the deadline passed. */
  | { type: 'interrupted' }
  | { type: 'failed'; failed: FailedAttempt };

/** Arguments of an attempt. */
export interface AttemptParts {
  parts: FlowParts;
  call: RoutedCall;
  /** Updated while the attempt runs. */
  progress: RequestProgress;
  placement: Placement;
  lane: BackendLane;
}

/**
 * Runs one attempt.
 *
 * @example
 * const end = await new ServerAttempt({ parts, call, progress, placement, lane }).run();
 */
export class ServerAttempt {
  readonly #parts: FlowParts;
  readonly #call: RoutedCall;
  readonly #progress: RequestProgress;
  readonly #placement: Placement;
  readonly #lane: BackendLane;
  #startedAt = 0;
  #hasEnded = false;
  /** Which process the request was sent to. */
  #process: ProcessVerdict = 'listed';

  constructor({ parts, call, progress, placement, lane }: AttemptParts) {
    this.#parts = parts;
    this.#call = call;
    this.#progress = progress;
    this.#placement = placement;
    this.#lane = lane;
  }

  /** Runs until the last byte of the response, or until the attempt has failed. */
  async run(): Promise<AttemptEnd> {
    try {
      return await this.#run();
    } catch (err) {
      // an attempt that stays in flight would make its server look silent from then on.
      if (!this.#hasEnded) this.#end('broken');
      throw err;
    }
  }

  async #run(): Promise<AttemptEnd> {
    this.#startedAt = this.#now();
    this.#progress.made += 1;
    this.#progress.placedAt = this.#startedAt;
    this.#progress.sentAt = undefined;
    this.#progress.server = this.#placement.server.id;
    this.#progress.serverVersion = this.#placement.server.softwareVersion;
    this.#progress.plan = this.#placement.plan;
    this.#progress.list = this.#parts.directory.view(this.#placement.server.id, this.#startedAt);
    const { rules, metrics } = this.#parts.context;
    this.#progress.notice = rules.notices.view(this.#placement.server, this.#startedAt);
    if (this.#progress.notice?.limitPerSecond !== undefined)
      metrics.rateLimitedAttempt(this.#call.service.name);
    const opened = await this.#open();
    if (opened.isErr) return this.#failToOpen(opened.error);
    this.#placement.recordReceived();
    this.#progress.answeredOn.add(opened.value.body.socket);
    const verdict = this.#parts.context.dialects.servers.judge(this.#call.head, opened.value.head);
    // a response from another server says nothing about this one.
    if (verdict === 'answered' || verdict === 'not-run') this.#recordReports(opened.value);
    switch (verdict) {
      case 'answered':
        this.#progress.mayHaveRun += 1;
        return this.#relay(opened.value);
      case 'not-run':
        discardAnswer(opened.value);
        return this.#failed('refused', 'cancelled', `status ${opened.value.head.status}`);
      case 'other-server':
        discardAnswer(opened.value);
        return this.#failed('other-server', 'leaving', 'the address belongs to another server');
      case 'spoilt':
        opened.value.drop();
        this.#progress.mayHaveRun += 1;
        return this.#failed('unknown', 'failed', notOwn(opened.value.head));
    }
  }

  /** Sends the request over a connection to the process that the list describes, where that matters. */
  async #open(): Promise<Result<OpenAnswer, AttemptFault>> {
    if (this.#progress.software.type === 'any') return this.#send();
    const { processes } = this.#parts;
    const { server } = this.#placement;
    for (let tries = 0; tries < MAX_CONNECTIONS; tries += 1) {
      const found = await processes.find(server, this.#call.signal);
      if (found.isErr) {
        // an idle connection may end just when it is used.
        if (found.error.reason === 'broken' || found.error.reason === 'unusable') continue;
        return Result.err({ ...found.error, sent: false });
      }
      if (found.value === 'other') this.#placement.recordReplaced();
      if (!this.#mayRunAt(found.value)) return Result.err(notAccepted(found.value));
      const opened = await this.#send((connection) => this.#accepts(connection));
      if (opened.isOk || opened.error.reason !== 'not-accepted') return opened;
    }
    if (!this.#mayRunAt('unclear')) return Result.err(notAccepted('unclear'));
    this.#process = 'unclear';
    return this.#send();
  }

  /** Whether the request may be sent over a connection; others may have taken the one that was asked. */
  #accepts(connection: Duplex): boolean {
    const process = this.#parts.processes.verdictOn(connection, this.#placement.server);
    if (process === undefined || !this.#mayRunAt(process)) return false;
    this.#process = process;
    return true;
  }

  /** A stream may begin at an unclear process, but not go on there: the process may run any version. */
  #mayRunAt(process: ProcessVerdict): boolean {
    if (process === 'unclear') return this.#progress.software.type === 'begins';
    return process === 'listed';
  }

  #send(accepts?: AttemptRequest['accepts']): ReturnType<typeof openAttempt> {
    const { context, agent } = this.#parts;
    const { head, account, answer, body, service, signal, endsAt } = this.#call;
    const { server, promptSource: holder } = this.#placement;
    this.#closeAnswered();
    return openAttempt({
      url: server.url,
      method: head.method,
      target: head.target,
      headers: context.dialects.servers.attemptHeaders(head, {
        serverId: server.id,
        leftMs: Math.max(1, Math.floor(endsAt - this.#startedAt)),
        account: account?.name,
        priority: head.size && this.#enginePlace(head.size),
        resumeAfter: this.#progress.resumeAfter,
        copyFrom: service.copiesPrompts && holder ? new URL(holder.url).host : undefined,
        bodyBytes: body.length,
      }),
      body,
      agent,
      connectMs: context.settings.servers.connectMs,
      headMs: this.#headMs(),
      signal,
      isWanted: () => !answer.callerGone,
      skipped: {
        isForeign: (response) => context.dialects.servers.answersOther(head, response),
        ownMs: MIN_WAIT_FRACTION * Math.max(1, endsAt - this.#startedAt),
      },
      ...(accepts ? { accepts } : {}),
      onSent: () => {
        this.#progress.sentAt = this.#now();
        this.#placement.recordSent();
      },
    });
  }

  /** A late copy of an earlier answer to this request bears the id that a further attempt has as well. */
  #closeAnswered(): void {
    const { answeredOn } = this.#progress;
    if (answeredOn.size === 0) return;
    const { server } = this.#placement;
    this.#parts.agent.closeIdle(server.url, (connection) => answeredOn.has(connection));
  }

  /** Place in the queue of the engine. A stream that has begun goes first: its caller sees a pause. */
  #enginePlace(size: GenerationSize): number {
    const { adaptiveLoad } = this.#parts.context;
    if (!adaptiveLoad.isOn) return enginePriority(size);
    const { engineOrder } = this.#lane;
    if (this.#progress.resumeAfter !== undefined) return engineOrder.next('first', 0);
    const { route, account } = this.#call;
    return engineOrder.next(importanceOf(effectivePriority(route, account)), size.prompt);
  }

  /**
   * Timeout for the response head, in milliseconds; undefined if no retry can follow, so that only
   * the deadline applies.
   */
  #headMs(): number | undefined {
    const { route, endsAt } = this.#call;
    const leftMs = Math.max(1, endsAt - this.#startedAt);
    const last = this.#progress.mayHaveRun + 1 >= route.maxAttempts;
    if (last || !isRepeatable(route.repetition)) return undefined;
    return Math.min(
      leftMs,
      Math.max(MIN_WAIT_FRACTION * leftMs, MIN_WAIT_TARGETS * route.targetMs),
    );
  }

  #failToOpen(fault: AttemptFault): AttemptEnd {
    if (fault.sent) this.#progress.mayHaveRun += 1;
    if (fault.reason === 'aborted') return this.#interrupted();
    if (!fault.sent) {
      return this.#failed(
        'not-sent',
        showsSilence(fault) ? 'unreachable' : 'cancelled',
        fault.cause,
      );
    }
    const how = fault.reason === 'timeout' ? 'timed-out' : 'broken';
    return this.#failed('unknown', how, fault.cause);
  }

  async #relay(open: OpenAnswer): Promise<AttemptEnd> {
    const { answer } = this.#call;
    const { status } = open.head;
    // a caller who has the head of a stream can't be given another one.
    const mayPassOn = !answer.started || isSuccess(status);
    if (!mayPassOn || (status >= 500 && this.#mayRetry('server-error'))) {
      discardAnswer(open);
      return this.#failed('server-error', 'ok', `status ${status}`);
    }
    const end = await this.#relayBody(open);
    if (end.type === 'whole') {
      const now = this.#now();
      this.#progress.firstByteAt = end.firstByteAt;
      this.#end('ok', (end.firstByteAt ?? now) - this.#startedAt);
      this.#parts.context.metrics.attempt(this.#call.service.name, 'answered');
      return { type: 'answered', status };
    }
    if (end.type === 'aborted' || answer.callerGone) return this.#interrupted();
    return this.#failed('unknown', 'broken', end.cause);
  }

  #relayBody(open: OpenAnswer): Promise<RelayEnd> {
    const { answer, route, signal } = this.#call;
    const headers = this.#parts.context.dialects.servers.answerHeaders(open.head);
    const onChunk = (): void => {
      this.#placement.recordReceived();
    };
    const { context, answerEnds } = this.#parts;
    const { answers } = context;
    // the body loses its socket when it ends.
    const { socket } = open.body;
    const isOwnEnd = (): Promise<boolean> => answerEnds.isOwnEnd(socket, this.#placement.server);
    const now = (): number => this.#now();
    const relay = { open, answer, headers, signal, isOwnEnd, onChunk, answers, now };
    // a failure has no events, and its head must not be followed by those of another server.
    const hasEvents = isStream(route.repetition) && isSuccess(open.head.status);
    if (!hasEvents) return relayWhole(relay);
    return this.#relayEvents(relay);
  }

  async #relayEvents(relay: Relay): Promise<RelayEnd> {
    this.#placement.recordPromptRead();
    const timing = new EventTiming();
    let hasSurvived = false;
    const end = await relayStream(relay, this.#progress.order, (events, frames) => {
      if (events > 0) this.#recordFirstEvent();
      if (this.#progress.events === 0) this.#bindStream();
      this.#progress.events += events;
      const now = this.#now();
      timing.observe(events, now);
      const beganMs = now - (timing.firstAt ?? now);
      if (beganMs >= SURVIVED_MS && !hasSurvived) {
        hasSurvived = true;
        this.#placement.recordSurvived();
      }
      this.#progress.resumeAfter = frames.lastId ?? this.#progress.resumeAfter;
      this.#progress.isResumable = frames.isResumable;
    });
    const { pool } = this.#lane.lane;
    // a stream that was cut off also shows the pace of its server.
    if (timing.quickestMs !== undefined) {
      pool.observePace(this.#placement.server.id, timing.quickestMs);
    }
    return end;
  }

  #recordFirstEvent(): void {
    const reading = this.#placement.recordFirstEvent();
    if (reading) this.#parts.context.metrics.promptRead(this.#call.service.name, reading);
  }

  /** Binds the stream to the software that made its first event, before the caller gets the event. */
  #bindStream(): void {
    const { softwareVersion } = this.#placement.server;
    const version = this.#process === 'listed' ? softwareVersion : UNCERTAIN_VERSION;
    if (this.#progress.software.type !== 'version') {
      this.#progress.software =
        version === undefined ? { type: 'unknown' } : { type: 'version', version };
    }
    if (version !== undefined && this.#call.route.repetition === 'resumable-stream') {
      this.#parts.streams.record(this.#call, version);
    }
  }

  #end(...how: Parameters<Placement['end']>): void {
    this.#hasEnded = true;
    this.#placement.end(...how);
  }

  #interrupted(): AttemptEnd {
    this.#end('cancelled');
    this.#parts.context.metrics.attempt(this.#call.service.name, 'interrupted');
    return { type: 'interrupted' };
  }

  /** Ends the attempt without a response; the only place that logs and counts a failed attempt. */
  #failed(failed: FailedAttempt, how: Parameters<Placement['end']>[0], cause: string): AttemptEnd {
    const { context } = this.#parts;
    const { head, service, answer, endsAt } = this.#call;
    const { server } = this.#placement;
    this.#end(how);
    this.#progress.tried.push(server.id);
    context.metrics.attempt(service.name, failed);
    context.log.write('attempt-failed', {
      request: head.id,
      fingerprint: this.#progress.fingerprint,
      parts: sharedPartIds(head),
      server: server.id,
      serverVersion: server.softwareVersion,
      ...this.#progress.list,
      ...this.#progress.notice,
      failed,
      cause,
      made: this.#progress.made,
      mayHaveRun: this.#progress.mayHaveRun,
      events: answer.events,
      leftMs: Math.round(endsAt - this.#now()),
    });
    return { type: 'failed', failed };
  }

  #mayRetry(failed: FailedAttempt): boolean {
    return mayRetry(failed, historyOf(this.#call, this.#progress, this.#now()));
  }

  #recordReports({ head }: OpenAnswer): void {
    const { context } = this.#parts;
    const { server } = this.#placement;
    const load = recordLoad(context, this.#lane.lane.pool, server, head);
    this.#progress.serverWasFull = isServerFull(load, server.slots);
    recordNotice(context, server, head);
  }

  #now(): number {
    return this.#parts.context.clock.now();
  }
}

function notOwn({ status }: ServerHead): string {
  return `the response with status ${String(status)} does not belong to this request`;
}

/** Whether a request that was not sent shows that its server cannot be reached. */
function showsSilence({ reason }: AttemptFault): boolean {
  return reason !== 'not-accepted' && reason !== 'unusable' && reason !== 'unsendable';
}

function notAccepted(process: ProcessVerdict): AttemptFault {
  const cause =
    process === 'other'
      ? 'another process than the listed one runs under its id'
      : 'it is not clear whether the listed process runs';
  return { reason: 'not-accepted', sent: false, cause };
}

/** Returns the inputs of the retry decision. */
export function historyOf(
  call: RoutedCall,
  progress: RequestProgress,
  now: number,
): AttemptHistory {
  const { route, endsAt } = call;
  const { mayHaveRun, made, isResumable } = progress;
  const { repetition, maxAttempts } = route;
  return { repetition, maxAttempts, mayHaveRun, made, leftMs: endsAt - now, isResumable };
}
