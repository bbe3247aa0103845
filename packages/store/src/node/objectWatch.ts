/** A watch that goes on until it is stopped: resumes, backs off, and lists again when too old. */

import type { Steps } from '@flamingocourse/kernel';
import type { Agent } from 'node:http';
import type { PlatformResult } from '../runtime/objectStore.js';
import type { Collection, ObjectList, WatchOptions } from '../types/objects.js';
import type { StoreDialect, WatchEnd, WireChange } from '../runtime/storeDialect.js';
import { awaitPromise, Channel, startProcess, takeWithin } from '@flamingocourse/kernel';
import { backOffMs } from '../runtime/backOff.js';
import { latestChanges } from '../runtime/latestChanges.js';
import { checkObject } from './wireFormat.js';

const backOff = { firstMs: 100, maxMs: 1_500 };

/** What a watch needs from its store. */
export interface WatchPorts<T> {
  list: () => PlatformResult<ObjectList<T>>;
  dialect: StoreDialect;
  /** Base URL of the store. */
  url: string;
  agent: Agent;
  idleMs: number;
  random: () => number;
  /** Whether probes look for the store's return; a call would only hang or cost. */
  isAway: () => boolean;
  onOpen: () => void;
  /** The store told this watch something. */
  onHeard: (watch: ObjectWatch<T>) => void;
  onBreak: (end: WatchEnd) => void;
  onFailure: (err: unknown) => void;
}

/** One running watch. */
export class ObjectWatch<T> {
  readonly #abort = new AbortController();
  /** Ends a pause; closed when the watch is stopped. */
  readonly #wakeUp = new Channel<true>(1);
  #isBackingOff = false;
  /** The waiting call, while there is one. */
  #call: AbortController | undefined;
  #version: string | undefined;
  #failures = 0;
  /** Whether changes came since the last pause. */
  #changed = false;
  /** Milliseconds that the watch has paused since the last word, for changes to gather. */
  #gatheredMs = 0;

  constructor(
    readonly collection: Collection<T>,
    readonly options: WatchOptions<T>,
    readonly ports: WatchPorts<T>,
  ) {
    this.#version = options.from;
    void startProcess(() => this.#run(), ports.onFailure);
  }

  stop(): void {
    this.#abort.abort();
    this.#wakeUp.close();
  }

  /**
   * The store is back from an outage: ends a back-off, or opens a waiting call anew. One that was sent
   * while the store was away would hang up to its own time limit.
   */
  wake(): void {
    this.#failures = 0;
    if (this.#isBackingOff) this.#wakeUp.offer(true);
    else this.#call?.abort();
  }

  *#run(): Steps<void> {
    while (!this.#abort.signal.aborted) {
      if (this.ports.isAway()) this.#fail('the store is away');
      else {
        if (this.#version === undefined) yield* awaitPromise(this.#list());
        if (this.#version !== undefined) yield* awaitPromise(this.#follow());
      }
      const pauseMs = this.#pauseMs();
      this.#isBackingOff = this.#failures > 0;
      if (pauseMs > 0) yield* takeWithin(this.#wakeUp, pauseMs);
      this.#isBackingOff = false;
    }
  }

  #pauseMs(): number {
    const changed = this.#changed;
    this.#changed = false;
    this.#gatheredMs = 0;
    if (this.#failures > 0) return backOffMs(this.#failures - 1, backOff, this.ports.random);
    if (changed) this.#gatheredMs = this.options.gatherMs ?? 0;
    return this.#gatheredMs;
  }

  async #list(): Promise<void> {
    const list = await this.ports.list();
    if (this.#abort.signal.aborted) return;
    if (list.isErr) {
      this.#fail(list.error.message);
      return;
    }
    this.#version = list.value.version;
    this.#failures = 0;
    this.options.onEvent({ type: 'listed', list: list.value });
    this.options.onHeard?.();
  }

  async #follow(): Promise<void> {
    this.ports.onOpen();
    const { dialect, url, agent, idleMs } = this.ports;
    this.#call = new AbortController();
    const end = await dialect.follow({
      url,
      collection: this.collection.name,
      version: this.#version ?? '0',
      agent,
      signal: AbortSignal.any([this.#abort.signal, this.#call.signal]),
      // counted from the last word: a pause and a whole wait after it would look like an outage.
      idleMs: idleMs - this.#gatheredMs,
      onChanges: (changes, version) => {
        this.#takeChanges(changes, version);
      },
    });
    this.#call = undefined;
    this.#settle(end);
  }

  #settle(end: WatchEnd): void {
    if (end === 'stopped' || end === 'answered') return;
    // too old: the changes in between are gone from the platform's history. Silent: a watch that is
    // open and mute, also after it is opened anew, would hide every change. A list tells them all.
    if (end === 'too-old' || end === 'silent') this.#version = undefined;
    this.ports.onBreak(end);
    this.#fail(end);
  }

  #fail(reason: string): void {
    this.#failures += 1;
    this.options.onBreak?.(reason);
  }

  #takeChanges(changes: WireChange[], version: string): void {
    if (this.#abort.signal.aborted) return;
    this.ports.onHeard(this);
    this.#failures = 0;
    this.#version = version;
    this.#changed ||= changes.length > 0;
    for (const change of latestChanges(changes)) {
      if (change.type === 'removed') {
        this.options.onEvent({ type: 'removed', name: change.name, version });
        continue;
      }
      const checked = checkObject(this.collection, change.object);
      if (checked.isOk) this.options.onEvent({ type: 'changed', object: checked.value });
      else this.options.onEvent({ type: 'invalid', name: change.object.name, version });
    }
    this.options.onHeard?.();
  }
}
