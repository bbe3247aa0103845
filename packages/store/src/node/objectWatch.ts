/**
 * A watch that runs until it is stopped: resumes, backs off, and lists again if its version is too
 * old.
 */

import type { BodyBuffers, Steps } from '@flamingocourse/kernel';
import type { Agent } from 'node:http';
import type { ChangeRelay } from '../runtime/changeRelay.js';
import type { PlatformResult } from '../runtime/objectStore.js';
import type { Collection, ObjectList, WatchOptions } from '../types/objects.js';
import type { StoreDialect, WatchEndReason, WireChange } from '../runtime/storeDialect.js';
import { awaitPromise, Channel, startLoop, takeWithin } from '@flamingocourse/kernel';
import { backOffMs } from '../runtime/backOff.js';
import { latestChanges } from '../runtime/latestChanges.js';
import { checkObject } from './wireFormat.js';

const backOff = { firstMs: 100, maxMs: 1_500 };

/** Dependencies of a watch. */
export interface WatchPorts<T> {
  list: () => PlatformResult<ObjectList<T>>;
  dialect: StoreDialect;
  /** Base URL of the store. */
  url: string;
  agent: Agent;
  buffers: BodyBuffers;
  idleMs: number;
  /** Follows the store through peers where it can. */
  relay?: ChangeRelay | undefined;
  random: () => number;
  /**
   * Whether the store is unreachable. Then only probes are sent: other calls would hang or cost.
   */
  isUnreachable: () => boolean;
  onOpen: () => void;
  /** Called when the store sent something to this watch. */
  onAnswer: (watch: ObjectWatch<T>) => void;
  onBreak: (end: WatchEndReason) => void;
  onFailure: (err: unknown) => void;
}

/** One running watch. */
export class ObjectWatch<T> {
  readonly #abort = new AbortController();
  /** Ends the pause between two calls; closed when the watch is stopped. */
  readonly #wakeSignal = new Channel<true>(1);
  #isBackingOff = false;
  /** The call in flight, if any. */
  #call: AbortController | undefined;
  #version: string | undefined;
  /** Whether only a list of the store shows what the watch may have missed. */
  #needsList: boolean;
  /** Aborted once a receiver threw: changes may be missing until the next list. */
  #receiving = new AbortController();
  #failures = 0;
  /** Whether changes arrived since the last pause. */
  #hasChanged = false;
  /** Milliseconds that the watch paused after the last answer, to receive changes in batches. */
  #batchPauseMs = 0;

