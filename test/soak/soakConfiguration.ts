/** Configuration that a run writes to the store: accounts with their limits, and services. */

import type { FakeServer } from '../platform/fakeServer.js';
import type { FakeStore } from '../platform/fakeStore.js';
import { configWith } from '../platform/world.js';
import { soakRoutes, soakServices } from './soakFleet.js';

/** Tokens of an account; the calls of a run need more in total. */
const LIMIT = 60_000;
/** Tokens of an account that does not run out of them. */
const AMPLE_LIMIT = 10_000_000;
const TOP_UP = 10_000;
/** Account of the callers that meet stops, which must not run out of tokens. */
export const STOP_ACCOUNT = 'uhura';

export class SoakConfiguration {
  /** Highest limit of each account so far. */
  readonly limits: Map<string, number>;
  /** Parts of the configuration that differ from the usual ones. */
  overrides: Record<string, unknown> = {};
  readonly #store: FakeStore;
  #version = 7;

  constructor(store: FakeStore, accounts: readonly string[], tokens: 'scarce' | 'ample') {
    this.#store = store;
    const limit = tokens === 'scarce' ? LIMIT : AMPLE_LIMIT;
    this.limits = new Map(accounts.map((account) => [account, limit]));
  }

  /** Writes the next version to the store. */
  write(): void {
    this.#version += 1;
    const limits = [...this.limits, [STOP_ACCOUNT, AMPLE_LIMIT] as const];
    const tenants = limits.map(([name, prepaid]) => {
      return { name, api_keys: [`key-of-${name}`], prepaid };
    });
    const services = soakServices();
    const routes = soakRoutes();
    const parts = { version: this.#version, tenants, services, routes, ...this.overrides };
    const config = configWith(parts);
    this.#store.put('config', 'main', config);
  }

  topUp(): void {
    for (const [account, limit] of this.limits) this.limits.set(account, limit + TOP_UP);
    this.write();
  }

  /** Writes the entry of a server that has started again, as a new incarnation. */
  restartServer(server: FakeServer): void {
    this.#version += 1;
    server.bornAt = this.#version;
    const entry = this.#store.value('servers', server.id) as Record<string, unknown>;
    const { bornAt: born, software: version } = server;
    this.#store.put('servers', server.id, { ...entry, born, version });
  }
}
