/** Queue and servers of one service: decides which waiting request goes where, and when. */

import type {
  AdmissionQueue,
  AttemptResult,
  BackendServer,
  Candidate,
  QueueEntry,
  Refusal,
  RetryBudget,
  ServerChooser,
  ServerId,
  ServerPool,
  ShedEntry,
} from '@flamingocourse/core';
import type { Clock } from '@flamingocourse/kernel';
import type { AttemptEnd, Placement, PlacementRequest } from '../../types/backends.js';
import type { QuarantineRegister } from './quarantineRegister.js';
import {
  chooseServer,
  createRetryBudget,
  earnRetry,
  hash32,
  spendRetry,
} from '@flamingocourse/core';
import { Result } from 'true-myth';
import { notRun } from '../../utils/problem.js';

const NO_SERVER_RETRY_MS = 1_000;
/** Requests that wait apart because no server that they may use has room. */
const MAX_PARKED = 256;

const enginePriority = { first: 0, standard: 10, background: 20 } as const;

/** Passive parts of a lane. */
export interface ServiceLaneOptions {
  pool: ServerPool;
  queue: AdmissionQueue;
  chooser: ServerChooser;
  quarantine: QuarantineRegister;
  clock: Clock;
  random: () => number;
}

interface Waiter {
  request: PlacementRequest;
  exclusive: boolean;
  resolve(placed: Result<Placement, Refusal>): void;
}

/** One service's waiting requests and servers. */
export class ServiceLane {
  readonly #options: ServiceLaneOptions;
  readonly #waiters = new Map<number, Waiter>();
  /** Waiting requests that need a server which is not to be had yet; tried before the queue. */
  readonly #parked = new Set<number>();
  readonly #inFlight = new Map<ServerId, Map<number, string>>();
  #retries: RetryBudget = createRetryBudget();
  #nextId = 1;
  #targetMs = new Map<string, number>();

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

  get pool(): ServiceLaneOptions['pool'] {
    return this.#options.pool;
  }

  /** Takes the first-token targets of the classes that use this service. */
  setTargets(targets: Map<string, number>): void {
    this.#targetMs = targets;
  }

  /** Waits for a place; refuses at once when none can come in time. */
  place(request: PlacementRequest): Promise<Result<Placement, Refusal>> {
    const now = this.#options.clock.now();
    const verdict = this.#options.quarantine.judge(request.fingerprint);
    if (verdict === 'quarantined') return Promise.resolve(Result.err(quarantined()));
    if (request.signal.aborted) return Promise.resolve(Result.err(gone()));
    if (!this.#options.pool.hasOpenServer(new Set(request.tried), now)) {
      return Promise.resolve(Result.err(noServer()));
    }
    if (request.tried.length === 0) this.#retries = earnRetry(this.#retries);
    return new Promise((resolve) => {
      this.#enqueue({ request, exclusive: verdict === 'suspect', resolve });
      this.pump();
    });
  }

  /** Takes a retry out of the budget, if there is one left. */
  mayRetry(): boolean {
    const spent = spendRetry(this.#retries);
    if (spent) this.#retries = spent;
    return spent !== undefined;
  }

  /** Hands out free places; to be called after every change and at short intervals. */
  pump(): void {
    const now = this.#options.clock.now();
    for (const shed of this.#options.queue.expire(now)) this.#refuseShed(shed);
    this.#pumpParked(now);
    while (this.#options.queue.size > 0 && this.#hasRoom(now)) {
      const { entry, shed } = this.#options.queue.take(now);
      for (const item of shed) this.#refuseShed(item);
      if (!entry) return;
      const waiter = this.#waiters.get(entry.id);
      if (waiter && !this.#tryPlace(entry.id, waiter, now)) this.#park(entry.id, waiter, now);
    }
  }

  /** Refuses everything that waits; for the end of the service or the router. */
  clear(): void {
    for (const id of this.#waiters.keys()) this.#settle(id, Result.err(noServer()));
    this.#options.queue.clear();
    this.#parked.clear();
  }

  #enqueue(waiter: Waiter): void {
    const id = this.#nextId;
    this.#nextId += 1;
    this.#waiters.set(id, waiter);
    const { request } = waiter;
    request.signal.addEventListener('abort', () => {
      this.#drop(id);
    });
    const now = this.#options.clock.now();
    // a suspect waits for a server of its own, apart from the queue, so that it delays nobody.
    if (waiter.exclusive) {
      this.#park(id, waiter, now);
      return;
    }
    const offered = this.#options.queue.offer(toEntry(id, request), now);
    for (const shed of offered.shed) this.#refuseShed(shed);
  }

  #pumpParked(now: number): void {
    for (const id of this.#parked) {
      const waiter = this.#waiters.get(id);
      if (!waiter) {
        this.#parked.delete(id);
        continue;
      }
      if (waiter.request.deadline <= now) {
        this.#settle(
          id,
          Result.err(notRun('deadline-passed', 'The deadline passed in the queue.')),
        );
      } else if (!this.#options.pool.hasOpenServer(new Set(waiter.request.tried), now)) {
        this.#settle(id, Result.err(noServer()));
      } else {
        this.#tryPlace(id, waiter, now);
      }
    }
  }

  #park(id: number, waiter: Waiter, now: number): void {
    if (this.#parked.size >= MAX_PARKED) {
      const retryAfterMs = this.#options.queue.retryAfterMs(now);
      this.#settle(id, Result.err(notRun('overloaded', 'Too many requests wait.', retryAfterMs)));
      return;
    }
    this.#parked.add(id);
    this.#tryPlace(id, waiter, now);
  }

