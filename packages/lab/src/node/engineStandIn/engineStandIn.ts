/** Stand-in for a model engine: continuous batching, prefix cache, resume, cancel and faults. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CacheEvent } from '../../runtime/prefixCache.js';
import type { Random } from '../../runtime/random.js';
import type {
  EngineCounters,
  EngineFaults,
  EngineStandInOptions,
} from '../../types/engineStandIn.js';
import type { ChatRequest } from './chatRequest.js';
import { runInBackground } from '@flamingocourse/kernel';
import { endOnFailure } from '../../utils/endOnFailure.js';
import { countPromptTokens, planAnswer, splitWords } from '../../runtime/answerText.js';
import { DelayedValues } from '../../runtime/delayedValues.js';
import { PrefixCache } from '../../runtime/prefixCache.js';
import { createRandom } from '../../runtime/random.js';
import { NO_ENGINE_FAULTS } from '../../types/engineStandIn.js';
import {
  HttpStandIn,
  parseSwitches,
  readBody,
  requestHeader,
  requestUrl,
  sendJson,
} from '../httpStandIn.js';
import { BatchScheduler } from './batchScheduler.js';
import { ChatAttempt } from './chatAttempt.js';
import { chatRequestSchema } from './chatRequest.js';

const DEFAULTS = {
  slots: 8,
  maxWaiting: 256,
  prefillMsPerToken: 0.2,
  decodeMs: 10,
  decodeMsPerRequest: 1,
  cacheBlocks: 512,
  loadLagMs: 1_000,
  cacheEventLagMs: 500,
  cacheEventLoss: 0.05,
  checksFencing: false,
  crashMarker: 'crash-the-engine',
  seed: 1,
};

const LOAD_SAMPLE_MS = 100;
const MAX_CACHE_EVENTS = 2_000;
const RETRY_AFTER_SECONDS = '1';

interface LoadReport {
  running: number;
  waiting: number;
  kvUsage: number;
  asOf: number;
}

/** A running engine stand-in; see docs/LAB.md for its routes and switches. */
export class EngineStandIn extends HttpStandIn {
  readonly counters: EngineCounters = {
    requests: 0,
    whileLeaving: 0,
    finished: 0,
    cancelled: 0,
    tokensWritten: 0,
    crashes: 0,
  };
  readonly #options: typeof DEFAULTS & EngineStandInOptions;
  readonly #random: Random;
  readonly #loads: DelayedValues<LoadReport>;
  readonly #events: DelayedValues<CacheEvent>;
  #faults: EngineFaults;
  #scheduler: BatchScheduler;
  #cache: PrefixCache;
  #eventSeq = 0;
  #fencing = -1;
  #adapters: string[] = [];
  /** Last token event of an attempt that has ended; the fault `lateChunks` sends it again. */
  #endedAttemptEvent = '';
  #sampler: NodeJS.Timeout | undefined;
  #restart: NodeJS.Timeout | undefined;

