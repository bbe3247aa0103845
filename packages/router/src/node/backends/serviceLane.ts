/** Queue and servers of one service: decides which waiting request goes where, and when. */

import type {
  AdmissionQueue,
  AttemptResult,
  BackendServer,
  Candidate,
  EpochMs,
  PlacementScope,
  QueueEntry,
  Refusal,
  RetryBudget,
  ServerChooser,
  ServerPool,
  ShedEntry,
} from '@flamingocourse/core';
import type { Clock } from '@flamingocourse/kernel';
import type { AttemptEnd, Placement, PlacementRequest } from '../../types/backends.js';
import type { CrashCheck } from '../../types/crashCheck.js';
import type { QuarantineRegister } from './quarantineRegister.js';
import {
  chooseServer,
  PromptLocations,
  createRetryBudget,
  earnRetry,
  hash32,
  spendRetry,
} from '@flamingocourse/core';
import { Result } from 'true-myth';
import { notRun } from '../../utils/problem.js';
import { gone, noServer, notTakenYet, quarantined, shedDetails } from './laneRefusals.js';
import { healthEnd } from './healthEnd.js';
import { InFlightRequests } from './inFlightRequests.js';
import { LaneLearning } from './laneLearning.js';

/** Requests that wait apart because no server that they may use has room. */
const MAX_PARKED = 256;

/** The more important one comes first. */
const importanceOrder = { first: 0, standard: 1, background: 2 } as const;
const enginePriority = { first: 0, standard: 10, background: 20 } as const;

/** Passive parts of a lane. */
export interface ServiceLaneOptions {
  pool: ServerPool;
  queue: AdmissionQueue;
  chooser: ServerChooser;
  quarantine: QuarantineRegister;
  clock: Clock;
  random: () => number;
  /** Asked about servers that break off; without it they only count as failed. */
  crashCheck?: CrashCheck;
  /** @default 'near-first' */
  scope?: PlacementScope;
  /**
   * Whether a request that was in flight in a crash runs alone at a server until it is cleared. Not
   * where servers run dozens of requests at once: a server without any is hardly ever to be had, and
   * a stream that is to go on at another server would wait for one. @default true
   */
  runsSuspectsAlone?: boolean;
}

interface Waiter {
  request: PlacementRequest;
  exclusive: boolean;
  arrivedAt: EpochMs;
  resolve(placed: Result<Placement, Refusal>): void;
}

/** One service's waiting requests and servers. */
export class ServiceLane {
  readonly #options: ServiceLaneOptions;
  readonly #waiters = new Map<number, Waiter>();
  /** Waiting requests that need a server which is not to be had yet; tried before the queue. */
  readonly #parked = new Set<number>();
  readonly #inFlight = new InFlightRequests();
  readonly #learning = new LaneLearning();
  readonly #holders = new PromptLocations();
  #retries: RetryBudget = createRetryBudget();
  #nextId = 1;

  constructor(options: ServiceLaneOptions) {
    this.#options = options;
  }

  get waiting(): number {
    return this.#waiters.size;
  }

  /** Servers of this service as the pool sees them. */
  get servers(): BackendServer[] {
    return this.#options.pool.servers;
  }

  get pool(): ServerPool {
    return this.#options.pool;
  }

  /** Takes the first-token targets of the classes that use this service. */
  setTargets(targets: Map<string, number>): void {
    this.#learning.setTargets(targets);
  }

