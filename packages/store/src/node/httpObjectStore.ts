/** Object store over HTTP: the client that routers and the operators' command use. */

import type { InstanceRecord } from '@flamingocourse/core';
import type { Clock, HttpAnswer, HttpCall } from '@flamingocourse/kernel';
import type { ZodType } from 'zod';
import type { CircuitOptions } from '../runtime/circuit.js';
import type { PlatformResult } from '../runtime/objectStore.js';
import type {
  CallKind,
  CallOptions,
  Collection,
  CollectionName,
  ObjectList,
  Subscription,
  VersionedObject,
  WatchOptions,
} from '../types/objects.js';
import type { WireObject } from './wireFormat.js';
import { Agent } from 'node:http';
import { exchange, SystemClock } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import {
  admitCall,
  createCircuit,
  defaultCircuitOptions,
  recordOutcome,
} from '../runtime/circuit.js';
import { ObjectStore } from '../runtime/objectStore.js';
import { PlatformError } from '../utils/platformError.js';
import { ObjectWatch } from './objectWatch.js';
import {
  checkObject,
  faultToError,
  parseJson,
  statusToError,
  wireInstanceListSchema,
  wireInstanceSchema,
  wireListSchema,
  wireObjectSchema,
} from './wireFormat.js';

const apiPath = '/apis/flamingocourse.dev/v1';
const defaultTimeoutMs = 1_500;
/** A list answers with whole values, so it may be longer than one value's megabyte. */
const maxAnswerBytes = 64 * 1024 * 1024;
const maxSockets = 16;
/** Above the platform's time between bookmarks; with a list after it, a change is known within 3 s. */
const defaultWatchIdleMs = 2_000;

/** Options of the client. */
export interface HttpObjectStoreOptions {
  /** `http://host:port` of the platform. */
  url: string;
  /** Milliseconds for a whole call. @default 1500 */
  timeoutMs?: number;
  circuit?: CircuitOptions;
  /** Milliseconds without a line after which a watch is opened anew. @default 2000 */
  watchIdleMs?: number;
  clock?: Clock;
  /** Numbers from 0 to 1 for the jitter of back-offs. @default Math.random */
  random?: () => number;
  /** Receives failures of background work. */
  onFailure?: (err: unknown) => void;
}

type Request = Pick<HttpCall, 'method' | 'body'> & { kind: CallKind; path: string };

/**
 * Client of the Object API. While the platform is out its circuit refuses calls at once, with the
 * error `unreachable` and the effect `none`.
 *
 * @example
 * const store = new HttpObjectStore({ url: 'http://127.0.0.1:7000' });
 * const read = await store.get(ledgers, '0');
 */
export class HttpObjectStore extends ObjectStore {
  readonly #options: HttpObjectStoreOptions;
  readonly #clock: Clock;
  readonly #agent = new Agent({ keepAlive: true, maxSockets });
  /** Watches hold their connection, so they must not take one from the calls. */
  readonly #watchAgent = new Agent();
  readonly #watches = new Set<Subscription>();
  #circuit = createCircuit();

  constructor(options: HttpObjectStoreOptions) {
    super();
    this.#options = options;
    this.#clock = options.clock ?? new SystemClock();
  }

  override get reachable(): boolean {
    return this.#circuit.phase === 'closed';
  }

  override async get<T>(
    collection: Collection<T>,
    name: string,
    options: CallOptions = {},
  ): PlatformResult<VersionedObject<T>> {
    const path = objectPath(collection.name, name);
    return this.#callObject(collection, { kind: 'get', method: 'GET', path }, options);
  }