  constructor(options: EngineStandInOptions) {
    super(options);
    this.#options = { ...DEFAULTS, ...options };
    this.#faults = { ...NO_ENGINE_FAULTS, ...options.faults };
    this.#random = createRandom(this.#options.seed);
    const samples = Math.ceil(this.#options.loadLagMs / LOAD_SAMPLE_MS) + 2;
    this.#loads = new DelayedValues(this.#options.loadLagMs, samples);
    this.#events = new DelayedValues(this.#options.cacheEventLagMs, MAX_CACHE_EVENTS);
    this.#scheduler = this.#createScheduler();
    this.#cache = this.#createCache();
  }

  /** Number of requests that occupy a slot. */
  get runningRequests(): number {
    return this.#scheduler.running;
  }

  /** Number of requests that wait for a slot. */
  get waitingRequests(): number {
    return this.#scheduler.waiting;
  }

  /** Sets the given faults; the others stay unchanged. */
  setFaults(faults: Partial<EngineFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  override async start(): Promise<void> {
    clearTimeout(this.#restart);
    await super.start();
    this.#sampler = setInterval(() => {
      this.#sampleLoad();
    }, LOAD_SAMPLE_MS);
  }

  override crash(): void {
    this.counters.crashes += 1;
    super.crash();
    if (this.#options.restartAfterMs === undefined) return;
    this.#restart = setTimeout(() => {
      runInBackground(() => this.start(), endOnFailure);
    }, this.#options.restartAfterMs);
  }

  override async stop(): Promise<void> {
    clearTimeout(this.#restart);
    await super.stop();
    this.#scheduler.close();
  }

  protected override reset(): void {
    clearInterval(this.#sampler);
    this.#scheduler.close();
    this.#scheduler = this.#createScheduler();
    this.#cache = this.#createCache();
    this.#loads.clear();
    this.#faults = { ...this.#faults, crashAfterTokens: null };
  }

  protected override async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = requestUrl(req);
    switch (`${req.method ?? ''} ${url.pathname}`) {
      case 'POST /v1/chat/completions':
        this.#chat(req, res, await readBody(req));
        return;
      case 'POST /v1/load_lora_adapter':
        this.#loadAdapter(req, res, await readBody(req));
        return;
      case 'POST /control/faults':
        this.setFaults(parseSwitches(await readBody(req), this.#faults));
        sendJson(res, 200, this.#faults);
        return;
      case 'GET /load':
        sendJson(res, 200, this.#loads.latest(Date.now()) ?? this.#emptyLoad());
        return;
      case 'GET /health':
        sendHealth(res, this.#faults.leaving);
        return;
      case 'GET /cache-events':
        this.#sendCacheEvents(res, Number(url.searchParams.get('after') ?? 0));
        return;
      case 'GET /v1/models':
        sendJson(res, 200, { data: this.#adapters.map((id) => ({ id, object: 'model' })) });
        return;
      case 'GET /control/counters':
        sendJson(res, 200, this.counters);
        return;
      default:
        sendJson(res, 404, { error: { message: `no route for ${url.pathname}` } });
    }
  }

  #chat(req: IncomingMessage, res: ServerResponse, text: string): void {
    const refused = this.#refuseEarly(res);
    if (refused) return;
    const parsed = chatRequestSchema.safeParse(JSON.parse(text));
    if (!parsed.success) {
      sendJson(res, 400, { error: { message: parsed.error.message } });
      return;
    }
    this.counters.requests += 1;
    const id = requestHeader(req, 'x-request-id') ?? `chatcmpl-${this.counters.requests}`;
    this.#run(res, id, parsed.data, text.includes(this.#options.crashMarker));
  }

  /** Refuses a request before it runs, if there is a reason; returns whether it did. */
  #refuseEarly(res: ServerResponse): boolean {
    if (this.#faults.leaving) {
      this.counters.whileLeaving += 1;
      sendJson(res, 503, { state: 'leaving' }, { 'retry-after': RETRY_AFTER_SECONDS });
      return true;
    }
    if (this.#scheduler.waiting >= this.#options.maxWaiting) {
      const body = { error: { message: 'the waiting queue is full' } };
      sendJson(res, 429, body, { 'retry-after': RETRY_AFTER_SECONDS });
      return true;
    }
    if (this.#random.chance(this.#faults.errorRate)) {
      sendJson(res, 500, { error: { message: 'injected error' } });
      return true;
    }
    return false;
  }

  #run(res: ServerResponse, id: string, request: ChatRequest, poisoned: boolean): void {
    const { messages } = request;
    const cachedTokens = this.#cache.use(
      messages.flatMap((message) => splitWords(message.content)),
    );
    const promptTokens = countPromptTokens(messages, request.continue_final_message);
    const attempt = new ChatAttempt(res, id, request, {
      task: planAnswer(messages, request.seed, request.continue_final_message),
      prefillMs: (promptTokens - cachedTokens) * this.#options.prefillMsPerToken,
      promptTokens,
      cachedTokens,
      beforeToken: () => this.#beforeToken(poisoned),
      afterToken: () => {
        this.#injectStreamFaults(attempt);
      },
      onFinish: () => {
        this.counters.finished += 1;
        this.#endedAttemptEvent = attempt.lastEvent;
      },
    });
    const scheduler = this.#scheduler;
    scheduler.add(attempt);
    res.on('close', () => {
      this.#endedAttemptEvent = attempt.lastEvent;
      if (res.writableFinished) return;
      // the caller disconnected: without this, an answer that nobody reads would occupy the slot.
      scheduler.cancel(attempt);
      this.counters.cancelled += 1;
    });
  }

  /** Returns false if the engine has just crashed and nothing more may be written. */
  #beforeToken(poisoned: boolean): boolean {
    const tokensLeft = this.#faults.crashAfterTokens;
    if (poisoned || tokensLeft === 0) {
      this.crash();
      return false;
    }
    if (tokensLeft !== null) this.#faults = { ...this.#faults, crashAfterTokens: tokensLeft - 1 };
    this.counters.tokensWritten += 1;
    return true;
  }

  /** Injects duplicate events and late events of an attempt that has ended. */
  #injectStreamFaults(attempt: ChatAttempt): void {
    if (this.#random.chance(this.#faults.duplicateChunks)) attempt.resend(attempt.lastEvent);
    if (this.#random.chance(this.#faults.lateChunks)) attempt.resend(this.#endedAttemptEvent);
  }

  #loadAdapter(req: IncomingMessage, res: ServerResponse, text: string): void {
    const number = Number(requestHeader(req, 'x-fencing-number') ?? Number.NaN);
    const isStale = Number.isNaN(number) || number < this.#fencing;
    if (this.#options.checksFencing && isStale) {
      const message = `order carries fencing number ${number}; ${this.#fencing} was seen`;
      sendJson(res, 409, { error: { message } });
      return;
    }
    if (!Number.isNaN(number)) this.#fencing = number;
    const adapter = JSON.parse(text) as { lora_name?: string };
    const name = adapter.lora_name ?? 'unnamed';
    this.#adapters = [...this.#adapters.filter((other) => other !== name), name];
    sendJson(res, 200, { loaded: name });
  }

  #sendCacheEvents(res: ServerResponse, after: number): void {
    const events = this.#events.visible(Date.now()).filter((event) => event.seq > after);
    sendJson(res, 200, { events, next: events.at(-1)?.seq ?? after });
  }

  #publish(type: CacheEvent['type'], block: string): void {
    this.#eventSeq += 1;
    if (this.#random.chance(this.#options.cacheEventLoss)) return;
    const now = Date.now();
    this.#events.add({ seq: this.#eventSeq, type, block, at: now }, now);
  }

  #sampleLoad(): void {
    const report = {
      running: this.#scheduler.running,
      waiting: this.#scheduler.waiting,
      kvUsage: this.#cache.usage,
      asOf: Date.now(),
    };
    this.#loads.add(report, report.asOf);
  }

  #emptyLoad(): LoadReport {
    return { running: 0, waiting: 0, kvUsage: 0, asOf: Date.now() - this.#options.loadLagMs };
  }

  #createScheduler(): BatchScheduler {
    const { slots, decodeMs, decodeMsPerRequest } = this.#options;
    const times = {
      decodeMs: (batch: number) => decodeMs + decodeMsPerRequest * (batch - 1),
      slowFactor: () => this.#faults.slowFactor,
      hanging: () => this.#faults.hang,
    };
    return new BatchScheduler(slots, times, (err) => {
      this.crash();
      throw err;
    });
  }

  #createCache(): PrefixCache {
    return new PrefixCache(this.#options.cacheBlocks, (type, block) => {
      this.#publish(type, block);
    });
  }
}

/**
 * Starts an engine stand-in on loopback.
 *
 * @example
 * const engine = await createEngineStandIn({ slots: 4, decodeMs: 5 });
 * engine.setFaults({ slowFactor: 8 });
 * await engine.stop();
 */
export async function createEngineStandIn(
  options: EngineStandInOptions = {},
): Promise<EngineStandIn> {
  const engine = new EngineStandIn(options);
  await engine.start();
  return engine;
}

function sendHealth(res: ServerResponse, leaving: boolean): void {
  if (leaving) sendJson(res, 503, { state: 'leaving' });
  else sendJson(res, 200, { state: 'ok' });
}
