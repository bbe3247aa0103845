/** The configuration in force: declared objects with operators' mistakes contained. */

import type {
  ClientAccountDeclaration,
  DeploymentDeclaration,
  ServiceDeclaration,
  WorkClassDeclaration,
} from '../../types/declaration.js';
import type { ConfigStoreState } from './configStore.js';
import { digestConfig, namesKnownService, objectKey } from './configStore.js';

/** A mistake that was contained. */
export interface ConfigFinding {
  type: 'shares-scaled' | 'unknown-service-in-class';
  /** `{kind}.{name}` of the object concerned. */
  object: string;
  /** Sentence that says what to change. */
  detail: string;
}

/** What routers act upon. */
export interface EffectiveConfig {
  revision: number;
  deployment: DeploymentDeclaration;
  accounts: ClientAccountDeclaration[];
  services: ServiceDeclaration[];
  workClasses: WorkClassDeclaration[];
  findings: ConfigFinding[];
}

/** In force until operators declare a deployment. */
export const defaultDeployment: DeploymentDeclaration = {
  kind: 'Deployment',
  name: 'default',
  policy: 'avoid-overspend',
  rideThroughSeconds: 600,
};

/**
 * Resolves the configuration in force. Each object is judged by itself, so that one mistake leaves
 * all others in force.
 *
 * @example
 * const config = resolveEffectiveConfig(state);
 */
export function resolveEffectiveConfig(state: ConfigStoreState): EffectiveConfig {
  const findings = findReplacedClasses(state);
  const good = Object.values(state.lastGood).flatMap((object) => object.declaration ?? []);
  const services = good.filter((item) => item.kind === 'Service');
  const names = new Set(services.map((service) => service.name));
  // a last good version may itself name a service that was deleted since.
  const classes = good
    .filter((item) => item.kind === 'WorkClass')
    .filter((workClass) => names.has(workClass.service));
  const scaled = scaleShares(classes);
  const deployments = good.filter((item) => item.kind === 'Deployment');
  return {
    revision: digestConfig(state).revision,
    deployment: deployments.sort((a, b) => (a.name < b.name ? -1 : 1))[0] ?? defaultDeployment,
    accounts: good.filter((item) => item.kind === 'ClientAccount'),
    services,
    workClasses: scaled.workClasses,
    findings: [...findings, ...scaled.findings],
  };
}

/** Classes whose newest version is not in force. */
function findReplacedClasses(state: ConfigStoreState): ConfigFinding[] {
  return Object.values(state.objects)
    .filter((object) => !namesKnownService(object, state.objects))
    .map((object) => ({
      type: 'unknown-service-in-class',
      object: objectKey(object),
      detail: `Declare the service that class "${object.name}" names, or correct the name; until then its last good version, if any, stays in force.`,
    }));
}

/**
 * Scales the budget shares of a service's classes down to a sum of 1 where they pass it. Without
 * this the classes that come first could draw what was meant for the others.
 */
function scaleShares(classes: WorkClassDeclaration[]): {
  workClasses: WorkClassDeclaration[];
  findings: ConfigFinding[];
} {
  const sums = new Map<string, number>();
  for (const { service, budgetShare } of classes) {
    sums.set(service, (sums.get(service) ?? 0) + budgetShare);
  }
  const workClasses = classes.map((workClass) => {
    const sum = sums.get(workClass.service) ?? 0;
    return sum > 1 ? { ...workClass, budgetShare: workClass.budgetShare / sum } : workClass;
  });
  const findings = [...sums]
    .filter(([, sum]) => sum > 1)
    .map(([service, sum]): ConfigFinding => ({
      type: 'shares-scaled',
      object: `Service.${service}`,
      detail: `Lower the budget shares of the classes of service "${service}": they sum to ${Number(sum.toFixed(3))}, and are scaled to 1 until then.`,
    }));
  return { workClasses, findings };
}