  /** Waits for a place; refuses at once when none can come in time. */
  place(request: PlacementRequest): Promise<Result<Placement, Refusal>> {
    const now = this.#options.clock.now();
    const verdict = this.#options.quarantine.judge(request.fingerprint);
    if (verdict === 'quarantined') return Promise.resolve(Result.err(this.#quarantined(request)));
    if (request.signal.aborted) return Promise.resolve(Result.err(gone()));
    if (!this.#hasServer(now)) return Promise.resolve(Result.err(noServer()));
    if (request.tried.length === 0) this.#retries = earnRetry(this.#retries);
    return new Promise((resolve) => {
      const exclusive = verdict === 'suspect' && (this.#options.runsSuspectsAlone ?? true);
      this.#enqueue({ request, exclusive, arrivedAt: now, resolve });
      this.pump();
    });
  }

  /** Takes a retry out of the budget, if there is one left. */
  mayRetry(): boolean {
    const spent = spendRetry(this.#retries);
    if (spent) this.#retries = spent;
    return spent !== undefined;
  }

  /** Avoids servers at which requests wait and nothing comes; returns those newly avoided. */
  avoidSilent(silentMs: number): string[] {
    return this.#options.pool.avoidSilent(silentMs, this.#options.clock.now());
  }

  /** Hands out free places; to be called after every change and at short intervals. */
  pump(): void {
    const now = this.#options.clock.now();
    const { queue, pool } = this.#options;
    for (const shed of queue.expire(now)) this.#refuseShed(shed);
    this.#pumpParked(now);
    for (;;) {
      const { entry, shed } = queue.take(now, (importance, owed) =>
        pool.hasRoom(this.#learning.ruleFor(importance, owed), now),
      );
      for (const item of shed) this.#refuseShed(item);
      if (!entry) break;
      const waiter = this.#waiters.get(entry.id);
      if (waiter && !this.#tryPlace(entry.id, waiter, now)) this.#park(entry.id, waiter, now);
    }
    this.#refuseTooLate(now);
  }

  /** Whether any server takes requests, now or after a rest. */
  #hasServer(now: EpochMs): boolean {
    const { pool } = this.#options;
    return pool.hasOpenServer(undefined, now) || pool.pauseEndsInMs(now) !== undefined;
  }

  /** Refuses everything that waits; for the end of the service or the router. */
  clear(): void {
    for (const id of this.#waiters.keys()) this.#settle(id, Result.err(noServer()));
    this.#options.queue.clear();
    this.#parked.clear();
  }

  /** Refuses those whose turn comes too late because all servers limit the requests a second or rest. */
  #refuseTooLate(now: EpochMs): void {
    const { pool, queue } = this.#options;
    const pace = this.#waiters.size === 0 ? undefined : pool.sendPace(now);
    if (!pace) return;
    const inOrder = [...this.#waiters].toSorted(([, a], [, b]) => {
      return importanceOrder[a.request.importance] - importanceOrder[b.request.importance];
    });
    let ahead = 0;
    for (const [id, { request }] of inOrder) {
      const waitMs = pace.firstMs + ahead * pace.intervalMs;
      if (now + waitMs <= (request.startBy ?? request.deadline)) {
        ahead += 1;
        continue;
      }
      queue.remove(id);
      this.#settle(id, Result.err(notTakenYet(waitMs)));
    }
  }

  #enqueue(waiter: Waiter): void {
    const id = this.#nextId;
    this.#nextId += 1;
    this.#waiters.set(id, waiter);
    waiter.request.signal.addEventListener('abort', () => {
      this.#drop(id);
    });
    // a suspect waits for a server of its own, apart from the queue, so that it delays nobody.
    if (waiter.exclusive) {
      this.#park(id, waiter, waiter.arrivedAt);
      return;
    }
    const offered = this.#options.queue.offer(this.#toEntry(id, waiter), waiter.arrivedAt);
    for (const shed of offered.shed) this.#refuseShed(shed);
  }

  #toEntry(id: number, { request, arrivedAt }: Waiter): QueueEntry {
    const { workClass, deadline } = request;
    const targetMs = this.#learning.targetMs(workClass);
    return {
      id,
      deadline,
      // a request that has begun to answer must not wait behind new ones: its caller sees the pause.
      importance: request.tried.length > 0 ? 'first' : request.importance,
      serviceMs: this.#learning.serviceMs(workClass, arrivedAt),
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
      } else if (!this.#hasServer(now)) {
        this.#settle(id, Result.err(noServer()));
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
    // it may have been found out while the request waited.
    if (this.#options.quarantine.judge(waiter.request.fingerprint) === 'quarantined') {
      this.#settle(id, Result.err(this.#quarantined(waiter.request)));
      return true;
    }
    const chosen = this.#choose(waiter, now);
    if (!chosen) return false;
    this.#settle(id, Result.ok(this.#dispatch(chosen, waiter, now)));
    return true;
  }

  /** Prefers a server that the request has not tried; with all tried, any may have recovered. */
  #choose({ request, exclusive }: Waiter, now: EpochMs): Candidate | undefined {
    const { pool, chooser, random, scope = 'near-first' } = this.#options;
    const { prefixKey, promptTokens } = request;
    const choice = {
      ...(prefixKey === undefined ? {} : { prefixHash: hash32(prefixKey) }),
      ...(promptTokens === undefined ? {} : { promptTokens }),
    };
    const { extra } = this.#learning.ruleFor(request.importance);
    const tried = new Set(request.tried);
    const query = pool.maySend(tried, now)
      ? { tried, exclusive, extra, scope }
      : { exclusive, extra, scope };
    return chooseServer(pool, chooser, choice, query, now, random);
  }

  #dispatch(chosen: Candidate, waiter: Waiter, now: EpochMs): Placement {
    const { pool } = this.#options;
    const { request, exclusive, arrivedAt } = waiter;
    const attempt = pool.dispatch(chosen.id, now, exclusive);
    const server = pool.server(chosen.id);
    if (!server) throw new RangeError(`chosen server "${chosen.id}" is not in the pool`);
    this.#inFlight.add(server.id, attempt, request.fingerprint);
    const { prefixKey } = request;
    return {
      server,
      holder: prefixKey === undefined ? undefined : this.#holderOf(prefixKey, server, request, now),
      priority: enginePriority[request.importance],
      heard: () => {
        pool.recordReceived(attempt, this.#options.clock.now());
      },
      promptRead: () => {
        if (prefixKey !== undefined) this.#holders.record(prefixKey, server.id);
      },
      end: (how, firstTokenMs) => {
        this.#recordEnd(attempt, request, how, firstTokenMs);
        this.#reportCrash(server, attempt, request.fingerprint, how);
        if (how === 'ok' && firstTokenMs !== undefined) {
          this.#learn(request, now - arrivedAt, firstTokenMs, this.#options.clock.now() - now);
        }
        this.pump();
      },
    };
  }

  /**
   * Where a server that has to read a prompt can copy it from: from the server that read it last for this
   * instance, or else from the one at which all instances place it first.
   */
  #holderOf(
    prefixKey: string,
    { id }: BackendServer,
    { tried }: PlacementRequest,
    now: EpochMs,
  ): BackendServer | undefined {
    const { pool } = this.#options;
    const known = this.#holders.find(prefixKey);
    if (known === id) return undefined;
    // a server that just failed this request may be down, and the copy would wait for it.
    if (known !== undefined && !tried.includes(known) && pool.canCopyFrom(known, now)) {
      return pool.server(known);
    }
    return pool.likelyPromptServer(hash32(prefixKey), new Set([id, ...tried]), now);
  }

  #recordEnd(
    attempt: number,
    { workClass }: PlacementRequest,
    how: AttemptEnd,
    firstTokenMs: number | undefined,
  ): void {
    const targetMs = this.#learning.targetMs(workClass);
    const result: AttemptResult = {
      end: healthEnd(how),
      ...(firstTokenMs === undefined ? {} : { firstTokenMs }),
      ...(targetMs === undefined ? {} : { targetMs }),
    };
    const { pool, clock } = this.#options;
    if (how === 'unreachable') pool.recordUnreachable(attempt, clock.now());
    pool.settle(attempt, result, clock.now());
  }

  #reportCrash(server: BackendServer, attempt: number, fingerprint: string, how: AttemptEnd): void {
    const { quarantine } = this.#options;
    const isFirstReport = this.#inFlight.remove(server.id, attempt);
    if (how === 'ok') quarantine.finished(fingerprint);
    if (!isFirstReport) return;
    if (how === 'crashed') this.#crashed(server, [fingerprint]);
    if (how === 'broken' && this.#inFlight.breakOff(server.id, fingerprint)) {
      void this.#findOut(server);
    }
  }

