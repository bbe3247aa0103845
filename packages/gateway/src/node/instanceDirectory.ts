/** Directory of the fleet's instances: each registers itself in the store and reads the others. */

import type { FleetInstance, InstanceListRead } from '@flamingocourse/core';
import type { Collection, PlatformError as StoreError } from '@flamingocourse/store';
import type { GatewayContext } from '../types/context.js';
import type { Kernel } from '@flamingocourse/kernel';
import type { Result } from 'true-myth';
import type { StoredInstances } from '../utils/instanceSchemas.js';
import type { ChangeOutcome } from './storedObject.js';
import { setTimeout as delay } from 'node:timers/promises';
import { isDeepStrictEqual } from 'node:util';
import { Listeners, Service, loggedText } from '@flamingocourse/kernel';
import { readIntervalMs, entryOf } from '@flamingocourse/core';
import { isInstanceName, isMeshUrl, storedInstancesSchema } from '../utils/instanceSchemas.js';
import { StoredObject } from './storedObject.js';

/** One object per data centre, named by it. */
const instanceCollection: Collection<StoredInstances> = {
  name: 'fleet-instances',
  schema: storedInstancesSchema,
};

/**
 * Milliseconds over which instances that start together spread their writes, to avoid conflicts.
 */
const JOIN_SPREAD_MS = 400;
/**
 * Milliseconds after joining at which an instance reads again, because others may have started with
 * it.
 */
const SECOND_READ_MS = 600;
/** Number of reads after which instances that started at the same time are known. */
const READS_TO_SETTLE = 2;
/** Milliseconds between retries while the store is unreachable. */
const STORE_RETRY_MS = 500;
/**
 * Minimum milliseconds since the last read for an early read, requested because a peer does not
 * respond.
 */
const MIN_EARLY_READ_INTERVAL_MS = 1_000;

/**
 * Service that joins the fleet and tracks its instances. Registered as `instances`. A lost instance
 * stays listed until another instance removes it; code that needs a peer calls it, and tries the
 * next one if it does not respond.
 */
export class InstanceDirectory extends Service {
  override readonly name = 'instances';
  readonly #context: GatewayContext;
  readonly #ownObject: StoredObject<StoredInstances>;
  readonly #listeners = new Listeners(this.name);
  readonly #readListeners = new Listeners<InstanceListRead>(this.name);
  #instances: FleetInstance[] = [];
  #inDataCentre: FleetInstance[] = [];
  #timer: NodeJS.Timeout | undefined;
  #lastReadAt = -Infinity;
  #wasListed = false;
  /** Names of the entries that cannot be used, each logged once. */
  readonly #invalid = new Set<string>();
  #reads = 0;
  #joining: Promise<void> | undefined;
  #stopped = false;

  constructor(context: GatewayContext) {
    super();
    this.#context = context;
    const { store, settings } = context;
    const none = (): StoredInstances => ({ instances: {} });
    this.#ownObject = new StoredObject(store, instanceCollection, settings.dataCentre, none);
  }

  /** All instances as of the last read; empty before the first one. */
  get all(): readonly FleetInstance[] {
    return this.#instances;
  }

  /** Instances of the own data centre, this one included. */
  get inDataCentre(): readonly FleetInstance[] {
    return this.#inDataCentre;
  }

