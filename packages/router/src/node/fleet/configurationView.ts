/** Indexes the declarations in force for the request path. */

import type {
  ClientAccountDeclaration,
  DeploymentDeclaration,
  EffectiveConfig,
  ServiceDeclaration,
  WorkClassDeclaration,
} from '@flamingocourse/core';

/** Indexes of one state of the configuration. */
export interface ConfigurationView {
  deployment: DeploymentDeclaration;
  accounts: ReadonlyMap<string, ClientAccountDeclaration>;
  accountsByKeyDigest: ReadonlyMap<string, ClientAccountDeclaration>;
  workClasses: ReadonlyMap<string, WorkClassDeclaration>;
  services: ReadonlyMap<string, ServiceDeclaration>;
  servicesByModel: ReadonlyMap<string, ServiceDeclaration>;
}

/**
 * Builds the indexes. If two objects declare the same key or model, the first by name gets it, so
 * that all routers decide the same.
 */
export function createConfigurationView(config: EffectiveConfig): ConfigurationView {
  const accounts = sortByName(config.accounts);
  const workClasses = sortByName(config.workClasses);
  const services = sortByName(config.services);
  return {
    deployment: config.deployment,
    accounts: indexBy(accounts, ({ name }) => [name]),
    accountsByKeyDigest: indexBy(accounts, ({ apiKeyDigests }) => apiKeyDigests),
    workClasses: indexBy(workClasses, ({ name }) => [name]),
    services: indexBy(services, ({ name }) => [name]),
    servicesByModel: indexBy(services, ({ models }) => models),
  };
}

function sortByName<T extends { name: string }>(items: readonly T[]): T[] {
  return [...items].sort((a, b) => (a.name < b.name ? -1 : 1));
}

function indexBy<T>(items: readonly T[], keysOf: (item: T) => readonly string[]): Map<string, T> {
  const index = new Map<string, T>();
  for (const item of items) {
    for (const key of keysOf(item)) if (!index.has(key)) index.set(key, item);
  }
  return index;
}
