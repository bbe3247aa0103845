/** The existing deployments, in the sizes that their users specified. */

import type { ServiceType } from '@flamingocourse/core';
import type { RouterSlot } from '../types/fleetRunner.js';

/** Backend servers of one service. */
export interface ServicePlan {
  name: string;
  type: ServiceType;
  servers: number;
}

/** Routers and backend servers that the lab starts for one deployment. */
export interface DeploymentPlan {
  name: string;
  dataCentres: string[];
  routers: number;
  services: ServicePlan[];
  /** Account whose key the examples in the documentation use. */
  exampleAccount: string;
}

export const deployments = {
  'tsagaan-deel': {
    name: 'tsagaan-deel',
    exampleAccount: 'altan-shop',
    dataCentres: ['ub-east', 'ub-north', 'ub-south', 'ub-west'],
    routers: 8,
    services: [
      { name: 'deel-llm', type: 'model', servers: 6 },
      { name: 'shop-ledger', type: 'plain', servers: 4 },
    ],
  },
  svifvakt: {
    name: 'svifvakt',
    exampleAccount: 'hella-club',
    dataCentres: ['su-east', 'su-mid', 'su-west'],
    routers: 7,
    services: [
      { name: 'floki-llm', type: 'model', servers: 8 },
      { name: 'logbok-app', type: 'plain', servers: 3 },
    ],
  },
} as const satisfies Record<string, DeploymentPlan>;

export type DeploymentName = keyof typeof deployments;

/** Distributes the routers of a deployment evenly over its data centres. */
export function routerSlots(plan: DeploymentPlan): RouterSlot[] {
  return Array.from({ length: plan.routers }, (_, index) => ({
    instance: `router-${Math.floor(index / plan.dataCentres.length) + 1}`,
    dataCentre: dataCentreAt(plan, index),
  }));
}

/** Data centre of the router or server with this index: round-robin over the data centres. */
export function dataCentreAt(plan: DeploymentPlan, index: number): string {
  return plan.dataCentres[index % plan.dataCentres.length] ?? '';
}
