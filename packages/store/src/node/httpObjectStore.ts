/** Object store over HTTP: the client that routers and the operators' command use. */

import type { InstanceRecord } from '@flamingocourse/core';
import type { Clock, HttpAnswer } from '@flamingocourse/kernel';
import type { ZodType } from 'zod';
import type { ChangeRelay } from '../runtime/changeRelay.js';
import type { CircuitOptions } from '../runtime/circuit.js';
import type { PlatformResult } from '../runtime/objectStore.js';
import type {
  CallKind,
  CallOptions,
  Collection,
  ObjectList,
  ReadOptions,
  Subscription,
  VersionedObject,
  WatchOptions,
} from '../types/objects.js';
import type {
  ListPage,
  StoreDialect,
  StoreRequest,
  WatchEndReason,
  WireObject,
} from '../runtime/storeDialect.js';
import { Agent } from 'node:http';
import { isDeepStrictEqual } from 'node:util';
import { BodyBuffers, exchange, runInBackground, SystemClock } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import {
  admitCall,
  createCircuit,
  defaultCircuitOptions,
  recordOutcome,
} from '../runtime/circuit.js';
import { ObjectStore } from '../runtime/objectStore.js';
import { isNewer } from '../utils/isNewer.js';
import { toStored } from '../utils/toStored.js';
import { PlatformError } from '../utils/platformError.js';
import { ObjectApiDialect } from './objectApiDialect.js';
import { ObjectWatch } from './objectWatch.js';
import { RecoveryProbe } from './recoveryProbe.js';
import {
  checkObject,
  faultToError,
  foreignAnswer,
  parseJson,
  wireInstanceListSchema,
  wireInstanceSchema,
} from './wireFormat.js';

const defaultTimeoutMs = 1_500;
/** Lists contain whole values, so they may exceed the limit of 1 MiB for a single value. */
const maxAnswerBytes = 16 * 1024 * 1024;
/** Maximum size of all answers that are read at a time, in bytes. */
const maxTotalBytes = 24 * 1024 * 1024;
const maxSockets = 16;
/**
 * Longer than the platform's bookmark interval. Including the list that follows, a change is known
 * within 3 s.
 */
const defaultWatchIdleMs = 2_000;

/** Options of the client. */
export interface HttpObjectStoreOptions {
  /** `http://host:port` of the platform. */
  url: string;
  /** Milliseconds for a whole call. @default 1500 */
  timeoutMs?: number;
  /** Protocol of the store. @default the Object API */
  dialect?: StoreDialect;
  circuit?: CircuitOptions;
  /** Milliseconds without data after which a watch is reopened. @default 2000 */
  watchIdleMs?: number;
  /** Through which watches follow the store where they can. @default each asks the store */
  relay?: ChangeRelay;
  clock?: Clock;
  /** Numbers from 0 to 1 for the jitter of back-offs. @default Math.random */
  random?: () => number;
  /** Receives errors of background work. */
  onFailure?: (err: unknown) => void;
  /** Receives each entry of a list of instances that cannot be used; the others are. */
  onInvalidInstance?: (entry: unknown) => void;
}

/** Timeout of a probe in milliseconds; a store that is merely slow answers within it. */
const PROBE_TIMEOUT_MS = 1_000;
/** Reasons for the end of a watch that may mean an outage of the store. */
const OUTAGE_REASONS: ReadonlySet<WatchEndReason> = new Set(['silent', 'broken', 'refused']);

type Request = StoreRequest & { kind: CallKind; collection?: string };

/**
 * Client of the Object API. During an outage of the platform its circuit breaker fails calls
 * immediately, with the error `unreachable` and the effect `none`.
 *
 * @example
 * const store = new HttpObjectStore({ url: 'http://127.0.0.1:7000' });
 * const read = await store.get(ledgers, '0');
 */
export class HttpObjectStore extends ObjectStore {
  readonly #options: HttpObjectStoreOptions;
  readonly #clock: Clock;
  readonly #dialect: StoreDialect;
  readonly #agent = new Agent({ keepAlive: true, maxSockets });
  /** Separate from the agent for calls, because each watch occupies a connection permanently. */
  readonly #watchAgent = new Agent({ keepAlive: true });
  /** A probe opens a new connection: existing ones may never deliver data again. */
  readonly #probeAgent = new Agent({ keepAlive: false });
  readonly #buffers = new BodyBuffers(maxTotalBytes, maxAnswerBytes);
  readonly #probe: RecoveryProbe;
  readonly #watches = new Set<ObjectWatch<unknown>>();
  readonly #onFailure: (err: unknown) => void;
  #circuit = createCircuit();

