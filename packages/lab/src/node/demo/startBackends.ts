/** Starts the backend servers of a deployment in this process. */

import type { InstanceRecord } from '@flamingocourse/core';
import type { DeploymentPlan, ServicePlan } from '../../runtime/deployments.js';
import type { ServiceRecords } from '../../types/plainServiceStandIn.js';
import type { EngineStandIn } from '../engineStandIn/index.js';
import type { PlainServiceStandIn } from '../plainServiceStandIn/index.js';
import { dataCentreAt } from '../../runtime/deployments.js';
import { createEngineStandIn } from '../engineStandIn/index.js';
import { createPlainServiceStandIn, createServiceRecords } from '../plainServiceStandIn/index.js';

/** Running backend servers. */
export interface RunningBackends {
  engines: EngineStandIn[];
  plainServices: PlainServiceStandIn[];
  /** Combined records of all plain services. */
  records: ServiceRecords;
  /** Entries of the instance list, by service. */
  instances: Map<string, InstanceRecord[]>;
  stop(): Promise<void>;
}

/**
 * Starts all servers of all services, distributed over the data centres.
 *
 * @example
 * const backends = await startBackends(deployments['tsagaan-deel'], 1);
 */
export async function startBackends(plan: DeploymentPlan, seed: number): Promise<RunningBackends> {
  const backends: RunningBackends = {
    engines: [],
    plainServices: [],
    records: createServiceRecords(),
    instances: new Map(),
    stop: async () => {
      const servers = [...backends.engines, ...backends.plainServices];
      await Promise.all(servers.map((server) => server.stop()));
    },
  };
  for (const service of plan.services) await startService(plan, service, seed, backends);
  return backends;
}

async function startService(
  plan: DeploymentPlan,
  service: ServicePlan,
  seed: number,
  backends: RunningBackends,
): Promise<void> {
  const instances: InstanceRecord[] = [];
  for (let index = 0; index < service.servers; index += 1) {
    instances.push({
      service: service.name,
      id: `${service.name}-${index + 1}`,
      dataCentre: dataCentreAt(plan, index),
      url: await startServer(service, seed + index, backends),
      state: 'live',
    });
  }
  backends.instances.set(service.name, instances);
}

async function startServer(
  service: ServicePlan,
  seed: number,
  to: RunningBackends,
): Promise<string> {
  if (service.type === 'model') {
    const engine = await createEngineStandIn({ seed });
    to.engines.push(engine);
    return engine.url;
  }
  const plain = await createPlainServiceStandIn({ seed, records: to.records });
  to.plainServices.push(plain);
  return plain.url;
}
