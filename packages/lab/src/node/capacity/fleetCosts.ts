/**
 * Measures traffic and processor time of membership and configuration. The real services of many
 * routers run in this process over real connections, without the request path. Both ends of each
 * call run here, so that the total divided by the number of nodes is the cost of one node.
 */

import type { Kernel } from '@flamingocourse/kernel';
import type { ObjectStore } from '@flamingocourse/store';
import type { RouterContext, RouterSettings } from '@flamingocourse/router';
import type { CostLine, CostPoint, Progress } from './types.js';
import { setTimeout as delay } from 'node:timers/promises';
import {
  BackgroundWork,
  Kernel as MicroKernel,
  MemoryEventLog,
  NoMetrics,
  SystemClock,
} from '@flamingocourse/kernel';
import { MeshClient, MeshServer } from '@flamingocourse/mesh';
import { MemoryObjectStore } from '@flamingocourse/store';
import { ConfigurationService, FleetService, settingsDefaults } from '@flamingocourse/router';
import { LabError } from '../../utils/labError.js';
import { declareAccounts, declaredAccount, declareOne } from './capacityDeclarations.js';
import { fitCostLine } from './costLine.js';
import { ownCpuMs } from './cpuTime.js';
import { TrafficMeter } from './trafficMeter.js';

const HOST = '127.0.0.1';
const CENTRES = 4;
/** Heartbeats until each node knows its peers, and heartbeats measured after that. */
const SETTLE_HEARTBEATS = 6;
const MEASURED_HEARTBEATS = 8;
/** Maximum number of local peers, and fraction of the other data centres, that get a heartbeat. */
const LOCAL_TARGETS = 6;
const REMOTE_SHARE = 1 / 4;
const CHANGES = 8;
const CHANGE_GAP_MS = 400;
/**
 * Time limit for the changes to be in force. Larger fleets use longer heartbeat intervals here, so
 * this is not a measurement of latency.
 */
const IN_FORCE_MS = 20_000;
/**
 * Number of nodes that one process can run at the default heartbeat interval. With more nodes, the
 * interval is proportionally longer and the cost at rest is scaled up accordingly: the cost of a
 * heartbeat does not depend on the interval, but a saturated process would skip heartbeats and the
 * measured cost would be too low.
 */
const NODES_AT_DEFAULT_INTERVAL = 24;
/** Number of nodes that start concurrently. */
const MAX_CONCURRENT_STARTS = 16;
const MS_PER_SECOND = 1_000;

/** Fleets measured at rest and under changes; the number of objects varies with few nodes. */
const RUNS = [
  { nodes: 8, objects: 100 },
  { nodes: 32, objects: 100 },
  { nodes: 128, objects: 100 },
  { nodes: 8, objects: 700 },
  { nodes: 8, objects: 2_200 },
];

interface FleetNode {
  kernel: Kernel;
  mesh: MeshClient;
  configuration: ConfigurationService;
}

interface FleetFigures {
  nodes: number;
  objects: number;
  restBytes: number;
  restCpuMs: number;
  changeBytes: number;
  changeCpuMs: number;
}

/** Measures all runs, one after another. */
export async function measureFleets(onProgress: Progress): Promise<CostLine[]> {
  const figures: FleetFigures[] = [];
  for (const run of RUNS) {
    onProgress(`fleet of ${run.nodes} nodes in this process, ${run.objects} objects`);
    figures.push(await measureFleet(run));
  }
  const atRest = figures.filter(({ objects }) => objects === RUNS[0]?.objects);
  // each node fetches a change once, so the cost depends on its objects, not on the fleet size.
  const drivers = ['objects'];
  return [
    createLine('heartbeat.bytes', 'B/s a node', ['targets'], atRest, (item) => item.restBytes),
    createLine('heartbeat.cpu', 'CPU ms/s a node', ['targets'], atRest, (item) => item.restCpuMs),
    createLine('change.bytes', 'B a change and node', drivers, figures, (item) => item.changeBytes),
    createLine(
      'change.cpu',
      'CPU ms a change and node',
      drivers,
      figures,
      (item) => item.changeCpuMs,
    ),
  ];
}

function createLine(
  name: string,
  unit: string,
  drivers: string[],
  figures: FleetFigures[],
  costOf: (item: FleetFigures) => number,
): CostLine {
  const points = figures.map((item): CostPoint => {
    const { nodes, objects } = item;
    const targets = heartbeatTargetsOf(nodes / CENTRES, CENTRES);
    return { at: { nodes, objects, targets }, cost: costOf(item) };
  });
  return fitCostLine({ name, unit, drivers, points });
}