  constructor(options: HttpObjectStoreOptions) {
    super();
    this.#options = options;
    this.#onFailure = options.onFailure ?? (() => undefined);
    this.#clock = options.clock ?? new SystemClock();
    this.#dialect = options.dialect ?? new ObjectApiDialect();
    this.#probe = new RecoveryProbe({
      send: () => {
        runInBackground(() => this.#sendProbe(), this.#onFailure);
      },
      random: options.random ?? Math.random,
    });
  }

  override get reachable(): boolean {
    return this.#circuit.phase === 'closed';
  }

  override async get<T>(
    collection: Collection<T>,
    name: string,
    options: ReadOptions = {},
  ): PlatformResult<VersionedObject<T>> {
    const request = this.#dialect.get(collection.name, name, options.stale);
    return this.#callObject(collection, { kind: 'get', ...request }, options, (object) => {
      return object.name === name;
    });
  }

  override async list<T>(
    collection: Collection<T>,
    options: ReadOptions = {},
  ): PlatformResult<ObjectList<T>> {
    const objects: ListPage = { version: '0', items: [] };
    let after: string | undefined;
    do {
      const request = this.#dialect.list(collection.name, after, options.stale);
      const answer = await this.#call(
        { kind: 'list', collection: collection.name, ...request },
        options,
      );
      const page = answer.andThen((reply) => this.#dialect.parseList(reply));
      if (page.isErr) return Result.err(page.error);
      // a watch from the first page's version also delivers the changes made between two pages.
      if (after === undefined) objects.version = page.value.version;
      objects.items.push(...page.value.items);
      const { next } = page.value;
      if (next !== undefined && next === after) return Result.err(noAdvance());
      after = next;
    } while (after !== undefined);
    return Result.ok(toList(collection, objects));
  }

  override async create<T>(
    collection: Collection<T>,
    name: string,
    value: T,
    options: CallOptions = {},
  ): PlatformResult<VersionedObject<T>> {
    const written = toStored(collection, value);
    const request = this.#dialect.create(collection.name, name, written);
    return this.#callObject(collection, { kind: 'create', ...request }, options, (object) => {
      return object.name === name;
    });
  }

  override async update<T>(
    collection: Collection<T>,
    name: string,
    version: string,
    value: T,
    options: CallOptions = {},
  ): PlatformResult<VersionedObject<T>> {
    const written = toStored(collection, value);
    const request = this.#dialect.update(collection.name, name, version, written);
    return this.#callObject(collection, { kind: 'update', ...request }, options, (object) => {
      return object.name === name && isWritten(object, version, written);
    });
  }

  override async remove(
    collection: Collection<unknown>,
    name: string,
    version: string,
    options: CallOptions = {},
  ): PlatformResult<'removed'> {
    const request = this.#dialect.remove(collection.name, name, version);
    const answer = await this.#call(
      { kind: 'remove', collection: collection.name, ...request },
      options,
    );
    return answer.map(() => 'removed' as const);
  }

  override watch<T>(collection: Collection<T>, options: WatchOptions<T>): Subscription {
    const watch = new ObjectWatch(collection, options, {
      list: () => this.list(collection),
      dialect: this.#dialect,
      url: this.#options.url,
      agent: this.#watchAgent,
      buffers: this.#buffers,
      idleMs: options.idleMs ?? this.#options.watchIdleMs ?? defaultWatchIdleMs,
      relay: this.#options.relay,
      random: this.#options.random ?? Math.random,
      isUnreachable: () => this.#probe.isUnreachable,
      onOpen: () => {
        this.countSent('watch', collection.name);
      },
      onAnswer: (by) => {
        this.#recordAnswer(by as ObjectWatch<unknown>);
      },
      onBreak: (end) => {
        this.countFailed('watch');
        if (OUTAGE_REASONS.has(end)) this.#startProbing();
      },
      onFailure: this.#onFailure,
    });
    const known = watch as ObjectWatch<unknown>;
    this.#watches.add(known);
    return {
      stop: () => {
        watch.stop();
        this.#watches.delete(known);
        if (this.#watches.size === 0) this.#probe.stop();
      },
    };
  }

  override async listInstances(
    service: string,
    options: CallOptions = {},
  ): PlatformResult<InstanceRecord[]> {
    const path = `/instances?service=${encodeURIComponent(service)}`;
    const answer = await this.#callJson(
      { kind: 'instances', method: 'GET', path },
      wireInstanceListSchema,
      options,
    );
    return answer.map(({ items }) => items.flatMap((item) => this.#parseInstance(item)));
  }

  /** Returns an array that is empty for an entry that cannot be used, so that the others stay usable. */
  #parseInstance(item: unknown): InstanceRecord[] {
    const parsed = wireInstanceSchema.safeParse(item);
    if (parsed.success) return [parsed.data];
    this.#options.onInvalidInstance?.(item);
    return [];
  }

  override close(): void {
    for (const watch of this.#watches) watch.stop();
    this.#watches.clear();
    this.#probe.stop();
    this.#agent.destroy();
    this.#watchAgent.destroy();
    this.#probeAgent.destroy();
  }

  /** @param isOwn whether the object of a response can be that of this call. */
  async #callObject<T>(
    collection: Collection<T>,
    request: Request,
    options: CallOptions,
    isOwn: (object: WireObject) => boolean,
  ): PlatformResult<VersionedObject<T>> {
    const answer = await this.#call({ ...request, collection: collection.name }, options);
    return answer
      .andThen((reply) => this.#dialect.parseObject(reply))
      .andThen((object) => {
        return isOwn(object) ? Result.ok(object) : Result.err(foreignAnswer(request.kind, object));
      })
      .andThen((object) => checkObject(collection, object));
  }

  async #callJson<T>(
    request: Request,
    schema: ZodType<T>,
    options: CallOptions,
  ): PlatformResult<T> {
    const answer = await this.#call(request, options);
    return answer.andThen(({ body }) => parseJson(body, schema));
  }

  async #call(request: Request, options: CallOptions): PlatformResult<HttpAnswer> {
    const { kind, path, collection, ...rest } = request;
    const { state, admitted } = admitCall(this.#circuit, this.#clock.now());
    this.#circuit = state;
    if (!admitted) {
      return Result.err(
        new PlatformError('unreachable', 'the circuit breaker is open; call not sent'),
      );
    }
    this.countSent(kind, collection);
    const answer = await exchange({
      ...rest,
      url: new URL(path, this.#options.url),
      timeoutMs: options.timeoutMs ?? this.#options.timeoutMs ?? defaultTimeoutMs,
      maxAnswerBytes,
      agent: this.#agent,
      buffers: this.#buffers,
      signal: options.signal,
    });
    const result: Result<HttpAnswer, PlatformError> = answer
      .mapErr((fault) => faultToError(kind, fault))
      .andThen((reply) =>
        reply.status < 300 ? Result.ok(reply) : Result.err(this.#dialect.toError(kind, reply)),
      );
    this.#recordResult(kind, result, options.signal);
    return result;
  }

  /** Starts probing if there are watches; without a watch, the next call detects the recovery. */
  #startProbing(): void {
    if (this.#watches.size > 0) this.#probe.recordFailure();
  }

  /**
   * Records an answer of the store. After an outage it closes the circuit and wakes the watches.
   *
   * @param by the watch that received the answer; undefined for other calls.
   */
  #recordAnswer(by?: ObjectWatch<unknown>): void {
    if (!this.#probe.recordAnswer()) return;
    this.#circuit = createCircuit();
    for (const watch of this.#watches) if (watch !== by) watch.wake();
  }

  async #sendProbe(): Promise<void> {
    const { path, ...request } = this.#dialect.probe();
    this.countSent('get');
    const answer = await exchange({
      ...request,
      url: new URL(path, this.#options.url),
      timeoutMs: PROBE_TIMEOUT_MS,
      maxAnswerBytes,
      agent: this.#probeAgent,
      buffers: this.#buffers,
    });
    if (answer.isOk && showsServing(answer.value)) this.#recordAnswer();
    else this.countFailed('get');
  }

  #recordResult(
    kind: CallKind,
    result: Result<HttpAnswer, PlatformError>,
    signal: AbortSignal | undefined,
  ): void {
    if (result.isErr) this.countFailed(kind);
    const failed = result.isErr && result.error.code === 'unreachable';
    // a call that its caller aborted does not show whether the platform is reachable. The single
    // call of a half-open circuit counts nevertheless: without an outcome, the circuit would never
    // admit a call again.
    if (failed && signal?.aborted && this.#circuit.phase !== 'half-open') return;
    if (failed) this.#startProbing();
    else if (result.isOk || result.error.code !== 'throttled') this.#recordAnswer();
    this.#circuit = recordOutcome(
      this.#circuit,
      failed ? 'failed' : 'answered',
      this.#clock.now(),
      this.#options.circuit ?? defaultCircuitOptions,
    );
  }
}

/** Whether an object can be what a conditional update left; one that changes nothing keeps the version. */
function isWritten(object: WireObject, condition: string, value: unknown): boolean {
  if (isNewer(object.version, condition)) return true;
  const written: unknown = JSON.parse(JSON.stringify(value));
  return object.version === condition && isDeepStrictEqual(object.value, written);
}

function noAdvance(): PlatformError {
  return new PlatformError('invalid', 'a page of the list does not go beyond the page before it');
}

/** Whether an answer shows that the store serves calls. "Not found" is such an answer. */
function showsServing({ status }: HttpAnswer): boolean {
  return status < 300 || status === 404;
}

function toList<T>(collection: Collection<T>, page: ListPage): ObjectList<T> {
  const list: ObjectList<T> = { version: page.version, items: [], invalid: [] };
  for (const object of page.items) {
    const checked = checkObject(collection, object);
    if (checked.isOk) list.items.push(checked.value);
    else list.invalid.push(object.name);
  }
  return list;
}
