/** Looks up routes, accounts and services of a configuration. */

import type { AccountId, ServiceName, Tokens } from '../../types/ids.js';
import type {
  Route,
  RoutedAccount,
  RoutedConfig,
  RoutedService,
} from '../../types/routedConfig.js';

/**
 * Lookup tables for one version of the configuration.
 *
 * @example
 * const table = new RouteTable(config);
 * table.findRoute('shops.example', '/stock/bed/12')?.name;
 */
export class RouteTable {
  readonly config: RoutedConfig;
  /** Prepaid tokens by account. */
  readonly prepaid: ReadonlyMap<AccountId, Tokens>;
  /** Routes by host, longest prefix first. */
  readonly #routes = new Map<string, Route[]>();
  readonly #accounts = new Map<string, RoutedAccount>();
  readonly #services = new Map<ServiceName, RoutedService>();

  constructor(config: RoutedConfig) {
    this.config = config;
    for (const route of config.routes) {
      const host = route.host.toLowerCase();
      this.#routes.set(host, [...(this.#routes.get(host) ?? []), route]);
    }
    for (const routes of this.#routes.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const account of config.accounts) {
      for (const key of account.keys) {
        if (!account.unusable || !this.#accounts.has(key)) this.#accounts.set(key, account);
      }
    }
    for (const service of config.services) this.#services.set(service.name, service);
    this.prepaid = new Map(
      config.accounts.flatMap(({ name, prepaid }) =>
        prepaid === undefined ? [] : [[name, prepaid] as const],
      ),
    );
  }

  /** The route of a host with the longest matching path prefix. */
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.#routes.get(host.toLowerCase());
    return routes?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** The account that holds a key. */
  findAccount(key: string): RoutedAccount | undefined {
    return this.#accounts.get(key);
  }

  service(name: ServiceName): RoutedService | undefined {
    return this.#services.get(name);
  }
}

/**
 * Picks one of the services of a route by weight.
 *
 * @param point position in the total weight, from 0 (included) to 1 (excluded).
 */
export function pickTarget(route: Route, point: number): ServiceName | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let left = point * total;
  for (const target of route.targets) {
    left -= target.weight;
    if (left < 0) return target.service;
  }
  return route.targets.at(-1)?.service;
}
