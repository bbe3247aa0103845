/** One router in virtual time, built on the real decisions of core. */

import type {
  AttemptPlan,
  BackendServer,
  Importance,
  LoadReport,
  PlacementRule,
  RandomSource,
  RefusalReason,
  RetryBudget,
  ServerChooser,
  ServerId,
  ServiceTime,
} from '@flamingocourse/core';
import type { ClassStats } from './classStats.js';
import type { ExperimentRequest } from './requestSource.js';
import type { ServerJob } from './serverModel.js';
import type { RoutingPolicy } from './types.js';
import type { VirtualLoop } from './virtualLoop.js';
import {
  AdmissionQueue,
  cautiousServiceMs,
  chooseServer,
  createQueueDiscipline,
  createRetryBudget,
  createServerChooser,
  decideRetry,
  earnRetry,
  ImportanceReserve,
  mix32,
  recordServiceTime,
  resolveAttemptPlan,
  ServerPool,
  spendRetry,
} from '@flamingocourse/core';

/** What a router needs from its surroundings. */
export interface RouterSurroundings {
  loop: VirtualLoop;
  stats: ClassStats;
  random: RandomSource;
  /** Sends an attempt over the network. */
  submit: (router: RouterModel, server: ServerId, job: ServerJob) => void;
  cancel: (router: RouterModel, server: ServerId, job: ServerJob) => void;
}

/** A request at its router. */
interface PendingRequest {
  request: ExperimentRequest;
  deadline: number;
  plan: AttemptPlan;
  made: number;
  tried: Set<ServerId>;
  /** Whether the caller has its final answer. */
  closed: boolean;
}

const MAX_QUEUE = 256;
const MAX_ATTEMPTS = 3;
/** Multiple of the median first-token time at which slowness ejects, where that is on. */
const SLOW_FACTOR = 3;
const EXPIRE_EVERY_MS = 50;
const priorities = { first: 0, standard: 1, background: 2 } as const;

/** A router with its pool, queue and retry budget. */
export class RouterModel {
  readonly dataCentre: string;
  readonly #around: RouterSurroundings;
  readonly #pool: ServerPool;
  readonly #queue: AdmissionQueue;
  readonly #chooser: ServerChooser;
  readonly #pending = new Map<number, PendingRequest>();
  readonly #serviceTimes = new Map<string, ServiceTime>();
  readonly #reserve: ImportanceReserve | undefined;
  #retries: RetryBudget = createRetryBudget();

  constructor(
    dataCentre: string,
    sharers: number,
    policy: RoutingPolicy,
    declaredConcurrency: number,
    servers: BackendServer[],
    around: RouterSurroundings,
  ) {
    this.dataCentre = dataCentre;
    this.#around = around;
    this.#chooser = createServerChooser(policy.chooser);
    this.#queue = new AdmissionQueue({
      maxSize: MAX_QUEUE,
      discipline: createQueueDiscipline(policy.discipline),
      refuseUnreachable: policy.refuseUnreachable,
    });
    const never = { maxFailuresInRow: Infinity, maxFailureShare: Infinity, slowFactor: Infinity };
    const slow = policy.slowEjection ? { slowFactor: SLOW_FACTOR } : {};
    this.#pool = new ServerPool({
      dataCentre,
      concurrencyPerServer: declaredConcurrency,
      limitKind: policy.limit,
      sharers: policy.fairPart ? sharers : Infinity,
      health: policy.ejection ? slow : never,
    });
    this.#reserve = policy.reserve ? new ImportanceReserve() : undefined;
    this.#pool.applyList(servers, around.loop.now);
    this.#expireRegularly();
  }

  reportLoad(id: ServerId, report: LoadReport): void {
    this.#pool.reportLoad(id, report, this.#around.loop.now);
    this.#pump();
  }

  receive(request: ExperimentRequest): void {
    const { now } = this.#around.loop;
    const deadline = request.arrivedAt + request.workClass.completeMs;
    const typicalMs = this.#serviceTimes.get(request.workClass.name)?.meanMs ?? 0;
    const plan = resolveAttemptPlan(
      { idempotent: true, deadline, maxAttempts: MAX_ATTEMPTS, typicalMs },
      now,
    );
    this.#retries = earnRetry(this.#retries);
    const pending = { request, deadline, plan, made: 0, tried: new Set<ServerId>(), closed: false };
    this.#pending.set(request.id, pending);
    this.#enqueue(pending);
    this.#pump();
  }

  #enqueue(pending: PendingRequest): void {
    const { now } = this.#around.loop;
    const { id, workClass, arrivedAt } = pending.request;
    const entry = {
      id,
      importance: workClass.importance,
      deadline: pending.deadline,
      targetAt: arrivedAt + workClass.firstTokenMs,
      serviceMs: cautiousServiceMs(this.#serviceTimes.get(workClass.name), now),
    };
    const { shed } = this.#queue.offer(entry, now);
    for (const given of shed) this.#refuse(given.entry.id, given.reason);
  }

  #pump(): void {
    const { now } = this.#around.loop;
    for (;;) {
      const { entry, shed } = this.#queue.take(now, (importance, owed) => {
        return this.#pool.hasRoom(this.#ruleFor(importance, owed), now);
      });
      for (const given of shed) this.#refuse(given.entry.id, given.reason);
      if (!entry) return;
      const pending = this.#pending.get(entry.id);
      if (pending) this.#dispatch(pending);
    }
  }

  #ruleFor(importance: Importance, owed: boolean): PlacementRule {
    return this.#reserve?.ruleFor(importance, owed) ?? { keptFree: 0, extra: 0 };
  }

  #dispatch(pending: PendingRequest): void {
    const { loop, random } = this.#around;
    const choice = { prefixHash: mix32(pending.request.prefix + 1) };
    const { extra } = this.#ruleFor(pending.request.workClass.importance, false);
    const server =
      chooseServer(
        this.#pool,
        this.#chooser,
        choice,
        { tried: pending.tried, extra },
        loop.now,
        random,
      ) ?? chooseServer(this.#pool, this.#chooser, choice, { extra }, loop.now, random);
    if (!server) {
      this.#refuse(pending.request.id, 'no-backend-server');
      return;
    }
    pending.made += 1;
    pending.tried.add(server.id);
    new Attempt(this.#around, this, this.#pool, pending, server.id, (end) => {
      this.#ended(pending, end);
    }).start();
  }

  #ended(pending: PendingRequest, end: AttemptOutcome): void {
    const { loop, stats } = this.#around;
    if (end.type === 'done') {
      const { request } = pending;
      const firstTokenMs = end.firstTokenAt - request.arrivedAt;
      this.#learn(request, end.serviceMs, firstTokenMs);
      this.#close(pending);
      stats.answered(request, firstTokenMs);
    } else {
      this.#retryOrRefuse(pending, end.provablyNotRun, loop.now);
    }
    this.#pump();
  }

  #retryOrRefuse(pending: PendingRequest, provablyNotRun: boolean, now: number): void {
    const { plan, deadline, made } = pending;
    const failure = { made, provablyNotRun };
    const decision = decideRetry({ idempotent: true, plan, deadline }, failure, now);
    const left = decision.type === 'retry' ? spendRetry(this.#retries) : undefined;
    if (!left) {
      const reason = decision.type === 'refuse' ? decision.reason : 'backend-failed';
      this.#refuse(pending.request.id, reason);
      return;
    }
    this.#retries = left;
    this.#enqueue(pending);
  }

  #refuse(id: number, reason: RefusalReason): void {
    const pending = this.#pending.get(id);
    if (!pending) return;
    this.#close(pending);
    this.#around.stats.refused(pending.request, reason);
  }

  #close(pending: PendingRequest): void {
    pending.closed = true;
    this.#pending.delete(pending.request.id);
  }

  #learn(request: ExperimentRequest, serviceMs: number, firstTokenMs: number): void {
    const { now } = this.#around.loop;
    const { name, importance, firstTokenMs: targetMs } = request.workClass;
    this.#serviceTimes.set(name, recordServiceTime(this.#serviceTimes.get(name), serviceMs, now));
    this.#reserve?.sample(importance, firstTokenMs > targetMs);
  }

  #expireRegularly(): void {
    this.#around.loop.after(EXPIRE_EVERY_MS, () => {
      const { now } = this.#around.loop;
      for (const given of this.#queue.expire(now)) this.#refuse(given.entry.id, given.reason);
      this.#pump();
      this.#expireRegularly();
    });
  }
}