  /** Number of instances in the fleet; at least 1. */
  get count(): number {
    return Math.max(1, this.#instances.length);
  }

  /**
   * Whether the list is complete as far as this instance can tell. When a whole fleet starts for
   * the first time, the first read finds only the instances that joined earlier; an instance that
   * was listed before its start finds all.
   */
  get isSettled(): boolean {
    return this.#wasListed || this.#reads >= READS_TO_SETTLE;
  }

  /** Calls `listener` after each change, and once when the list is settled. */
  onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** Calls `listener` after each successful read, also if it finds no change. */
  onRead(listener: (read: InstanceListRead) => void): void {
    this.#readListeners.add(listener);
  }

  override start(kernel: Kernel): void {
    this.#listeners.reportTo(kernel);
    this.#readListeners.reportTo(kernel);
    this.#joining = this.#join().catch((err: unknown) => {
      kernel.reportFailure(err, this.name);
    });
  }

  /**
   * Removes this instance from the directory, so that others stop calling it. Running work
   * continues.
   */
  async leave(): Promise<void> {
    if (this.#stopped) return;
    this.#stopped = true;
    clearTimeout(this.#timer);
    await this.#joining;
    const left = await this.remove([this.#context.settings.instance]);
    if (left.isErr) this.#logFailure('leave', left.error);
  }

  override stop(): Promise<void> {
    return this.leave();
  }

  /** Removes lost instances of this data centre. */
  remove(names: readonly string[]): Promise<Result<ChangeOutcome, StoreError>> {
    return this.#ownObject.change((seen) => {
      const kept = Object.entries(seen.instances).filter(([name]) => !names.includes(name));
      if (kept.length === Object.keys(seen.instances).length) return seen;
      return { instances: Object.fromEntries(kept) };
    }, this.#now());
  }

  /** Reads the directory early, because a peer does not respond. */
  readSoon(): void {
    if (this.#now() - this.#lastReadAt >= MIN_EARLY_READ_INTERVAL_MS) this.#scheduleRead(0);
  }

  async #join(): Promise<void> {
    while (!this.#stopped) {
      const joined = await this.#writeSelf();
      if (joined.isOk && joined.value !== 'busy') break;
      if (joined.isErr) this.#logFailure('join', joined.error);
      await delay(STORE_RETRY_MS);
    }
    await this.#read().finally(() => {
      this.#scheduleRead(SECOND_READ_MS);
    });
  }

  async #writeSelf(): Promise<Result<ChangeOutcome, StoreError>> {
    const { random, settings } = this.#context;
    const read = await this.#ownObject.read(this.#now());
    const isListed = read.isOk && entryOf(read.value.instances, settings.instance) !== undefined;
    this.#wasListed ||= isListed;
    if (read.isOk && !isListed) {
      await delay(random() * JOIN_SPREAD_MS);
      await this.#ownObject.read(this.#now());
    }
    return this.#ownObject.change((seen) => this.#withSelf(seen), this.#now());
  }

  #withSelf(seen: StoredInstances): StoredInstances {
    const { instance } = this.#context.settings;
    const self = this.#ownEntry();
    if (isDeepStrictEqual(entryOf(seen.instances, instance), self)) return seen;
    return { instances: { ...seen.instances, [instance]: self } };
  }

  #ownEntry(): { meshUrl?: string } {
    const { mesh } = this.#context.settings.listen;
    return mesh ? { meshUrl: `http://${mesh.host}:${String(mesh.port)}` } : {};
  }

  #scheduleRead(ms: number): void {
    clearTimeout(this.#timer);
    if (this.#stopped) return;
    this.#timer = this.#context.background.after(ms, this.name, () => this.#readAndRepeat());
  }

  async #readAndRepeat(): Promise<void> {
    let pauseMs = STORE_RETRY_MS;
    try {
      const isRead = await this.#read();
      if (isRead) pauseMs = readIntervalMs(this.count) * (0.75 + 0.5 * this.#context.random());
    } finally {
      this.#scheduleRead(pauseMs);
    }
  }

  /** Returns whether the store answered. */
  async #read(): Promise<boolean> {
    const { store } = this.#context;
    const at = this.#now();
    this.#lastReadAt = at;
    const list = await store.list(instanceCollection, { stale: true });
    if (list.isErr) this.#logFailure('look', list.error);
    else {
      this.#reads += 1;
      const listed = list.value.items.flatMap(({ name, value }) => this.#toInstances(name, value));
      const read = {
        at,
        names: listed.map(({ name }) => name),
        reader: this.#context.settings.instance,
      };
      this.#readListeners.notify(read);
      this.#update(listed);
    }
    return list.isOk;
  }

  #update(listed: FleetInstance[]): void {
    // a stale read may not list this instance yet.
    const { instance } = this.#context.settings;
    const self = listed.some(({ name }) => name === instance) ? [] : [this.#self()];
    const instances = [...listed, ...self];
    // listeners that wait for `isSettled` are also called when the settling read finds no change.
    const isSame = isDeepStrictEqual(instances, this.#instances);
    if (isSame && this.#reads !== READS_TO_SETTLE) return;
    this.#instances = instances;
    const { dataCentre } = this.#context.settings;
    this.#inDataCentre = instances.filter((each) => each.dataCentre === dataCentre);
    if (!isSame) this.#context.log.write('instances-changed', { instances: instances.length });
    this.#listeners.notify();
  }

  #self(): FleetInstance {
    const { instance, dataCentre } = this.#context.settings;
    return { name: instance, dataCentre, ...this.#ownEntry() };
  }

  /** Entries that cannot be used as they are written cost themselves alone. */
  #toInstances(dataCentre: string, { instances }: StoredInstances): FleetInstance[] {
    return Object.entries(instances).flatMap(([name, { meshUrl }]) => {
      if (!isInstanceName(name)) {
        this.#logInvalid(name);
        return [];
      }
      const instance = { name, dataCentre };
      if (meshUrl === undefined) return [instance];
      if (isMeshUrl(meshUrl)) return [{ ...instance, meshUrl }];
      this.#logInvalid(name);
      return [instance];
    });
  }

  #logInvalid(name: string): void {
    if (this.#invalid.has(name)) return;
    this.#invalid.add(name);
    const fields = { listed: loggedText(name), length: name.length };
    this.#context.log.write('instance-entry-invalid', fields);
  }

  #logFailure(what: 'join' | 'look' | 'leave', { message }: StoreError): void {
    this.#context.log.write('instances-unread', { what, reason: message });
  }

  #now(): number {
    return this.#context.clock.now();
  }
}
