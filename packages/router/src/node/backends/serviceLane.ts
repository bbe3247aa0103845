/** Queue and servers of one service: decides when and to which server each request is sent. */

import type {
  AttemptResult,
  BackendServer,
  Candidate,
  EpochMs,
  Fingerprint,
  QueueEntry,
  Refusal,
  RetryBudget,
  ServerId,
  ServerPool,
  ShedEntry,
} from '@flamingocourse/core';
import type { PlacementOutcome, Placement, PlacementRequest } from '../../types/backends.js';
import type { Waiter } from './waiter.js';
import {
  ANY_SERVER,
  chooseServer,
  createRetryBudget,
  earnRetry,
  spendRetry,
} from '@flamingocourse/core';
import { Result } from 'true-myth';
import { notRun } from '../../utils/problem.js';
import {
  cancelledRefusal,
  cannotResumeRefusal,
  noServerRefusal,
  lateRefusal,
  rateLimitedRefusal,
  quarantinedRefusal,
  shedDetails,
} from './laneRefusals.js';
import { toHealthOutcome } from './healthOutcome.js';
import { LanePrompts } from './lanePrompts.js';
import type { ServiceLaneOptions } from './laneOptions.js';
import { LaneAdmission, neverOn } from './laneAdmission.js';
import { LaneCrashes } from './laneCrashes.js';
import { LaneStatistics } from './laneStatistics.js';
import { findLate, findTooLate, hasServer, noServer } from './laneServers.js';
import { causesOf, waitsInVain } from './waiter.js';

/**
 * Maximum number of requests that wait outside the queue because no server that they may use has
 * room.
 */
const MAX_PARKED = 256;

const enginePriority = { first: 0, standard: 10, background: 20 } as const;

/** Milliseconds after which the servers of one software version may have room again. */
const RESUME_RETRY_MS = 300;

/** Waiting requests and servers of one service. */
export class ServiceLane {
  readonly #options: ServiceLaneOptions;
  readonly #waiters = new Map<number, Waiter>();
  /** Waiting requests for which no suitable server is free yet; tried before the queue. */
  readonly #parked = new Set<number>();
  readonly #crashes: LaneCrashes;
  readonly #admission: LaneAdmission;
  readonly #statistics = new LaneStatistics();
  readonly #prompts: LanePrompts;
  #retries: RetryBudget = createRetryBudget();
  #nextId = 1;

  constructor(options: ServiceLaneOptions) {
    this.#options = options;
    this.#prompts = new LanePrompts(options.pool, options.prompts);
    const onCrash = (server: ServerId): void => {
      this.#prompts.dropServer(server);
    };
    const { background, crashCheck, quarantine } = options;
    this.#crashes = new LaneCrashes(quarantine, crashCheck, onCrash, background);
    this.#admission = new LaneAdmission(options.pool, options.admission ?? neverOn);
  }

  get waiting(): number {
    return this.#waiters.size;
  }

  /** Servers of this service in the pool. */
  get servers(): BackendServer[] {
    return this.#options.pool.servers;
  }

  get pool(): ServerPool {
    return this.#options.pool;
  }

  /** Sets the first-token targets, in milliseconds, of the classes that use this service. */
  setTargets(targets: Map<string, number>): void {
    this.#statistics.setTargets(targets);
  }