type AttemptOutcome =
  | { type: 'done'; firstTokenAt: number; serviceMs: number }
  | { type: 'failed'; provablyNotRun: boolean };

/** One attempt; ends exactly once, by its answer, its failure or its timeout. */
class Attempt {
  readonly #around: RouterSurroundings;
  readonly #router: RouterModel;
  readonly #pool: ServerPool;
  readonly #pending: PendingRequest;
  readonly #server: ServerId;
  readonly #onEnd: (end: AttemptOutcome) => void;
  #number = 0;
  #startedAt = 0;
  #firstTokenAt: number | undefined;
  #ended = false;

  constructor(
    around: RouterSurroundings,
    router: RouterModel,
    pool: ServerPool,
    pending: PendingRequest,
    server: ServerId,
    onEnd: (end: AttemptOutcome) => void,
  ) {
    this.#around = around;
    this.#router = router;
    this.#pool = pool;
    this.#pending = pending;
    this.#server = server;
    this.#onEnd = onEnd;
  }

  start(): void {
    const { loop } = this.#around;
    const { request, plan, deadline } = this.#pending;
    this.#startedAt = loop.now;
    this.#number = this.#pool.dispatch(this.#server, loop.now);
    const job: ServerJob = {
      prefix: request.prefix,
      prefixTokens: request.prefixTokens,
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      priority: priorities[request.workClass.importance],
      onFirstToken: () => {
        this.#firstTokenAt ??= loop.now;
      },
      onDone: () => {
        this.#done();
      },
      onFailed: () => {
        this.#fail('failed');
      },
    };
    this.#around.submit(this.#router, this.#server, job);
    loop.after(Math.min(plan.attemptTimeoutMs, deadline - loop.now), () => {
      if (this.#ended) return;
      this.#around.cancel(this.#router, this.#server, job);
      this.#fail('timeout');
    });
  }

  #done(): void {
    if (this.#ended) return;
    this.#ended = true;
    const { now } = this.#around.loop;
    const firstTokenAt = this.#firstTokenAt ?? now;
    const firstTokenMs = firstTokenAt - this.#startedAt;
    const targetMs = this.#pending.request.workClass.firstTokenMs;
    this.#pool.settle(this.#number, { end: 'ok', firstTokenMs, targetMs }, now);
    this.#onEnd({ type: 'done', firstTokenAt, serviceMs: now - this.#startedAt });
  }

  #fail(end: 'failed' | 'timeout'): void {
    if (this.#ended) return;
    this.#ended = true;
    const { now } = this.#around.loop;
    const targetMs = this.#pending.request.workClass.firstTokenMs;
    this.#pool.settle(this.#number, { end, targetMs }, now);
    this.#onEnd({ type: 'failed', provablyNotRun: false });
  }
}