async function measureFleet(run: { nodes: number; objects: number }): Promise<FleetFigures> {
  const store = new MemoryObjectStore();
  declareAccounts(store.table, run.objects);
  const meter = new TrafficMeter();
  meter.start();
  const fleet = await startFleet(store, run.nodes);
  try {
    const heartbeatMs = settingsDefaults.mesh.heartbeatMs * heartbeatFactor(run.nodes);
    await delay(heartbeatMs * SETTLE_HEARTBEATS);
    const rest = await measureWork(meter, () => delay(heartbeatMs * MEASURED_HEARTBEATS));
    const busy = await measureWork(meter, () => changeRepeatedly(store, fleet));
    const perNode = (amount: number): number => amount / run.nodes;
    const restBytes = perNode(rest.bytes) / rest.seconds;
    const restCpuMs = perNode(rest.cpuMs) / rest.seconds;
    const factor = heartbeatFactor(run.nodes);
    return {
      ...run,
      restBytes: restBytes * factor,
      restCpuMs: restCpuMs * factor,
      changeBytes: (perNode(busy.bytes) - restBytes * busy.seconds) / CHANGES,
      changeCpuMs: (perNode(busy.cpuMs) - restCpuMs * busy.seconds) / CHANGES,
    };
  } finally {
    meter.stop();
    await stopFleet(fleet);
  }
}

/** Measures traffic, processor time and duration of some work. */
async function measureWork(
  meter: TrafficMeter,
  work: () => Promise<unknown>,
): Promise<{ bytes: number; cpuMs: number; seconds: number }> {
  const before = { bytes: meter.bytes, cpuMs: ownCpuMs(), at: performance.now() };
  await work();
  return {
    bytes: meter.bytes - before.bytes,
    cpuMs: ownCpuMs() - before.cpuMs,
    seconds: (performance.now() - before.at) / MS_PER_SECOND,
  };
}

async function changeRepeatedly(store: MemoryObjectStore, fleet: FleetNode[]): Promise<void> {
  for (let change = 1; change <= CHANGES; change += 1) {
    declareOne(store.table, declaredAccount(0, change));
    await delay(CHANGE_GAP_MS);
  }
  await waitUntilInForce(fleet, Number(store.table.version));
}

async function waitUntilInForce(fleet: FleetNode[], revision: number): Promise<void> {
  const end = performance.now() + IN_FORCE_MS;
  while (fleet.some(({ configuration }) => configuration.revision < revision)) {
    if (performance.now() > end) {
      const message = `a change was not in force at all ${fleet.length} nodes after ${IN_FORCE_MS} ms`;
      throw new LabError('not-ready', message);
    }
    await delay(CHANGE_GAP_MS / 4);
  }
}

async function startFleet(store: ObjectStore, count: number): Promise<FleetNode[]> {
  const fleet: FleetNode[] = [];
  const seeds: string[] = [];
  while (fleet.length < count) {
    const first = fleet.length;
    // the first node starts alone: it is the seed of the next ones.
    const size = first === 0 ? 1 : Math.min(MAX_CONCURRENT_STARTS, count - first);
    const started = Array.from({ length: size }, (_, i) =>
      startNode(store, createContext(first + i, count, seeds.slice(0, CENTRES))),
    );
    for (const { node, url } of await Promise.all(started)) {
      fleet.push(node);
      seeds.push(url);
    }
  }
  return fleet;
}

async function startNode(
  store: ObjectStore,
  context: RouterContext,
): Promise<{ node: FleetNode; url: string }> {
  const server = new MeshServer({ host: HOST, port: 0 });
  const mesh = new MeshClient();
  const configuration = new ConfigurationService({ context, mesh, store });
  const membership = new FleetService({ context, mesh, store });
  const kernel = new MicroKernel().register(server).register(membership).register(configuration);
  await kernel.start();
  membership.setState('serving');
  return { node: { kernel, mesh, configuration }, url: server.url };
}

/**
 * Returns the mean number of peers that get one heartbeat of a router: some of its own data centre,
 * and one of each other data centre in turn.
 *
 * @example
 * heartbeatTargetsOf(127, 22); // 11.25
 */
export function heartbeatTargetsOf(nodesPerCentre: number, centres: number): number {
  return Math.min(LOCAL_TARGETS, nodesPerCentre - 1) + (centres - 1) * REMOTE_SHARE;
}

/** Ratio of the heartbeat interval to the default. */
function heartbeatFactor(nodes: number): number {
  return Math.max(1, nodes / NODES_AT_DEFAULT_INTERVAL);
}

async function stopFleet(fleet: FleetNode[]): Promise<void> {
  await Promise.all(fleet.map(({ kernel }) => kernel.stop()));
  for (const { mesh } of fleet) mesh.close();
}

function createContext(index: number, count: number, seeds: string[]): RouterContext {
  const factor = heartbeatFactor(count);
  const { heartbeatMs, suspectMs, goneMs } = settingsDefaults.mesh;
  const times = {
    heartbeatMs: heartbeatMs * factor,
    suspectMs: suspectMs * factor,
    goneMs: goneMs * factor,
  };
  const settings = {
    instance: `router-${index}`,
    dataCentre: `dc-${index % CENTRES}`,
    entry: { publicUrl: `http://${HOST}:${index + 1}` },
    // with port 0, the fleet service announces the address of its listener.
    mesh: { ...settingsDefaults.mesh, ...times, port: 0, publicUrl: '', seeds },
  } as unknown as RouterSettings;
  return {
    settings,
    clock: new SystemClock(),
    log: new MemoryEventLog(),
    metrics: new NoMetrics(),
    background: new BackgroundWork(),
  };
}