  /** Waits for a place; refuses immediately if none can become free in time. */
  place(request: PlacementRequest): Promise<Result<Placement, Refusal>> {
    const now = this.#options.clock.now();
    const { quarantine } = this.#options;
    const cause = quarantine.findQuarantined(causesOf(request));
    if (cause !== undefined) return Promise.resolve(Result.err(this.#quarantined(cause)));
    if (request.signal.aborted) return Promise.resolve(Result.err(cancelledRefusal()));
    if (!hasServer(this.#options.pool, request, now)) {
      return Promise.resolve(Result.err(noServer(this.#options.pool, request, now)));
    }
    if (request.tried.length === 0) this.#retries = earnRetry(this.#retries);
    return new Promise((resolve) => {
      const isSuspect = quarantine.judge(request.fingerprint) === 'suspect';
      const exclusive = isSuspect && (this.#options.runsSuspectsAlone ?? true);
      this.#enqueue({ request, exclusive, arrivedAt: now, resolve });
      this.pump();
    });
  }

  /** Takes one retry from the retry budget; returns false if none is left. */
  mayRetry(): boolean {
    const spent = spendRetry(this.#retries);
    if (spent) this.#retries = spent;
    return spent !== undefined;
  }

  /**
   * Avoids servers that have requests in flight but have sent nothing for `silentMs`; returns the
   * newly avoided ones.
   */
  avoidSilent(silentMs: number): string[] {
    return this.#options.pool.avoidSilent(silentMs, this.#options.clock.now());
  }

  /** Assigns free places to waiting requests; call it after every change and at short intervals. */
  pump(): void {
    const now = this.#options.clock.now();
    const { queue, pool } = this.#options;
    for (const shed of queue.expire(now)) this.#refuseShed(shed);
    this.#refuseLate(now);
    this.#pumpParked(now);
    for (;;) {
      const { entry, shed } = queue.take(now, (importance, isMinimumShareTurn, { id }) => {
        const rule = this.#statistics.ruleFor(importance, isMinimumShareTurn);
        return pool.hasRoom(rule, now) && this.#mayTake(id, isMinimumShareTurn, now);
      });
      for (const item of shed) this.#refuseShed(item);
      if (!entry) break;
      const waiter = this.#waiters.get(entry.id);
      if (waiter && !this.#tryPlace(entry.id, waiter, now)) this.#park(entry.id, waiter, now);
    }
    this.#admission.observe(this.#waiters.size > 0, now);
    this.#refuseTooLate(now);
  }

  #mayTake(id: number, isMinimumShareTurn: boolean, now: EpochMs): boolean {
    const waiter = this.#waiters.get(id);
    return waiter === undefined || this.#admission.mayTake(waiter, isMinimumShareTurn, now);
  }

  /** Refuses late requests while a queue is standing and others need the room. */
  #refuseLate(now: EpochMs): void {
    const admission = this.#admission;
    if (!admission.isStanding(now)) return;
    for (const [id, waiter] of findLate(this.#waiters, (each) => admission.isLate(each, 0, now))) {
      this.#options.queue.remove(id);
      this.#refuseAsLate(id, waiter, now);
    }
  }

  #refuseAsLate(id: number, waiter: Waiter, now: EpochMs): void {
    const { queue, random } = this.#options;
    const drainMs = queue.retryAfterMs(now);
    const retryMs = this.#admission.retryAfterMs(waiter, drainMs, random(), now);
    this.#statistics.recordRefusal(waiter.request.importance);
    this.#settle(id, Result.err(lateRefusal(retryMs)));
  }

  /** Refuses all waiting requests; called when the service is removed or the router stops. */
  clear(): void {
    for (const id of this.#waiters.keys()) this.#settle(id, Result.err(noServerRefusal()));
    this.#options.queue.clear();
    this.#parked.clear();
  }

  /**
   * Refuses requests that could only be sent after their latest start time, because all servers are
   * paused or rate limited.
   */
  #refuseTooLate(now: EpochMs): void {
    const { queue, pool } = this.#options;
    for (const { id, waitMs } of findTooLate(this.#waiters, pool, now)) {
      queue.remove(id);
      this.#settle(id, Result.err(rateLimitedRefusal(waitMs)));
    }
  }

  #enqueue(waiter: Waiter): void {
    const id = this.#nextId;
    this.#nextId += 1;
    this.#waiters.set(id, waiter);
    waiter.request.signal.addEventListener('abort', () => {
      this.#cancel(id);
    });
    // A suspect waits for an idle server outside the queue, so that it does not delay other requests.
    if (waiter.exclusive) {
      this.#park(id, waiter, waiter.arrivedAt);
      return;
    }
    const entry = this.#toEntry(id, waiter);
    const aheadMs = this.#options.queue.predictWaitMs(entry, waiter.arrivedAt);
    if (aheadMs > 0 && this.#admission.refuses(waiter, aheadMs, waiter.arrivedAt)) {
      this.#refuseAsLate(id, waiter, waiter.arrivedAt);
      return;
    }
    const offered = this.#options.queue.offer(entry, waiter.arrivedAt);
    for (const shed of offered.shed) this.#refuseShed(shed);
  }

  #toEntry(id: number, { request, arrivedAt }: Waiter): QueueEntry {
    const { workClass, deadline } = request;
    const targetMs = this.#statistics.targetMs(workClass);
    return {
      id,
      deadline,
      // A retry goes first: if the answer has already begun, its caller would notice the pause.
      importance: request.tried.length > 0 ? 'first' : request.importance,
      serviceMs: this.#statistics.serviceMs(workClass, arrivedAt),
      ...(targetMs === undefined ? {} : { targetAt: arrivedAt + targetMs }),
    };
  }

  #pumpParked(now: EpochMs): void {
    for (const id of this.#parked) {
      const waiter = this.#waiters.get(id);
      if (!waiter) {
        this.#parked.delete(id);
      } else if (waiter.request.deadline <= now) {
        const refusal = notRun('deadline-passed', shedDetails['deadline-passed']);
        this.#settle(id, Result.err(refusal));
      } else if (!hasServer(this.#options.pool, waiter.request, now)) {
        this.#settle(id, Result.err(noServer(this.#options.pool, waiter.request, now)));
      } else if (waitsInVain(waiter.request, now)) {
        this.#settle(id, Result.err(cannotResumeRefusal(RESUME_RETRY_MS)));
      } else {
        this.#tryPlace(id, waiter, now);
      }
    }
  }

  #park(id: number, waiter: Waiter, now: EpochMs): void {
    if (this.#parked.size >= MAX_PARKED) {
      const retryAfterMs = this.#options.queue.retryAfterMs(now);
      this.#settle(id, Result.err(notRun('overloaded', shedDetails.overloaded, retryAfterMs)));
      return;
    }
    this.#parked.add(id);
    this.#tryPlace(id, waiter, now);
  }

  #tryPlace(id: number, waiter: Waiter, now: EpochMs): boolean {
    // The request may have been quarantined while it waited.
    const cause = this.#options.quarantine.findQuarantined(causesOf(waiter.request));
    if (cause !== undefined) {
      this.#settle(id, Result.err(this.#quarantined(cause)));
      return true;
    }
    const chosen = this.#choose(waiter, now);
    if (!chosen) return false;
    this.#settle(id, Result.ok(this.#dispatch(chosen, waiter, now)));
    return true;
  }

  /** Prefers a server that the request has not tried. If it has tried all, any may have recovered. */
  #choose(waiter: Waiter, now: EpochMs): Candidate | undefined {
    const { request, exclusive } = waiter;
    const { pool, chooser, random, scope = 'near-first' } = this.#options;
    const { bounds = ANY_SERVER } = request;
    const choice = this.#prompts.choiceOf(request, now);
    const { extra } = this.#statistics.ruleFor(request.importance);
    const tried = new Set(request.tried);
    const rule = { exclusive, extra, scope, bounds };
    const query = pool.maySend(tried, now, bounds) ? { ...rule, tried } : rule;
    const bounded = { ...query, ...this.#admission.bound(waiter, query, now) };
    return chooseServer(pool, chooser, choice, bounded, now, random);
  }

  #dispatch(chosen: Candidate, waiter: Waiter, now: EpochMs): Placement {
    const { pool, clock } = this.#options;
    const { request, exclusive, arrivedAt } = waiter;
    const attempt = pool.dispatch(chosen.id, now, exclusive);
    this.#admission.recordPlaced(attempt, chosen, waiter, now);
    this.#statistics.recordPlaced(request.workClass, attempt);
    const server = pool.server(chosen.id);
    if (!server) throw new RangeError(`chosen server "${chosen.id}" is not in the pool`);
    const prompt = this.#prompts.place(chosen, server, request, now);
    return {
      server,
      promptSource: prompt.source,
      plan: prompt.plan,
      priority: enginePriority[request.importance],
      recordSent: () => {
        pool.recordSent(attempt, clock.now());
        prompt.recordSent(clock.now());
        this.#crashes.recordSent(server.id, attempt, causesOf(request));
      },
      recordReplaced: () => {
        pool.recordReplaced(server, clock.now());
        this.#prompts.dropServer(server.id);
      },
      recordReceived: () => {
        pool.recordReceived(attempt, this.#options.clock.now());
      },
      recordSurvived: () => {
        this.#options.quarantine.recordFinished(request.partFingerprints ?? []);
      },
      recordPromptRead: () => {
        this.#prompts.recordRead(request, server.id);
      },
      recordFirstEvent: () => prompt.recordFirstEvent(clock.now()),
      end: (how, firstTokenMs) => {
        prompt.end();
        this.#recordEnd(attempt, request, how, firstTokenMs);
        this.#statistics.recordEnd(request.workClass, attempt);
        this.#admission.recordEnd(attempt);
        this.#crashes.recordEnd(server, attempt, causesOf(request), how);
        if (how === 'ok' && firstTokenMs !== undefined) {
          this.#recordAnswer(
            request,
            now - arrivedAt,
            firstTokenMs,
            this.#options.clock.now() - now,
          );
        }
        this.pump();
      },
    };
  }

  #recordEnd(
    attempt: number,
    { workClass }: PlacementRequest,
    how: PlacementOutcome,
    firstTokenMs: number | undefined,
  ): void {
    const targetMs = this.#statistics.targetMs(workClass);
    const result: AttemptResult = {
      end: toHealthOutcome(how),
      ...(firstTokenMs === undefined ? {} : { firstTokenMs }),
      ...(targetMs === undefined ? {} : { targetMs }),
    };
    const { pool, clock } = this.#options;
    if (how === 'unreachable') pool.recordUnreachable(attempt, clock.now());
    pool.settle(attempt, result, clock.now());
  }

  #recordAnswer(
    { workClass, importance }: PlacementRequest,
    waitedMs: number,
    firstTokenMs: number,
    serviceMs: number,
  ): void {
    const timing = { workClass, importance, waitedMs, firstTokenMs, serviceMs };
    this.#statistics.recordAnswer(timing, this.#options.clock.now());
    this.#admission.recordAnswer(workClass, firstTokenMs, serviceMs);
  }

  #quarantined(cause: Fingerprint): Refusal {
    return quarantinedRefusal(this.#options.quarantine.refusedForMs(cause));
  }

  #refuseShed({ entry, reason, retryAfterMs }: ShedEntry): void {
    this.#statistics.recordRefusal(entry.importance);
    this.#settle(entry.id, Result.err(notRun(reason, shedDetails[reason], retryAfterMs)));
  }

  #cancel(id: number): void {
    this.#options.queue.remove(id);
    this.#settle(id, Result.err(cancelledRefusal()));
  }

  #settle(id: number, placed: Result<Placement, Refusal>): void {
    const waiter = this.#waiters.get(id);
    if (!waiter) return;
    this.#waiters.delete(id);
    this.#parked.delete(id);
    waiter.resolve(placed);
  }
}