  #hasRoom(now: number): boolean {
    return this.#options.pool.candidates({}, now).length > 0;
  }

  #tryPlace(id: number, waiter: Waiter, now: number): boolean {
    const { request, exclusive } = waiter;
    const choice = request.prefixKey === undefined ? {} : { prefixHash: hash32(request.prefixKey) };
    const query = { tried: new Set(request.tried), exclusive };
    const { pool, chooser, random } = this.#options;
    const chosen = chooseServer(pool, chooser, choice, query, now, random);
    if (!chosen) return false;
    this.#settle(id, Result.ok(this.#dispatch(chosen, waiter, now)));
    return true;
  }

  #dispatch(chosen: Candidate, waiter: Waiter, now: number): Placement {
    const { pool } = this.#options;
    const { request } = waiter;
    const attempt = pool.dispatch(chosen.id, now, waiter.exclusive);
    const server = pool.servers.find((item) => item.id === chosen.id);
    if (!server) throw new RangeError(`chosen server "${chosen.id}" is not in the pool`);
    this.#track(chosen.id, attempt, request.fingerprint);
    return {
      server,
      priority: enginePriority[request.importance],
      end: (how, firstTokenMs) => {
        this.#end(chosen.id, attempt, request, how, firstTokenMs);
      },
    };
  }

  #end(
    server: ServerId,
    attempt: number,
    request: PlacementRequest,
    how: AttemptEnd,
    firstTokenMs: number | undefined,
  ): void {
    const now = this.#options.clock.now();
    const targetMs = this.#targetMs.get(request.workClass);
    this.#options.pool.settle(
      attempt,
      {
        end: healthEnd(how),
        ...(firstTokenMs === undefined ? {} : { firstTokenMs }),
        ...(targetMs === undefined ? {} : { targetMs }),
      },
      now,
    );
    this.#recordForQuarantine(server, attempt, request.fingerprint, how);
    this.pump();
  }

  /**
   * The first attempt that breaks off reports the crash for all that were in flight there; the ends
   * of the others belong to the same crash and must not count as further ones.
   */
  #recordForQuarantine(
    server: ServerId,
    attempt: number,
    fingerprint: string,
    how: AttemptEnd,
  ): void {
    if (how === 'ok') this.#options.quarantine.finished(fingerprint);
    const attempts = this.#inFlight.get(server);
    if (!attempts?.delete(attempt) || how !== 'crashed') return;
    const inFlight = new Set([fingerprint, ...attempts.values()]);
    attempts.clear();
    this.#options.quarantine.crashed(server, [...inFlight]);
  }

  #track(server: ServerId, attempt: number, fingerprint: string): void {
    const attempts = this.#inFlight.get(server) ?? new Map<number, string>();
    attempts.set(attempt, fingerprint);
    this.#inFlight.set(server, attempts);
  }

  #refuseShed(shed: ShedEntry): void {
    const detail = shedDetails[shed.reason];
    this.#settle(shed.entry.id, Result.err(notRun(shed.reason, detail, shed.retryAfterMs)));
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

const shedDetails = {
  overloaded: 'The queue is full; retry later.',
  'deadline-unreachable': 'The queue is too long for the deadline; retry later.',
  'deadline-passed': 'The deadline passed in the queue.',
} as const;

function toEntry(id: number, request: PlacementRequest): QueueEntry {
  // a request that has begun to answer must not wait behind new ones: its caller sees the pause.
  const importance = request.tried.length > 0 ? 'first' : request.importance;
  return { id, importance, deadline: request.deadline };
}

function quarantined(): Refusal {
  return notRun('quarantined', 'This request has crashed the servers that ran it; change it.');
}

function noServer(): Refusal {
  const detail = 'No backend server can take the request now; retry soon.';
  return notRun('no-backend-server', detail, NO_SERVER_RETRY_MS);
}

function gone(): Refusal {
  return notRun('deadline-passed', 'The request was given up before it ran.');
}

function healthEnd(how: AttemptEnd): AttemptResult['end'] {
  switch (how) {
    case 'crashed':
      return 'failed';
    case 'timed-out':
      return 'timeout';
    case 'ok':
    case 'failed':
    case 'cancelled':
    case 'leaving':
      return how;
  }
}
