/** Follows the configuration in the store and keeps the newest version in force. */

import type { RoutedConfig } from '@flamingocourse/core';
import type { Kernel } from '@flamingocourse/kernel';
import type { Subscription, VersionedObject, WatchEvent } from '@flamingocourse/store';
import type { GatewayContext } from '../types/context.js';
import { RouteTable } from '@flamingocourse/core';
import { Service } from '@flamingocourse/kernel';
import { StoreContact } from './storeContact.js';

/**
 * Milliseconds that are left to open a silent watch anew, and to read the list, within the time after which
 * changes have to be in force here again. Without them a configuration that came during the silence would
 * be unknown for some milliseconds too long.
 */
export const REOPEN_MS = 300;
/**
 * Milliseconds beyond the watch's idle time without a word from the store after which what is known may be
 * outdated. A healthy watch is answered within its idle time; the rest is for a slow store and the way.
 */
const FRESH_MARGIN_MS = 600;

/**
 * Milliseconds that versions gather before they are asked for. One that comes alone is in force at once; of
 * several that follow each other quickly only the last is checked and applied.
 */
export const VERSIONS_GATHER_MS = 400;

/** Registered as `configuration`. */
export class ConfigurationWatch extends Service {
  override readonly name = 'configuration';
  readonly #context: GatewayContext;
  readonly #listeners: ((table: RouteTable) => void)[] = [];
  #table: RouteTable | undefined;
  readonly #contact: StoreContact;
  #subscription: Subscription | undefined;

  constructor(context: GatewayContext) {
    super();
    this.#context = context;
    this.#contact = new StoreContact(context, this.name);
  }

  /** The version in force; undefined before the first was read. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Whether a newer version could not have gone unnoticed for long. */
  isFresh(now: number): boolean {
    const { configurationIdleMs } = this.#context.settings.store;
    return this.#contact.ageMs(now) < configurationIdleMs + FRESH_MARGIN_MS;
  }

  /** Milliseconds since the store was last heard. */
  ageMs(now: number): number {
    return this.#contact.ageMs(now);
  }

  /** Calls back with each version that comes into force. */
  onChange(listener: (table: RouteTable) => void): void {
    this.#listeners.push(listener);
    if (this.#table) listener(this.#table);
  }

  override start(kernel: Kernel): void {
    const { store, dialects, settings } = this.#context;
    this.#subscription = store.watch(dialects.configuration, {
      idleMs: settings.store.configurationIdleMs - REOPEN_MS,
      gatherMs: VERSIONS_GATHER_MS,
      onEvent: (event) => {
        try {
          this.#take(event);
        } catch (err) {
          kernel.reportFailure(err, this.name);
        }
      },
      onHeard: () => {
        this.#contact.heard();
      },
      onBreak: (reason) => {
        this.#contact.lose(reason);
      },
    });
  }

  override stop(): void {
    this.#subscription?.stop();
  }

  #take(event: WatchEvent<RoutedConfig>): void {
    const { configurationName } = this.#context.dialects;
    switch (event.type) {
      case 'listed':
        for (const item of event.list.items) this.#takeObject(item);
        if (event.list.invalid.includes(configurationName)) this.#refuse(event.list.version);
        return;
      case 'changed':
        this.#takeObject(event.object);
        return;
      case 'invalid':
        if (event.name === configurationName) this.#refuse(event.version);
        return;
      case 'removed':
        // the configuration in force stays: no operator means to refuse all requests this way.
        return;
    }
  }

  #takeObject({ name, value }: VersionedObject<RoutedConfig>): void {
    if (name !== this.#context.dialects.configurationName) return;
    // a read may be outdated: what has once been in force must not come back.
    if (this.#table && value.version <= this.#table.config.version) return;
    const table = new RouteTable(value);
    this.#table = table;
    this.#context.log.write('configuration-applied', {
      version: value.version,
      routes: value.routes.length,
      accounts: value.accounts.length,
    });
    for (const listener of this.#listeners) listener(table);
  }

  #refuse(version: string): void {
    const inForce = this.#table?.config.version;
    this.#context.log.write('configuration-invalid', { storeVersion: version, inForce });
  }
}
