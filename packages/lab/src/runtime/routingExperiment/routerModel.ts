/** Model of a router in virtual time, built on the decision logic of core. */

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

/** What a router model needs from the simulation. */
export interface RouterEnvironment {
  loop: VirtualLoop;
  stats: ClassStats;
  random: RandomSource;
  /** Sends an attempt over the network. */
  submit: (router: RouterModel, server: ServerId, job: ServerJob) => void;
  cancel: (router: RouterModel, server: ServerId, job: ServerJob) => void;
}

/** A request that a router has received and not closed. */
interface PendingRequest {
  request: ExperimentRequest;
  deadline: number;
  plan: AttemptPlan;
  made: number;
  tried: Set<ServerId>;
  /** Whether the caller has got its answer or refusal. */
  closed: boolean;
}

const MAX_QUEUE = 256;
const MAX_ATTEMPTS = 3;
/** With `slowEjection`, a server is ejected at this multiple of the median first-token time. */
const SLOW_FACTOR = 3;
const EXPIRE_EVERY_MS = 50;
const priorities = { first: 0, standard: 1, background: 2 } as const;

/** A router with its server pool, admission queue and retry budget. */
export class RouterModel {
  readonly dataCentre: string;
  readonly #environment: RouterEnvironment;
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
    environment: RouterEnvironment,
  ) {
    this.dataCentre = dataCentre;
    this.#environment = environment;
    this.#chooser = createServerChooser(policy.chooser);
    this.#queue = new AdmissionQueue({
      maxSize: MAX_QUEUE,
      discipline: createQueueDiscipline(policy.discipline),
      refuseUnreachable: policy.refuseUnreachable,
    });
    const noEjection = {
      maxFailuresInRow: Infinity,
      maxFailureShare: Infinity,
      slowFactor: Infinity,
    };
    const slow = policy.slowEjection ? { slowFactor: SLOW_FACTOR } : {};
    this.#pool = new ServerPool({
      dataCentre,
      concurrencyPerServer: declaredConcurrency,
      limitKind: policy.limit,
      sharers: policy.fairPart ? sharers : Infinity,
      health: policy.ejection ? slow : noEjection,
    });
    this.#reserve = policy.reserve ? new ImportanceReserve() : undefined;
    this.#pool.applyList(servers, environment.loop.now);
    this.#expireRegularly();
  }

  reportLoad(id: ServerId, report: LoadReport): void {
    this.#pool.reportLoad(id, report, this.#environment.loop.now);
    this.#dispatchWaiting();
  }

  receive(request: ExperimentRequest): void {
    const { now } = this.#environment.loop;
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
    this.#dispatchWaiting();
  }

  #enqueue(pending: PendingRequest): void {
    const { now } = this.#environment.loop;
    const { id, workClass, arrivedAt } = pending.request;
    const entry = {
      id,
      importance: workClass.importance,
      deadline: pending.deadline,
      targetAt: arrivedAt + workClass.firstTokenMs,
      serviceMs: cautiousServiceMs(this.#serviceTimes.get(workClass.name), now),
    };
    const { shed } = this.#queue.offer(entry, now);
    for (const item of shed) this.#refuse(item.entry.id, item.reason);
  }

  #dispatchWaiting(): void {
    const { now } = this.#environment.loop;
    for (;;) {
      const { entry, shed } = this.#queue.take(now, (importance, isMinimumShareTurn) => {
        return this.#pool.hasRoom(this.#ruleFor(importance, isMinimumShareTurn), now);
      });
      for (const item of shed) this.#refuse(item.entry.id, item.reason);
      if (!entry) return;
      const pending = this.#pending.get(entry.id);
      if (pending) this.#dispatch(pending);
    }
  }

  #ruleFor(importance: Importance, isMinimumShareTurn: boolean): PlacementRule {
    return this.#reserve?.ruleFor(importance, isMinimumShareTurn) ?? { keptFree: 0, extra: 0 };
  }

  #dispatch(pending: PendingRequest): void {
    const { loop, random } = this.#environment;
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
    new Attempt(this.#environment, this, this.#pool, pending, server.id, (end) => {
      this.#ended(pending, end);
    }).start();
  }

  #ended(pending: PendingRequest, end: AttemptOutcome): void {
    const { loop, stats } = this.#environment;
    if (end.type === 'done') {
      const { request } = pending;
      const firstTokenMs = end.firstTokenAt - request.arrivedAt;
      this.#recordAnswer(request, end.serviceMs, firstTokenMs);
      this.#close(pending);
      stats.answered(request, firstTokenMs);
    } else {
      this.#retryOrRefuse(pending, end.provablyNotRun, loop.now);
    }
    this.#dispatchWaiting();
  }

  #retryOrRefuse(pending: PendingRequest, provablyNotRun: boolean, now: number): void {
    const { plan, deadline, made } = pending;
    const failure = { made, provablyNotRun };
    const decision = decideRetry({ idempotent: true, plan, deadline }, failure, now);
    const budgetAfter = decision.type === 'retry' ? spendRetry(this.#retries) : undefined;
    if (!budgetAfter) {
      const reason = decision.type === 'refuse' ? decision.reason : 'backend-failed';
      this.#refuse(pending.request.id, reason);
      return;
    }
    this.#retries = budgetAfter;
    this.#enqueue(pending);
  }

  #refuse(id: number, reason: RefusalReason): void {
    const pending = this.#pending.get(id);
    if (!pending) return;
    this.#close(pending);
    this.#environment.stats.refused(pending.request, reason);
  }

  #close(pending: PendingRequest): void {
    pending.closed = true;
    this.#pending.delete(pending.request.id);
  }

  #recordAnswer(request: ExperimentRequest, serviceMs: number, firstTokenMs: number): void {
    const { now } = this.#environment.loop;
    const { name, importance, firstTokenMs: targetMs } = request.workClass;
    this.#serviceTimes.set(name, recordServiceTime(this.#serviceTimes.get(name), serviceMs, now));
    this.#reserve?.sample(importance, firstTokenMs > targetMs);
  }

  #expireRegularly(): void {
    this.#environment.loop.after(EXPIRE_EVERY_MS, () => {
      const { now } = this.#environment.loop;
      for (const item of this.#queue.expire(now)) this.#refuse(item.entry.id, item.reason);
      this.#dispatchWaiting();
      this.#expireRegularly();
    });
  }
}