  constructor(
    readonly collection: Collection<T>,
    readonly options: WatchOptions<T>,
    readonly ports: WatchPorts<T>,
  ) {
    this.#version = options.from;
    this.#needsList = options.from === undefined;
    startLoop(() => this.#run(), ports.onFailure);
  }

  stop(): void {
    this.#abort.abort();
    this.#wakeSignal.close();
  }

  /**
   * Called after an outage of the store. Ends a back-off, or aborts the call in flight so that it
   * is sent again: a call sent during the outage would hang until its timeout.
   */
  wake(): void {
    this.#failures = 0;
    if (this.#isBackingOff) this.#wakeSignal.offer(true);
    else this.#call?.abort();
  }

  *#run(): Steps<void> {
    while (!this.#abort.signal.aborted) {
      yield* this.#step();
      const pauseMs = this.#pauseMs();
      this.#isBackingOff = this.#failures > 0;
      if (pauseMs > 0) yield* takeWithin(this.#wakeSignal, pauseMs);
      this.#isBackingOff = false;
    }
  }

  /** One round of following. What a receiver of changes throws must not end the watch. */
  *#step(): Steps<void> {
    try {
      yield* awaitPromise(this.#followPeers());
      yield* this.#askStore();
    } catch (err) {
      this.#handleThrown(err);
    }
  }

  *#askStore(): Steps<void> {
    if (this.#abort.signal.aborted) return;
    if (this.ports.isUnreachable()) {
      this.#recordFailure('the store is unreachable');
      return;
    }
    if (this.#needsList || this.#hasThrown) yield* awaitPromise(this.#list());
    if (!this.#needsList && !this.#hasThrown) yield* awaitPromise(this.#follow());
  }

  #pauseMs(): number {
    const changed = this.#hasChanged;
    this.#hasChanged = false;
    this.#batchPauseMs = 0;
    if (this.#failures > 0) return backOffMs(this.#failures - 1, backOff, this.ports.random);
    if (changed) this.#batchPauseMs = this.options.batchMs ?? 0;
    return this.#batchPauseMs;
  }

  async #list(): Promise<void> {
    const list = await this.ports.list();
    if (this.#abort.signal.aborted) return;
    if (list.isErr) {
      this.#recordFailure(list.error.message);
      return;
    }
    this.#version = list.value.version;
    this.#needsList = false;
    if (this.#hasThrown) this.#receiving = new AbortController();
    this.#failures = 0;
    this.ports.relay?.recordList(this.collection.name, list.value.version);
    this.options.onEvent({ type: 'listed', list: list.value });
    this.options.onUpToDate?.(0);
  }

  /** Follows the store through peers, as long as they hear from it. */
  async #followPeers(): Promise<void> {
    if (this.#version === undefined || this.#hasThrown) return;
    await this.ports.relay?.follow({
      collection: this.collection.name,
      version: this.#version,
      signal: AbortSignal.any([this.#abort.signal, this.#receiving.signal]),
      onChanges: (changes, version, ageMs) => {
        this.#attempt(() => {
          this.#deliverChanges(changes, version, ageMs);
        });
      },
    });
  }

  async #follow(): Promise<void> {
    this.ports.onOpen();
    const { dialect, url, agent, buffers, relay } = this.ports;
    const { name } = this.collection;
    const idleMs = relay?.idleMs(name, this.ports.idleMs) ?? this.ports.idleMs;
    this.#call = new AbortController();
    const end = await dialect.follow({
      url,
      collection: name,
      version: this.#version ?? '0',
      agent,
      buffers,
      signal: AbortSignal.any([this.#abort.signal, this.#receiving.signal, this.#call.signal]),
      // counted from the last answer: the pause plus the full idle time would look like an outage.
      idleMs: idleMs - this.#batchPauseMs,
      onChanges: (changes, version) => {
        this.#attempt(() => {
          this.#receiveChanges(changes, version);
        });
      },
    });
    this.#call = undefined;
    this.#handleEnd(end);
  }

  #handleEnd(end: WatchEndReason): void {
    if (end === 'stopped' || end === 'answered') return;
    // too-old: the platform's history no longer has the missed changes. silent: a platform that
    // keeps watches open, even new ones, and sends nothing would hide all changes. A list contains
    // them.
    if (end === 'too-old' || end === 'silent') this.#needsList = true;
    this.ports.onBreak(end);
    this.#recordFailure(end);
  }

  #recordFailure(reason: string): void {
    this.#failures += 1;
    this.ports.relay?.recordSilence(this.collection.name);
    this.options.onBreak?.(reason);
  }

  get #hasThrown(): boolean {
    return this.#receiving.signal.aborted;
  }

  #attempt(receive: () => void): void {
    if (this.#hasThrown) return;
    try {
      receive();
    } catch (err) {
      this.#handleThrown(err);
    }
  }

  /** Reports an error, and ends the call so that the collection is listed again. */
  #handleThrown(err: unknown): void {
    this.#receiving.abort();
    this.#recordFailure('failed');
    this.ports.onFailure(err);
  }

  /** Takes an answer of the store itself. */
  #receiveChanges(changes: WireChange[], version: string): void {
    if (this.#abort.signal.aborted) return;
    this.ports.onAnswer(this);
    this.#hasChanged ||= changes.length > 0;
    const { name } = this.collection;
    this.ports.relay?.recordChanges(name, this.#version ?? '0', version, changes);
    this.#deliverChanges(changes, version, 0);
  }

  #deliverChanges(changes: WireChange[], version: string, ageMs: number): void {
    if (this.#abort.signal.aborted) return;
    this.#failures = 0;
    this.#needsList = false;
    this.#version = version;
    for (const change of latestChanges(changes)) {
      if (change.type === 'removed') {
        this.options.onEvent({ type: 'removed', name: change.name, version });
        continue;
      }
      const checked = checkObject(this.collection, change.object);
      if (checked.isOk) this.options.onEvent({ type: 'changed', object: checked.value });
      else this.options.onEvent({ type: 'invalid', name: change.object.name, version });
    }
    this.options.onUpToDate?.(ageMs);
  }
}
