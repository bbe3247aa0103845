/** Watches which data centres an operator has evacuated. */

import type { Kernel } from '@flamingocourse/kernel';
import type { Subscription, WatchEvent } from '@flamingocourse/store';
import type { GatewayContext } from '../types/context.js';
import { entryOf } from '@flamingocourse/core';
import { Listeners, Service } from '@flamingocourse/kernel';
import { reportThrown } from './reportThrown.js';
import { StoreReachability } from './storeReachability.js';

/**
 * Milliseconds reserved for reopening a silent watch and reading the list, within the time in which
 * an evacuation must take effect.
 */
export const EVACUATION_REOPEN_MS = 500;
/** Maximum number of logged characters of a name from outside. */
const MAX_NAME_LENGTH = 60;

/**
 * Service that keeps the evacuations in force up to date. Registered as `evacuations`. Without the
 * setting for it, nobody evacuates data centres and the store is not asked.
 */
export class EvacuationWatch extends Service {
  override readonly name = 'evacuations';
  readonly #context: GatewayContext;
  readonly #listeners = new Listeners<readonly string[]>(this.name);
  readonly #reachability: StoreReachability;
  #isRead = false;
  #subscription: Subscription | undefined;

  constructor(context: GatewayContext) {
    super();
    this.#context = context;
    this.#reachability = new StoreReachability(context, this.name);
  }

  /** Whether the evacuations were read, so that servers may be chosen. */
  get isKnown(): boolean {
    return this.#isRead || this.#context.settings.evacuation === undefined;
  }

  /** Milliseconds since the store last confirmed the evacuations; infinite before the first time. */
  ageMs(now: number): number {
    return this.#reachability.ageMs(now);
  }

  /** Calls `listener` after each change, with the data centres that are no longer evacuated. */
  onChange(listener: (ended: readonly string[]) => void): void {
    this.#listeners.add(listener);
  }

  override start(kernel: Kernel): void {
    this.#listeners.reportTo(kernel);
    const { store, dialects, settings } = this.#context;
    if (settings.evacuation === undefined) return;
    this.#subscription = store.watch(dialects.evacuations, {
      idleMs: settings.evacuation.applyMs - EVACUATION_REOPEN_MS,
      onEvent: reportThrown(kernel, this.name, (event) => {
        this.#onEvent(event);
      }),
      onUpToDate: (ageMs) => {
        const evacuated = this.#context.rules.evacuations.all.length;
        this.#reachability.recordAnswer({ evacuated }, ageMs);
      },
      onBreak: (reason) => {
        this.#reachability.recordFailure(reason);
      },
    });
  }

  override stop(): void {
    this.#subscription?.stop();
  }

  #onEvent(event: WatchEvent<unknown>): void {
    switch (event.type) {
      case 'listed':
        this.#applyList([...event.list.items.map(({ name }) => name), ...event.list.invalid]);
        return;
      case 'changed':
        this.#apply([event.object.name], []);
        return;
      case 'invalid':
        this.#apply([event.name], []);
        return;
      case 'removed':
        this.#apply([], [event.name]);
        return;
    }
  }

  #applyList(names: readonly string[]): void {
    this.#isRead = true;
    const listed = new Set(names);
    const known = this.#context.rules.evacuations.all.map(({ dataCentre }) => dataCentre);
    const ended = known.filter((dataCentre) => !listed.has(dataCentre));
    this.#apply(names, ended);
  }

  /** An entry evacuates by its name alone, whatever it holds. */
  #apply(begun: readonly string[], ended: readonly string[]): void {
    const { clock, log, rules } = this.#context;
    const now = clock.now();
    for (const dataCentre of begun) {
      if (!rules.evacuations.begin(dataCentre, now)) continue;
      const isKnown = this.#isKnownDataCentre(dataCentre);
      log.write('evacuation-began', { dataCentre: dataCentre.slice(0, MAX_NAME_LENGTH), isKnown });
    }
    for (const dataCentre of ended) {
      const forMs = rules.evacuations.end(dataCentre, now);
      if (forMs === undefined) continue;
      const name = dataCentre.slice(0, MAX_NAME_LENGTH);
      log.write('evacuation-ended', { dataCentre: name, forMs: Math.round(forMs) });
    }
    this.#listeners.notify(ended);
  }

  /** A misspelled name evacuates nothing, which its operator has to see. */
  #isKnownDataCentre(name: string): boolean {
    const { dataCentre, regions } = this.#context.settings;
    return name === dataCentre || entryOf(regions, name) !== undefined;
  }
}
