/** Declarations in force, indexed for the request path. */

import type {
  ClientAccountDeclaration,
  Declaration,
  DeploymentDeclaration,
  ServiceDeclaration,
  WorkClassDeclaration,
} from '@flamingocourse/core';

/** Indexes over one state of the configuration. */
export interface ConfigurationView {
  deployment: DeploymentDeclaration;
  accounts: ReadonlyMap<string, ClientAccountDeclaration>;
  accountsByKeyDigest: ReadonlyMap<string, ClientAccountDeclaration>;
  workClasses: ReadonlyMap<string, WorkClassDeclaration>;
  services: ReadonlyMap<string, ServiceDeclaration>;
  servicesByModel: ReadonlyMap<string, ServiceDeclaration>;
}

/** In force until operators declare a deployment. */
const defaultDeployment: DeploymentDeclaration = {
  kind: 'Deployment',
  name: 'default',
  policy: 'avoid-overspend',
  rideThroughSeconds: 600,
};

/**
 * Builds the indexes. Where two objects claim one key or model, the first by name has it, so that
 * all routers decide the same.
 */
export function createConfigurationView(declarations: readonly Declaration[]): ConfigurationView {
  const sorted = [...declarations].sort((a, b) => (a.name < b.name ? -1 : 1));
  const accounts = sorted.filter((item) => item.kind === 'ClientAccount');
  const workClasses = sorted.filter((item) => item.kind === 'WorkClass');
  const services = sorted.filter((item) => item.kind === 'Service');
  const deployment = sorted.find((item) => item.kind === 'Deployment');
  return {
    deployment: deployment ?? defaultDeployment,
    accounts: indexBy(accounts, ({ name }) => [name]),
    accountsByKeyDigest: indexBy(accounts, ({ apiKeyDigests }) => apiKeyDigests),
    workClasses: indexBy(workClasses, ({ name }) => [name]),
    services: indexBy(services, ({ name }) => [name]),
    servicesByModel: indexBy(services, ({ models }) => models),
  };
}

function indexBy<T>(items: readonly T[], keysOf: (item: T) => readonly string[]): Map<string, T> {
  const index = new Map<string, T>();
  for (const item of items) {
    for (const key of keysOf(item)) if (!index.has(key)) index.set(key, item);
  }
  return index;
}
