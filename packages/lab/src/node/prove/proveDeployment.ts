/** Router processes of the proof, with stand-ins in this process and relays between them. */

import type { Bill, BillSegment, JournalState, LedgerPage } from '@flamingocourse/core';
import type { DeploymentPlan } from '../../runtime/deployments.js';
import type { MoneyView } from '../../runtime/prove/moneyAudit.js';
import type { RunningBackends } from '../demo/index.js';
import type { PlatformStandIn } from '../platformStandIn/index.js';
import type { OperatorEnd } from './operatorCommand.js';
import { setEntry } from '@flamingocourse/core';
import { routerSlots } from '../../runtime/deployments.js';
import { LabError } from '../../utils/labError.js';
import { startBackends } from '../demo/index.js';
import { FleetRunner } from '../fleetRunner/index.js';
import { Network } from '../network/index.js';
import { createPlatformStandIn } from '../platformStandIn/index.js';
import { runOperator } from './operatorCommand.js';
import { PROVE_MODEL, writeDeclarations } from './proveDeclarations.js';

const ROUTER_SERVICE = 'flamingocourse-router';
const INSTANCE_LAG_MS = 1_000;

/** Components into which a phase injects faults and whose state it reads. */
export interface ProveDeployment {
  plan: DeploymentPlan;
  platform: PlatformStandIn;
  backends: RunningBackends;
  network: Network;
  fleet: FleetRunner;
  directory: string;
  /** Descriptions of planned stops that failed. */
  stopViolations: string[];
  /** Runs the operators' command against the platform. */
  operate(...args: string[]): Promise<OperatorEnd>;
  close(): Promise<void>;
}

/**
 * Starts all components; if one fails, stops those already started. `settings` override the
 * settings of all routers, by section.
 *
 * @example
 * const deployment = await startProveDeployment(deployments['tsagaan-deel'], directory, 1);
 * await deployment.close();
 */
export async function startProveDeployment(
  plan: DeploymentPlan,
  directory: string,
  seed: number,
  settings: Record<string, unknown> = {},
): Promise<ProveDeployment> {
  const closers: (() => Promise<unknown>)[] = [];
  const close = async (): Promise<void> => {
    for (const closer of closers.splice(0).reverse()) await closer();
  };
  try {
    return await buildProveDeployment({ plan, directory, seed, settings, closers, close });
  } catch (err) {
    await close();
    throw err;
  }
}

interface ProveDeploymentContext {
  plan: DeploymentPlan;
  directory: string;
  seed: number;
  settings: Record<string, unknown>;
  closers: (() => Promise<unknown>)[];
  close: () => Promise<void>;
}

async function buildProveDeployment(context: ProveDeploymentContext): Promise<ProveDeployment> {
  const { plan, directory, seed, closers, close } = context;
  const listenPorts = Object.fromEntries(plan.dataCentres.map((name) => [name, 0]));
  const platform = await createPlatformStandIn({
    listenPorts,
    seed,
    instanceLagMs: INSTANCE_LAG_MS,
  });
  closers.push(() => platform.close());
  const backends = await startBackends(plan, seed);
  closers.push(() => backends.stop());
  const network = new Network(plan.dataCentres);
  closers.push(() => network.close());
  await relayBackends(backends, network, platform);
  const operate = (...args: string[]): Promise<OperatorEnd> =>
    runOperator(platform.operatorsUrl, args);
  const file = await writeDeclarations(directory, 'declarations', [PROVE_MODEL]);
  const applied = await operate('apply', file, '--acknowledge', 'allows-repeats');
  if (applied.code !== 0) throw new LabError('apply-failed', applied.output);
  const fleet = await createFleet(context, platform, network);
  closers.push(() => fleet.stop());
  await fleet.start();
  return {
    plan,
    platform,
    backends,
    network,
    fleet,
    directory,
    stopViolations: [],
    operate,
    close,
  };
}

async function relayBackends(
  backends: RunningBackends,
  network: Network,
  platform: PlatformStandIn,
): Promise<void> {
  for (const [service, items] of backends.instances) {
    const relayed = await Promise.all(
      items.map(async (item) => ({ ...item, url: await network.relay(item.url, item.dataCentre) })),
    );
    backends.instances.set(service, relayed);
    platform.setInstances(service, relayed);
  }
}

async function createFleet(
  { plan, directory, settings }: ProveDeploymentContext,
  platform: PlatformStandIn,
  network: Network,
): Promise<FleetRunner> {
  const platformUrls: Record<string, string> = {};
  for (const [dataCentre, url] of Object.entries(platform.urls)) {
    setEntry(platformUrls, dataCentre, await network.relay(url));
  }
  return FleetRunner.create({
    slots: routerSlots(plan),
    platformUrls,
    network,
    directory,
    settings: () => settings,
    onInstances: (records) => {
      platform.setInstances(ROUTER_SERVICE, records);
    },
  });
}

/** Reads a consistent snapshot of ledger and journals; platform faults do not affect it. */
export function readMoney(platform: PlatformStandIn): MoneyView {
  return {
    ledgers: readAll<LedgerPage>(platform, 'ledgers'),
    journals: readAll<JournalState>(platform, 'journals'),
  };
}

/** Reads the bills of the open and closed segments. */
export function readBills(platform: PlatformStandIn): Bill[] {
  const open = readAll<JournalState>(platform, 'journals');
  const closed = readAll<BillSegment>(platform, 'segments').filter((segment) =>
    open.some(
      (journal) => journal.dataCentre === segment.dataCentre && segment.number < journal.segment,
    ),
  );
  return [...open, ...closed].flatMap(({ bills }) => bills);
}

/** Reads all values of a collection. */
export function readAll<T>(platform: PlatformStandIn, collection: string): T[] {
  return platform.table.list(collection).map(({ json }) => JSON.parse(json) as T);
}
