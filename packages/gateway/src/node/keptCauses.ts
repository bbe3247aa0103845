/**
 * Keeps in the store which requests end their servers. Instances tell each other sooner; this is for those that
 * start when all who knew are gone, and for those that reach the store and not their peers.
 */

import type { Fingerprint, ProvenCause } from '@flamingocourse/core';
import type { Collection, PlatformErrorCode, VersionedObject } from '@flamingocourse/store';
import type { GatewayContext } from '../types/context.js';
import { setTimeout as delay } from 'node:timers/promises';
import { Service } from '@flamingocourse/kernel';
import { provenCauseSchema } from '../utils/causeSchema.js';
import { StoreContact } from './storeContact.js';

/** One object for each cause, named by its fingerprint. */
const causeCollection: Collection<ProvenCause> = {
  name: 'fleet-causes',
  schema: provenCauseSchema,
};

/** Causes that are kept in the store; beyond it the oldest go. */
const MAX_KEPT = 64;
/** Milliseconds between tries while the store is away. */
const AWAY_RETRY_MS = 1_000;
/** Errors after which the same call may succeed. */
const passingCodes: readonly PlatformErrorCode[] = ['unreachable', 'throttled'];
/** Least milliseconds between two looks. */
const LOOK_MS = 1_000;

/**
 * Registered as `causes`.
 *
 * @example
 * causes.onCause((cause) => suspect(cause));
 * causes.keep({ fingerprint, servers });
 */
export class KeptCauses extends Service {
  override readonly name = 'causes';
  readonly #context: GatewayContext;
  readonly #contact: StoreContact;
  readonly #listeners: ((cause: ProvenCause) => void)[] = [];
  /** Version of each cause's object, where it is known. */
  readonly #versions = new Map<Fingerprint, string>();
  readonly #writing = new Set<Fingerprint>();
  #lookedAt = -Infinity;
  #stopped = false;

  constructor(context: GatewayContext) {
    super();
    this.#context = context;
    this.#contact = new StoreContact(context, this.name);
  }

  /** Calls back with each cause that is found in the store. */
  onCause(listener: (cause: ProvenCause) => void): void {
    this.#listeners.push(listener);
  }

  override start(): void {
    void this.#lookUntilRead();
  }

  override stop(): void {
    this.#stopped = true;
  }

  /** Writes a cause down, as soon as the store takes it. */
  keep(cause: ProvenCause): void {
    const { fingerprint } = cause;
    if (this.#versions.has(fingerprint) || this.#writing.has(fingerprint)) return;
    this.#writing.add(fingerprint);
    void this.#create(cause).finally(() => this.#writing.delete(fingerprint));
  }

  /** Takes a request out that is no cause after all. */
  forget(fingerprint: Fingerprint): void {
    const version = this.#versions.get(fingerprint);
    if (version === undefined) return;
    this.#versions.delete(fingerprint);
    void this.#remove(nameOf(fingerprint), version);
  }

  /** Looks what others have written, if that was not done just now. */
  look(): void {
    if (this.#now() - this.#lookedAt >= LOOK_MS) void this.#read();
  }

  async #lookUntilRead(): Promise<void> {
    while (!this.#stopped && (await this.#read()) === 'away') await delay(AWAY_RETRY_MS);
  }

  async #read(): Promise<'read' | 'away'> {
    this.#lookedAt = this.#now();
    const list = await this.#context.store.list(causeCollection);
    if (list.isErr) {
      this.#contact.lose(list.error.message);
      return 'away';
    }
    this.#contact.heard();
    const { items } = list.value;
    for (const { value, version } of items) {
      this.#versions.set(value.fingerprint, version);
      for (const listener of this.#listeners) listener(value);
    }
    await this.#removeOldest(items);
    return 'read';
  }

  async #create(cause: ProvenCause): Promise<void> {
    const { store } = this.#context;
    while (!this.#stopped) {
      const created = await store.create(causeCollection, nameOf(cause.fingerprint), cause);
      if (created.isOk) {
        this.#versions.set(cause.fingerprint, created.value.version);
        return;
      }
      if (created.error.code === 'exists') return;
      this.#contact.lose(created.error.message, { fingerprint: cause.fingerprint });
      if (!passingCodes.includes(created.error.code)) return;
      await delay(AWAY_RETRY_MS);
    }
  }

  /** Any instance may do it, also several at once: an object is removed in the version that was seen. */
  async #removeOldest(items: readonly VersionedObject<ProvenCause>[]): Promise<void> {
    const byAge = items.toSorted((a, b) => Number(a.version) - Number(b.version));
    for (const { name, version } of byAge.slice(0, Math.max(0, items.length - MAX_KEPT))) {
      await this.#remove(name, version);
    }
  }

  async #remove(name: string, version: string): Promise<void> {
    const removed = await this.#context.store.remove(causeCollection, name, version);
    if (removed.isOk || ['not-found', 'conflict'].includes(removed.error.code)) return;
    // the next one that finishes, or reads, tries again.
    this.#contact.lose(removed.error.message, { cause: name });
  }

  #now(): number {
    return this.#context.clock.now();
  }
}

/** A fingerprint may hold characters that have a meaning in a path. */
function nameOf(fingerprint: Fingerprint): string {
  return Buffer.from(fingerprint).toString('hex');
}
