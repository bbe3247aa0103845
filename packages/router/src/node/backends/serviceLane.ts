/** Queue and servers of one service: decides when and to which server each request is sent. */

import type {
  AdmissionQueue,
  AttemptResult,
  BackendServer,
  Candidate,
  EpochMs,
  Fingerprint,
  PlacementScope,
  QueueEntry,
  Refusal,
  RetryBudget,
  ServerChooser,
  ServerBounds,
  ServerPool,
  ShedEntry,
  RateLimitPace,
} from '@flamingocourse/core';
import type { Clock } from '@flamingocourse/kernel';
import type { PlacementOutcome, Placement, PlacementRequest } from '../../types/backends.js';
import type { CrashCheck } from '../../types/crashCheck.js';
import type { QuarantineRegister } from './quarantineRegister.js';
import {
  ANY_SERVER,
  chooseServer,
  createRetryBudget,
  earnRetry,
  hasBegun,
  spendRetry,
} from '@flamingocourse/core';
import { Result } from 'true-myth';
import { notRun } from '../../utils/problem.js';
import {
  cancelledRefusal,
  cannotResumeRefusal,
  evacuatedRefusal,
  noHomeRefusal,
  noServerRefusal,
  rateLimitedRefusal,
  quarantinedRefusal,
  shedDetails,
} from './laneRefusals.js';
import { toHealthOutcome } from './healthOutcome.js';
import type { WeighedPrompts } from './lanePrompts.js';
import { LanePrompts } from './lanePrompts.js';
import { InFlightRequests } from './inFlightRequests.js';
import { LaneStatistics } from './laneStatistics.js';

/**
 * Maximum number of requests that wait outside the queue because no server that they may use has
 * room.
 */
const MAX_PARKED = 256;

/** Sort order of waiting requests; lower values come first. */
const importanceOrder = { first: 0, standard: 1, background: 2 } as const;
const enginePriority = { first: 0, standard: 10, background: 20 } as const;

/** Milliseconds after which the servers of one software version may have room again. */
const RESUME_RETRY_MS = 300;

/** Options of {@link ServiceLane}. */
export interface ServiceLaneOptions {
  pool: ServerPool;
  queue: AdmissionQueue;
  chooser: ServerChooser;
  quarantine: QuarantineRegister;
  clock: Clock;
  random: () => number;
  /** Checks servers that break connections; without it, a broken connection is only a failure. */
  crashCheck?: CrashCheck;
  /** @default 'near-first' */
  scope?: PlacementScope;
  /**
   * Whether a request that was in flight during a crash runs alone at a server until it is cleared.
   * Set it to false if servers run dozens of requests at once: an idle server is then almost never
   * available, and a stream that has to continue at another server would wait for one.
   * @default true
   */
  runsSuspectsAlone?: boolean;
  /** How cached prompts are weighed against waits; without it, they are not. */
  prompts?: WeighedPrompts;
}

interface Waiter {
  request: PlacementRequest;
  exclusive: boolean;
  arrivedAt: EpochMs;
  resolve(placed: Result<Placement, Refusal>): void;
}

/** Waiting requests and servers of one service. */
export class ServiceLane {
  readonly #options: ServiceLaneOptions;
  readonly #waiters = new Map<number, Waiter>();
  /** Waiting requests for which no suitable server is free yet; tried before the queue. */
  readonly #parked = new Set<number>();
  readonly #inFlight = new InFlightRequests();
  readonly #statistics = new LaneStatistics();
  readonly #prompts: LanePrompts;
  #retries: RetryBudget = createRetryBudget();
  #nextId = 1;

