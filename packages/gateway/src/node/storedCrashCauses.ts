/**
 * Stores which requests crash backend servers. Gossip between instances is faster. The store is for instances
 * that start after all instances that knew of a request have ended, and for instances that reach the store
 * but not their peers.
 */

import type { Fingerprint, ProvenCrashCause } from '@flamingocourse/core';
import type { Kernel } from '@flamingocourse/kernel';
import type { Collection, PlatformErrorCode, VersionedObject } from '@flamingocourse/store';
import type { GatewayContext } from '../types/context.js';
import { setTimeout as delay } from 'node:timers/promises';
import { Listeners, Service } from '@flamingocourse/kernel';
import { crashCauseSchema } from '../utils/crashCauseSchema.js';
import { StoreReachability } from './storeReachability.js';

/** One object per cause, named by its fingerprint. */
const causeCollection: Collection<ProvenCrashCause> = {
  name: 'fleet-causes',
  schema: crashCauseSchema,
};

/** Maximum number of stored causes. The oldest are removed beyond it. */
const MAX_STORED_CAUSES = 64;
/** Milliseconds between attempts while the store is unreachable. */
const UNREACHABLE_RETRY_MS = 1_000;
/** Errors after which a retry may succeed. */
const retryableCodes: readonly PlatformErrorCode[] = ['unreachable', 'throttled'];
/** Minimum milliseconds between two reads by `refresh`. */
const MIN_REFRESH_MS = 1_000;

/**
 * Service that stores causes. Registered as `causes`.
 *
 * @example
 * causes.onCause((cause) => suspect(cause));
 * causes.save({ fingerprint, servers });
 */
export class StoredCrashCauses extends Service {
  override readonly name = 'causes';
  readonly #context: GatewayContext;
  readonly #reachability: StoreReachability;
  readonly #listeners = new Listeners<ProvenCrashCause>(this.name);
  /** Known versions of the stored objects. */
  readonly #versions = new Map<Fingerprint, string>();
  readonly #creating = new Set<Fingerprint>();
  #readAt = -Infinity;
  #stopped = false;

  constructor(context: GatewayContext) {
    super();
    this.#context = context;
    this.#reachability = new StoreReachability(context, this.name);
  }

  /** Calls the listener with each cause that is read from the store. */
  onCause(listener: (cause: ProvenCrashCause) => void): void {
    this.#listeners.add(listener);
  }

  override start(kernel: Kernel): void {
    this.#listeners.reportTo(kernel);
    this.#context.background.run(this.name, () => this.#readWithRetries());
  }

  override stop(): void {
    this.#stopped = true;
  }

  /** Stores a cause; retries while the store is unreachable or throttles. */
  save(cause: ProvenCrashCause): void {
    const { fingerprint } = cause;
    if (this.#versions.has(fingerprint) || this.#creating.has(fingerprint)) return;
    this.#creating.add(fingerprint);
    this.#context.background.run(this.name, () => {
      return this.#create(cause).finally(() => this.#creating.delete(fingerprint));
    });
  }

  /** Removes the stored cause of a request that was shown not to be one. */
  remove(fingerprint: Fingerprint): void {
    const version = this.#versions.get(fingerprint);
    if (version === undefined) return;
    this.#versions.delete(fingerprint);
    this.#context.background.run(this.name, () => {
      return this.#removeObject(nameOf(fingerprint), version);
    });
  }

  /** Reads the causes that others have stored, unless the last read is recent. */
  refresh(): void {
    if (this.#now() - this.#readAt < MIN_REFRESH_MS) return;
    this.#context.background.run(this.name, () => this.#read());
  }

  async #readWithRetries(): Promise<void> {
    while (!this.#stopped && (await this.#read()) === 'away') await delay(UNREACHABLE_RETRY_MS);
  }

  async #read(): Promise<'read' | 'away'> {
    this.#readAt = this.#now();
    const list = await this.#context.store.list(causeCollection);
    if (list.isErr) {
      this.#reachability.recordFailure(list.error.message);
      return 'away';
    }
    this.#reachability.recordAnswer();
    const { items } = list.value;
    for (const { value, version } of items) {
      this.#versions.set(value.fingerprint, version);
      this.#listeners.notify(value);
    }
    await this.#removeOldest(items);
    return 'read';
  }

  async #create(cause: ProvenCrashCause): Promise<void> {
    const { store } = this.#context;
    while (!this.#stopped) {
      const created = await store.create(causeCollection, nameOf(cause.fingerprint), cause);
      if (created.isOk) {
        this.#versions.set(cause.fingerprint, created.value.version);
        return;
      }
      if (created.error.code === 'exists') return;
      this.#reachability.recordFailure(created.error.message, { fingerprint: cause.fingerprint });
      if (!retryableCodes.includes(created.error.code)) return;
      await delay(UNREACHABLE_RETRY_MS);
    }
  }

  /**
   * Removes the oldest causes above the maximum. Any instance may do this, also several at once: a removal
   * names the version that was read, so it cannot remove a newer object.
   */
  async #removeOldest(items: readonly VersionedObject<ProvenCrashCause>[]): Promise<void> {
    const byAge = items.toSorted((a, b) => Number(a.version) - Number(b.version));
    for (const { name, version } of byAge.slice(0, Math.max(0, items.length - MAX_STORED_CAUSES))) {
      await this.#removeObject(name, version);
    }
  }

  async #removeObject(name: string, version: string): Promise<void> {
    const removed = await this.#context.store.remove(causeCollection, name, version);
    if (removed.isOk || ['not-found', 'conflict'].includes(removed.error.code)) return;
    // the next removal or read tries again.
    this.#reachability.recordFailure(removed.error.message, { cause: name });
  }

  #now(): number {
    return this.#context.clock.now();
  }
}

/** Hex-encodes a fingerprint, because it may contain characters with a meaning in a path. */
function nameOf(fingerprint: Fingerprint): string {
  return Buffer.from(fingerprint).toString('hex');
}
