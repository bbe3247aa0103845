/** The configuration in force. An invalid object does not affect the others. */

import type {
  ClientAccountDeclaration,
  DeploymentDeclaration,
  ServiceDeclaration,
  WorkClassDeclaration,
} from '../../types/declaration.js';
import type { ConfigStore } from './configStore.js';
import { shareTolerance } from '../declaration/guards.js';
import { refersToKnownService, objectKey } from './configStore.js';

/** A mistake in the declared objects that was corrected or not put in force. */
export interface ConfigFinding {
  type: 'shares-scaled' | 'unknown-service-in-class';
  /** `{kind}.{name}` of the object concerned. */
  object: string;
  /** Sentence that tells the operator what to change. */
  detail: string;
}

/** The configuration that routers use. */
export interface EffectiveConfig {
  revision: number;
  deployment: DeploymentDeclaration;
  accounts: ClientAccountDeclaration[];
  services: ServiceDeclaration[];
  workClasses: WorkClassDeclaration[];
  findings: ConfigFinding[];
}

/** Deployment in force until operators declare one. */
export const defaultDeployment: DeploymentDeclaration = {
  kind: 'Deployment',
  name: 'default',
  policy: 'avoid-overspend',
  rideThroughSeconds: 600,
};

/**
 * Resolves the configuration in force. Each object is checked separately, so that one mistake
 * leaves all other objects in force.
 *
 * @example
 * const config = resolveEffectiveConfig(store);
 */
export function resolveEffectiveConfig(store: ConfigStore): EffectiveConfig {
  const findings = findClassesWithUnknownService(store);
  const good = [...store.lastGood.values()].flatMap((object) => object.declaration ?? []);
  const services = good.filter((item) => item.kind === 'Service');
  const names = new Set(services.map((service) => service.name));
  // a last valid version may refer to a service that was deleted later.
  const classes = good
    .filter((item) => item.kind === 'WorkClass')
    .filter((workClass) => names.has(workClass.service));
  const scaled = scaleShares(classes);
  const deployments = good.filter((item) => item.kind === 'Deployment');
  return {
    revision: store.asOf,
    deployment: deployments.sort((a, b) => (a.name < b.name ? -1 : 1))[0] ?? defaultDeployment,
    accounts: good.filter((item) => item.kind === 'ClientAccount'),
    services,
    workClasses: scaled.workClasses,
    findings: [...findings, ...scaled.findings],
  };
}

/** Reports the classes whose newest version refers to an unknown service and is not in force. */
function findClassesWithUnknownService({ objects }: ConfigStore): ConfigFinding[] {
  return [...objects.values()]
    .filter((object) => !refersToKnownService(object, objects))
    .map((object) => ({
      type: 'unknown-service-in-class',
      object: objectKey(object),
      detail: `Declare the service that class "${object.name}" names, or correct the name; until then its last good version, if any, stays in force.`,
    }));
}

/**
 * Scales down the budget shares of a service's classes if their sum exceeds 1. Otherwise the
 * classes that spend first could use the shares of the others. A class with a share of 1 is not
 * capped. It is neither counted nor scaled, because it takes nothing from the shares of the others.
 */
function scaleShares(classes: WorkClassDeclaration[]): {
  workClasses: WorkClassDeclaration[];
  findings: ConfigFinding[];
} {
  const sums = new Map<string, number>();
  for (const { service, budgetShare } of classes.filter(hasCap)) {
    sums.set(service, (sums.get(service) ?? 0) + budgetShare);
  }
  const excessive = [...sums].filter(([, sum]) => sum > 1 + shareTolerance);
  const sumToScale = new Map(excessive);
  const workClasses = classes.map((workClass) => {
    const sum = hasCap(workClass) ? sumToScale.get(workClass.service) : undefined;
    return sum === undefined ? workClass : scaleShare(workClass, sum);
  });
  return { workClasses, findings: excessive.map(describeScaling) };
}

function hasCap({ budgetShare }: WorkClassDeclaration): boolean {
  return budgetShare < 1;
}

function scaleShare(workClass: WorkClassDeclaration, sum: number): WorkClassDeclaration {
  return { ...workClass, budgetShare: workClass.budgetShare / sum };
}

function describeScaling([service, sum]: [string, number]): ConfigFinding {
  const total = Number(sum.toFixed(3));
  return {
    type: 'shares-scaled',
    object: `Service.${service}`,
    detail: `Lower the budget shares of the classes of service "${service}": those below 1 sum to ${total}, and are scaled to 1 until then.`,
  };
}