  constructor(options: ServiceLaneOptions) {
    this.#options = options;
    this.#prompts = new LanePrompts(options.pool, options.prompts);
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
    if (!this.#hasServer(request, now)) {
      return Promise.resolve(Result.err(this.#noServer(request, now)));
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
    this.#pumpParked(now);
    for (;;) {
      const { entry, shed } = queue.take(now, (importance, isMinimumShareTurn) =>
        pool.hasRoom(this.#statistics.ruleFor(importance, isMinimumShareTurn), now),
      );
      for (const item of shed) this.#refuseShed(item);
      if (!entry) break;
      const waiter = this.#waiters.get(entry.id);
      if (waiter && !this.#tryPlace(entry.id, waiter, now)) this.#park(entry.id, waiter, now);
    }
    this.#refuseTooLate(now);
  }

  /** Whether any server accepts a request, now or after a pause. */
  #hasServer({ bounds }: PlacementRequest, now: EpochMs): boolean {
    const { pool } = this.#options;
    const isOpen = pool.hasOpenServer(undefined, now, bounds);
    return isOpen || pool.pauseEndsInMs(now, bounds) !== undefined;
  }

  /** Refusal of a request that no server accepts. */
  #noServer({ bounds = ANY_SERVER }: PlacementRequest, now: EpochMs): Refusal {
    const { pool } = this.#options;
    const closedBy = pool.closedBy(now, bounds);
    if (closedBy === 'evacuated') return evacuatedRefusal();
    if (closedBy === 'outside-homes') return noHomeRefusal();
    const hasOthers = pool.hasOpenServer(undefined, now);
    return hasBegun(bounds.software) && hasOthers ? cannotResumeRefusal() : noServerRefusal();
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
    const { queue } = this.#options;
    if (this.#waiters.size === 0) return;
    const inOrder = [...this.#waiters].toSorted(([, a], [, b]) => {
      return importanceOrder[a.request.importance] - importanceOrder[b.request.importance];
    });
    const paceOf = this.#paces(now);
    let ahead = 0;
    for (const [id, { request }] of inOrder) {
      const pace = paceOf(request);
      if (!pace) continue;
      const waitMs = pace.firstMs + ahead * pace.intervalMs;
      if (now + waitMs <= (request.startBy ?? request.deadline)) {
        ahead += 1;
        continue;
      }
      queue.remove(id);
      this.#settle(id, Result.err(rateLimitedRefusal(waitMs)));
    }
  }

  /** Returns a function that tells the pace of the servers that a request may use. */
  #paces(now: EpochMs): (request: PlacementRequest) => RateLimitPace | undefined {
    const { pool } = this.#options;
    const ofAll = pool.sendPace(now);
    return ({ bounds = ANY_SERVER }) => {
      return isBound(bounds) ? pool.sendPace(now, bounds) : ofAll;
    };
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
    const offered = this.#options.queue.offer(this.#toEntry(id, waiter), waiter.arrivedAt);
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
      } else if (!this.#hasServer(waiter.request, now)) {
        this.#settle(id, Result.err(this.#noServer(waiter.request, now)));
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
  #choose({ request, exclusive }: Waiter, now: EpochMs): Candidate | undefined {
    const { pool, chooser, random, scope = 'near-first' } = this.#options;
    const { bounds = ANY_SERVER } = request;
    const choice = this.#prompts.choiceOf(request, now);
    const { extra } = this.#statistics.ruleFor(request.importance);
    const tried = new Set(request.tried);
    const rule = { exclusive, extra, scope, bounds };
    const query = pool.maySend(tried, now, bounds) ? { ...rule, tried } : rule;
    return chooseServer(pool, chooser, choice, query, now, random);
  }

  #dispatch(chosen: Candidate, waiter: Waiter, now: EpochMs): Placement {
    const { pool, clock } = this.#options;
    const { request, exclusive, arrivedAt } = waiter;
    const attempt = pool.dispatch(chosen.id, now, exclusive);
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
        this.#inFlight.add(server.id, attempt, causesOf(request));
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
        this.#reportCrash(server, attempt, causesOf(request), how);
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

  #reportCrash(
    server: BackendServer,
    attempt: number,
    causes: readonly Fingerprint[],
    how: PlacementOutcome,
  ): void {
    const { quarantine } = this.#options;
    const isFirstReport = this.#inFlight.remove(server.id, attempt);
    if (how === 'ok') quarantine.recordFinished(causes);
    if (!isFirstReport) return;
    if (how === 'crashed') this.#recordCrash(server, causes);
    if (how === 'broken' && this.#inFlight.recordBrokenRequest(server.id, causes)) {
      void this.#checkForCrash(server);
    }
  }

  /** Checks whether a server that broke a connection has crashed, and records the crash. */
  async #checkForCrash(server: BackendServer): Promise<void> {
    const hasEnded = await this.#options.crashCheck?.hasEnded(server);
    const brokenRequests = this.#inFlight.takeBrokenRequests(server.id);
    if (hasEnded) this.#recordCrash(server, brokenRequests);
  }

  #recordCrash(server: BackendServer, brokenRequests: readonly Fingerprint[]): void {
    const others = this.#inFlight.takeAll(server.id);
    this.#prompts.dropServer(server.id);
    this.#options.quarantine.recordCrash(server, [...new Set([...brokenRequests, ...others])]);
  }

  #recordAnswer(
    { workClass, importance }: PlacementRequest,
    waitedMs: number,
    firstTokenMs: number,
    serviceMs: number,
  ): void {
    const timing = { workClass, importance, waitedMs, firstTokenMs, serviceMs };
    this.#statistics.recordAnswer(timing, this.#options.clock.now());
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

/** What may crash a server that runs the request: the whole of it, or a part that others share. */
function causesOf({ fingerprint, partFingerprints = [] }: PlacementRequest): Fingerprint[] {
  return [fingerprint, ...partFingerprints];
}

/** Whether a stream that has begun waits for the few servers of its software until it would be late. */
function waitsInVain({ bounds = ANY_SERVER, startBy }: PlacementRequest, now: EpochMs): boolean {
  return hasBegun(bounds.software) && startBy !== undefined && startBy <= now;
}

/** Whether a request may not run at every server. */
function isBound({ software, homes }: ServerBounds): boolean {
  return homes !== undefined || hasBegun(software);
}
