/** Watches the configuration in the store and applies the newest version. */

import type { RoutedConfig } from '@flamingocourse/core';
import type { Kernel } from '@flamingocourse/kernel';
import type { Subscription, VersionedObject, WatchEvent } from '@flamingocourse/store';
import type { GatewayContext } from '../types/context.js';
import { RouteTable } from '@flamingocourse/core';
import { Listeners, Service, loggedText } from '@flamingocourse/kernel';
import { reportThrown } from './reportThrown.js';
import { StoreReachability } from './storeReachability.js';

/**
 * Milliseconds reserved for reopening a silent watch and reading the list, within the time in which
 * changes must take effect here. Without this reserve, a configuration that was written during the
 * silence would be applied some milliseconds too late.
 */
export const WATCH_REOPEN_MS = 300;
/**
 * Milliseconds beyond the watch's idle time without contact to the store after which the
 * configuration may be outdated. A healthy watch gets data within its idle time; the margin covers
 * a slow store and network latency.
 */
const FRESH_MARGIN_MS = 600;

/**
 * Milliseconds over which versions are batched before they are read. A single version takes effect
 * at once; of several in quick succession only the last is checked and applied.
 */
export const CONFIGURATION_BATCH_MS = 400;

/** Maximum number of logged faults of one version; each line states how many there are. */
const MAX_LOGGED_FAULTS = 20;

/** Service that keeps the configuration up to date. Registered as `configuration`. */
export class ConfigurationWatch extends Service {
  override readonly name = 'configuration';
  readonly #context: GatewayContext;
  readonly #listeners = new Listeners<RouteTable>(this.name);
  #table: RouteTable | undefined;
  readonly #reachability: StoreReachability;
  #subscription: Subscription | undefined;

  constructor(context: GatewayContext) {
    super();
    this.#context = context;
    this.#reachability = new StoreReachability(context, this.name);
  }

  /** Route table of the configuration in force; undefined before the first one was read. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Whether contact to the store is recent enough that a newer version would be known. */
  isFresh(now: number): boolean {
    const { configurationIdleMs } = this.#context.settings.store;
    return this.#reachability.ageMs(now) < configurationIdleMs + FRESH_MARGIN_MS;
  }

  /** Milliseconds since the last contact to the store. */
  ageMs(now: number): number {
    return this.#reachability.ageMs(now);
  }

  /** Calls `listener` with the current configuration, if there is one, and each new one. */
  onChange(listener: (table: RouteTable) => void): void {
    this.#listeners.add(listener);
    if (this.#table) listener(this.#table);
  }

  override start(kernel: Kernel): void {
    this.#listeners.reportTo(kernel);
    const { store, dialects, settings } = this.#context;
    this.#subscription = store.watch(dialects.configuration, {
      idleMs: settings.store.configurationIdleMs - WATCH_REOPEN_MS,
      batchMs: CONFIGURATION_BATCH_MS,
      onEvent: reportThrown(kernel, this.name, (event) => {
        this.#onEvent(event);
      }),
      onUpToDate: (ageMs) => {
        this.#reachability.recordAnswer({}, ageMs);
      },
      onBreak: (reason) => {
        this.#reachability.recordFailure(reason);
      },
    });
  }

  override stop(): void {
    this.#subscription?.stop();
  }

  #onEvent(event: WatchEvent<RoutedConfig>): void {
    const { configurationName } = this.#context.dialects;
    switch (event.type) {
      case 'listed':
        for (const item of event.list.items) this.#apply(item);
        if (event.list.invalid.includes(configurationName)) this.#logInvalid(event.list.version);
        return;
      case 'changed':
        this.#apply(event.object);
        return;
      case 'invalid':
        if (event.name === configurationName) this.#logInvalid(event.version);
        return;
      case 'removed':
        // keep the current configuration: deleting the object is not meant to refuse all requests.
        return;
    }
  }

  #apply({ name, value }: VersionedObject<RoutedConfig>): void {
    if (name !== this.#context.dialects.configurationName) return;
    // a read may be stale: an older version must not replace a newer one.
    if (this.#table && value.version <= this.#table.config.version) return;
    const table = new RouteTable(value);
    this.#table = table;
    this.#context.log.write('configuration-applied', {
      version: value.version,
      routes: value.routes.length,
      accounts: value.accounts.length,
    });
    this.#logFaults(value);
    this.#logInvalidHomes(value);
    this.#listeners.notify(table);
  }

  #logFaults({ version, faults = [] }: RoutedConfig): void {
    for (const { kind, entry, reason } of faults.slice(0, MAX_LOGGED_FAULTS)) {
      this.#context.log.write('configuration-entry-invalid', {
        version,
        kind,
        entry: loggedText(entry),
        reason: loggedText(reason),
        count: faults.length,
      });
    }
  }

  #logInvalidHomes({ version, routes, accounts }: RoutedConfig): void {
    const names = [
      ...routes.filter(({ homes }) => homes === 'invalid').map(({ name }) => `route ${name}`),
      ...accounts.filter(({ homes }) => homes === 'invalid').map(({ name }) => `account ${name}`),
    ];
    if (names.length === 0) return;
    const objects = loggedText(names.join(', '));
    this.#context.log.write('homes-invalid', { version, count: names.length, objects });
  }

  #logInvalid(version: string): void {
    const inForce = this.#table?.config.version;
    this.#context.log.write('configuration-invalid', { storeVersion: version, inForce });
  }
}