  /** Finds out whether a server that broke off has crashed. */
  async #findOut(server: BackendServer): Promise<void> {
    const hasEnded = await this.#options.crashCheck?.hasEnded(server);
    const brokenOff = this.#inFlight.takeBrokenOff(server.id);
    if (hasEnded) this.#crashed(server, brokenOff);
  }

  #crashed(server: BackendServer, brokenOff: string[]): void {
    const others = this.#inFlight.takeAll(server.id);
    this.#options.quarantine.crashed(server, [...new Set([...brokenOff, ...others])]);
  }

  #learn(
    { workClass, importance }: PlacementRequest,
    waitedMs: number,
    firstTokenMs: number,
    serviceMs: number,
  ): void {
    const timing = { workClass, importance, waitedMs, firstTokenMs, serviceMs };
    this.#learning.answered(timing, this.#options.clock.now());
  }

  #quarantined({ fingerprint }: PlacementRequest): Refusal {
    return quarantined(this.#options.quarantine.refusedForMs(fingerprint));
  }

  #refuseShed({ entry, reason, retryAfterMs }: ShedEntry): void {
    this.#learning.refused(entry.importance);
    this.#settle(entry.id, Result.err(notRun(reason, shedDetails[reason], retryAfterMs)));
  }

  #drop(id: number): void {
    this.#options.queue.remove(id);
    this.#settle(id, Result.err(gone()));
  }

  #settle(id: number, placed: Result<Placement, Refusal>): void {
    const waiter = this.#waiters.get(id);
    if (!waiter) return;
    this.#waiters.delete(id);
    this.#parked.delete(id);
    waiter.resolve(placed);
  }
}