type AttemptOutcome =
  | { type: 'done'; firstTokenAt: number; serviceMs: number }
  | { type: 'failed'; provablyNotRun: boolean };

/** One attempt. It ends exactly once: with an answer, a failure or a timeout. */
class Attempt {
  readonly #environment: RouterEnvironment;
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
    environment: RouterEnvironment,
    router: RouterModel,
    pool: ServerPool,
    pending: PendingRequest,
    server: ServerId,
    onEnd: (end: AttemptOutcome) => void,
  ) {
    this.#environment = environment;
    this.#router = router;
    this.#pool = pool;
    this.#pending = pending;
    this.#server = server;
    this.#onEnd = onEnd;
  }

  start(): void {
    const { loop } = this.#environment;
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
    this.#environment.submit(this.#router, this.#server, job);
    loop.after(Math.min(plan.attemptTimeoutMs, deadline - loop.now), () => {
      if (this.#ended) return;
      this.#environment.cancel(this.#router, this.#server, job);
      this.#fail('timeout');
    });
  }

  #done(): void {
    if (this.#ended) return;
    this.#ended = true;
    const { now } = this.#environment.loop;
    const firstTokenAt = this.#firstTokenAt ?? now;
    const firstTokenMs = firstTokenAt - this.#startedAt;
    const targetMs = this.#pending.request.workClass.firstTokenMs;
    this.#pool.settle(this.#number, { end: 'ok', firstTokenMs, targetMs }, now);
    this.#onEnd({ type: 'done', firstTokenAt, serviceMs: now - this.#startedAt });
  }

  #fail(end: 'failed' | 'timeout'): void {
    if (this.#ended) return;
    this.#ended = true;
    const { now } = this.#environment.loop;
    const targetMs = this.#pending.request.workClass.firstTokenMs;
    this.#pool.settle(this.#number, { end, targetMs }, now);
    this.#onEnd({ type: 'failed', provablyNotRun: false });
  }
}