  override async list<T>(
    collection: Collection<T>,
    options: CallOptions = {},
  ): PlatformResult<ObjectList<T>> {
    const path = collectionPath(collection.name);
    const answer = await this.#callJson(
      { kind: 'list', method: 'GET', path },
      wireListSchema,
      options,
    );
    return answer.map((wire) => toList(collection, wire.metadata.resourceVersion, wire.items));
  }

  override async create<T>(
    collection: Collection<T>,
    name: string,
    value: T,
    options: CallOptions = {},
  ): PlatformResult<VersionedObject<T>> {
    const path = collectionPath(collection.name);
    const body = JSON.stringify({ metadata: { name }, value });
    return this.#callObject(collection, { kind: 'create', method: 'POST', path, body }, options);
  }

  override async update<T>(
    collection: Collection<T>,
    name: string,
    version: string,
    value: T,
    options: CallOptions = {},
  ): PlatformResult<VersionedObject<T>> {
    const path = objectPath(collection.name, name);
    const body = JSON.stringify({ metadata: { name, resourceVersion: version }, value });
    return this.#callObject(collection, { kind: 'update', method: 'PUT', path, body }, options);
  }

  override async remove(
    collection: Collection<unknown>,
    name: string,
    version: string,
    options: CallOptions = {},
  ): PlatformResult<'removed'> {
    const path = `${objectPath(collection.name, name)}?resourceVersion=${encodeURIComponent(version)}`;
    const answer = await this.#call({ kind: 'remove', method: 'DELETE', path }, options);
    return answer.map(() => 'removed' as const);
  }

  override watch<T>(collection: Collection<T>, options: WatchOptions<T>): Subscription {
    const watch = new ObjectWatch(collection, options, {
      list: () => this.list(collection),
      url: new URL(collectionPath(collection.name), this.#options.url),
      agent: this.#watchAgent,
      idleMs: this.#options.watchIdleMs ?? defaultWatchIdleMs,
      random: this.#options.random ?? Math.random,
      onOpen: () => {
        this.countSent('watch');
      },
      onBreak: () => {
        this.countFailed('watch');
      },
      onFailure: this.#options.onFailure ?? (() => undefined),
    });
    this.#watches.add(watch);
    return {
      stop: () => {
        watch.stop();
        this.#watches.delete(watch);
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
    return answer.map(({ items }) => items.flatMap(parseInstance));
  }

  override close(): void {
    for (const watch of this.#watches) watch.stop();
    this.#watches.clear();
    this.#agent.destroy();
    this.#watchAgent.destroy();
  }

  async #callObject<T>(
    collection: Collection<T>,
    request: Request,
    options: CallOptions,
  ): PlatformResult<VersionedObject<T>> {
    const wire = await this.#callJson(request, wireObjectSchema, options);
    return wire.andThen((object) => checkObject(collection, object));
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
    const { kind, path, ...rest } = request;
    const { state, admitted } = admitCall(this.#circuit, this.#clock.now());
    this.#circuit = state;
    if (!admitted) {
      return Result.err(new PlatformError('unreachable', 'the platform is out; call not sent'));
    }
    this.countSent(kind);
    const answer = await exchange({
      ...rest,
      url: new URL(path, this.#options.url),
      timeoutMs: options.timeoutMs ?? this.#options.timeoutMs ?? defaultTimeoutMs,
      maxAnswerBytes,
      agent: this.#agent,
      signal: options.signal,
    });
    const result: Result<HttpAnswer, PlatformError> = answer
      .mapErr((fault) => faultToError(kind, fault))
      .andThen((reply) =>
        reply.status < 300 ? Result.ok(reply) : Result.err(statusToError(kind, reply)),
      );
    this.#record(kind, result, options.signal);
    return result;
  }

  #record(
    kind: CallKind,
    result: Result<HttpAnswer, PlatformError>,
    signal: AbortSignal | undefined,
  ): void {
    if (result.isErr) this.countFailed(kind);
    const failed = result.isErr && result.error.code === 'unreachable';
    // a call that its caller gave up says nothing about the platform, except as the one probe:
    // left without an outcome, a half-open circuit would admit no call ever again.
    if (failed && signal?.aborted && this.#circuit.phase !== 'half-open') return;
    this.#circuit = recordOutcome(
      this.#circuit,
      failed ? 'failed' : 'answered',
      this.#clock.now(),
      this.#options.circuit ?? defaultCircuitOptions,
    );
  }
}

function collectionPath(collection: CollectionName): string {
  return `${apiPath}/${collection}`;
}

function objectPath(collection: CollectionName, name: string): string {
  return `${collectionPath(collection)}/${encodeURIComponent(name)}`;
}

function toList<T>(collection: Collection<T>, version: string, wire: WireObject[]): ObjectList<T> {
  const list: ObjectList<T> = { version, items: [], invalid: [] };
  for (const object of wire) {
    const checked = checkObject(collection, object);
    if (checked.isOk) list.items.push(checked.value);
    else list.invalid.push(object.metadata.name);
  }
  return list;
}

/** One malformed entry must not hide the other instances. */
function parseInstance(item: unknown): InstanceRecord[] {
  const parsed = wireInstanceSchema.safeParse(item);
  return parsed.success ? [parsed.data] : [];
}
