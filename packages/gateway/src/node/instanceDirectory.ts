/** Knows the instances of the fleet: each writes itself into the store and reads the others there. */

import type { FleetInstance } from '@flamingocourse/core';
import type { Collection, PlatformError as StoreError } from '@flamingocourse/store';
import type { GatewayContext } from '../types/context.js';
import type { Kernel } from '@flamingocourse/kernel';
import type { Result } from 'true-myth';
import type { StoredInstances } from '../utils/instanceSchemas.js';
import type { ChangeEnd } from './storedObject.js';
import { setTimeout as delay } from 'node:timers/promises';
import { isDeepStrictEqual } from 'node:util';
import { Service } from '@flamingocourse/kernel';
import { storedInstancesSchema } from '../utils/instanceSchemas.js';
import { StoredObject } from './storedObject.js';

/** One object for each data centre, named by it. */
const instanceCollection: Collection<StoredInstances> = {
  name: 'fleet-instances',
  schema: storedInstancesSchema,
};

/** Milliseconds over which instances that start together spread their entries, so that few writes conflict. */
const JOIN_SPREAD_MS = 400;
/** Milliseconds after its own entry at which an instance looks again: others start in the same moment. */
const SECOND_LOOK_MS = 600;
/** Looks after which those that started in the same moment are known. */
const LOOKS_TO_SETTLE = 2;
/** Least milliseconds between two looks at the others. */
const LOOK_MS = 4_000;
/** Milliseconds between looks for each instance: the whole fleet looks so often, however large it is. */
const LOOK_MS_PER_INSTANCE = 45;
/** Milliseconds between tries while the store is away. */
const AWAY_RETRY_MS = 500;
/** Least milliseconds between two looks that were asked for because a peer does not answer. */
const LOOK_SOON_MS = 1_000;

/**
 * Registered as `instances`. A lost instance stays listed until another takes it out; whoever needs a peer
 * asks it, and turns to the next one when it does not answer.
 */
export class InstanceDirectory extends Service {
  override readonly name = 'instances';
  readonly #context: GatewayContext;
  readonly #own: StoredObject<StoredInstances>;
  readonly #listeners: (() => void)[] = [];
  #instances: FleetInstance[] = [];
  #timer: NodeJS.Timeout | undefined;
  #lookedAt = -Infinity;
  #wasListed = false;
  #looks = 0;
  #joining: Promise<void> | undefined;
  #stopped = false;

  constructor(context: GatewayContext) {
    super();
    this.#context = context;
    const { store, settings } = context;
    const none = (): StoredInstances => ({ instances: {} });
    this.#own = new StoredObject(store, instanceCollection, settings.dataCentre, none);
  }

  /** All instances as last seen; empty before the first look. */
  get all(): readonly FleetInstance[] {
    return this.#instances;
  }

  /** Instances of the fleet; at least this one. */
  get count(): number {
    return Math.max(1, this.#instances.length);
  }

  /**
   * Whether the others are known as far as they can be. When a whole fleet starts for the first time, the
   * first look finds the few that were quicker; an instance that was listed before finds all.
   */
  get isSettled(): boolean {
    return this.#wasListed || this.#looks >= LOOKS_TO_SETTLE;
  }

  /** Calls back after each change of the instances. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  override start(kernel: Kernel): void {
    this.#joining = this.#join().catch((err: unknown) => {
      kernel.reportFailure(err, this.name);
    });
  }

  /** Takes this instance out, so that others ask it no more; what it does goes on. */
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

  /** Takes lost instances of this data centre out. */
  remove(names: readonly string[]): Promise<Result<ChangeEnd, StoreError>> {
    return this.#own.change((seen) => {
      const kept = Object.entries(seen.instances).filter(([name]) => !names.includes(name));
      if (kept.length === Object.keys(seen.instances).length) return seen;
      return { instances: Object.fromEntries(kept) };
    }, this.#now());
  }

  /** Looks at the fleet anew before the time, because a peer does not answer. */
  lookSoon(): void {
    if (this.#now() - this.#lookedAt >= LOOK_SOON_MS) this.#lookIn(0);
  }

  async #join(): Promise<void> {
    while (!this.#stopped) {
      const joined = await this.#writeSelf();
      if (joined.isOk && joined.value !== 'busy') break;
      if (joined.isErr) this.#logFailure('join', joined.error);
      await delay(AWAY_RETRY_MS);
    }
    await this.#look();
    this.#lookIn(SECOND_LOOK_MS);
  }

  async #writeSelf(): Promise<Result<ChangeEnd, StoreError>> {
    const { random, settings } = this.#context;
    const read = await this.#own.read(this.#now());
    const isListed = read.isOk && read.value.instances[settings.instance] !== undefined;
    this.#wasListed ||= isListed;
    if (read.isOk && !isListed) {
      await delay(random() * JOIN_SPREAD_MS);
      await this.#own.read(this.#now());
    }
    return this.#own.change((seen) => this.#withSelf(seen), this.#now());
  }

  #withSelf(seen: StoredInstances): StoredInstances {
    const { instance, listen } = this.#context.settings;
    const meshUrl = listen.mesh && `http://${listen.mesh.host}:${String(listen.mesh.port)}`;
    const self = meshUrl === undefined ? {} : { meshUrl };
    if (isDeepStrictEqual(seen.instances[instance], self)) return seen;
    return { instances: { ...seen.instances, [instance]: self } };
  }

  #lookIn(ms: number): void {
    clearTimeout(this.#timer);
    if (this.#stopped) return;
    this.#timer = setTimeout(() => void this.#look(), ms);
  }

  async #look(): Promise<void> {
    const { store, random } = this.#context;
    this.#lookedAt = this.#now();
    const list = await store.list(instanceCollection, { stale: true });
    if (list.isErr) this.#logFailure('look', list.error);
    else {
      this.#looks += 1;
      this.#take(
        list.value.items.flatMap(({ name: dataCentre, value }) => toInstances(dataCentre, value)),
      );
    }
    const periodMs = Math.max(LOOK_MS, LOOK_MS_PER_INSTANCE * this.count);
    this.#lookIn(list.isErr ? AWAY_RETRY_MS : periodMs * (0.75 + 0.5 * random()));
  }

  #take(listed: FleetInstance[]): void {
    // an outdated answer may not show this instance yet.
    const { instance } = this.#context.settings;
    const self = listed.some(({ name }) => name === instance) ? [] : [this.#self()];
    const instances = [...listed, ...self];
    // listeners that wait until the others are known hear of the look that settles it, whatever it finds.
    const isSame = isDeepStrictEqual(instances, this.#instances);
    if (isSame && this.#looks !== LOOKS_TO_SETTLE) return;
    this.#instances = instances;
    if (!isSame) this.#context.log.write('instances-changed', { instances: instances.length });
    for (const listener of this.#listeners) listener();
  }

  #self(): FleetInstance {
    const { instance, dataCentre } = this.#context.settings;
    const { [instance]: self = {} } = this.#withSelf({ instances: {} }).instances;
    return { name: instance, dataCentre, ...self };
  }

  #logFailure(what: 'join' | 'look' | 'leave', { message }: StoreError): void {
    this.#context.log.write('instances-unread', { what, reason: message });
  }

  #now(): number {
    return this.#context.clock.now();
  }
}

function toInstances(dataCentre: string, { instances }: StoredInstances): FleetInstance[] {
  return Object.entries(instances).map(([name, instance]) => ({ name, dataCentre, ...instance }));
}
