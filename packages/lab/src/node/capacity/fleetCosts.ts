/**
 * Bytes and processor time of membership and configuration: the real services of many routers in
 * this process, over real connections, without the request path. Both ends of each call run here,
 * so a node's part of the total is what a node sends and does.
 */

import type { Kernel } from '@flamingocourse/kernel';
import type { ObjectStore } from '@flamingocourse/store';
import type { RouterContext, RouterSettings } from '@flamingocourse/router';
import type { CostLine, CostPoint, Progress } from './types.js';
import { setTimeout as delay } from 'node:timers/promises';
import {
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
/** Beats until every node knows its peers, and beats that are measured after that. */
const SETTLE_BEATS = 6;
const MEASURED_BEATS = 8;
/** Most peers of the own data centre, and part of the other ones, that get one beat. */
const LOCAL_TARGETS = 6;
const REMOTE_SHARE = 1 / 4;
const CHANGES = 8;
const CHANGE_GAP_MS = 400;
/** Longest wait for the changes; larger fleets beat slower here, so this is no measure of speed. */
const IN_FORCE_MS = 20_000;
/**
 * Nodes that one process carries at the default beat. With more of them beats are longer in
 * proportion, and the cost at rest is scaled back: the cost of a beat does not depend on its length,
 * but a saturated process would skip beats and show too little.
 */
const NODES_AT_FULL_BEAT = 24;
/** Nodes started at once. */
const STARTED_AT_ONCE = 16;
const MS_PER_SECOND = 1_000;

/** Fleets at rest and under changes; the number of objects is varied with few nodes. */
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

/** Measures all runs, one after the other. */
export async function measureFleets(onProgress: Progress): Promise<CostLine[]> {
  const figures: FleetFigures[] = [];
  for (const run of RUNS) {
    onProgress(`fleet of ${run.nodes} nodes in this process, ${run.objects} objects`);
    figures.push(await measureFleet(run));
  }
  const atRest = figures.filter(({ objects }) => objects === RUNS[0]?.objects);
  // each node fetches a change once, so its cost depends on what it holds and not on the fleet.
  const drivers = ['objects'];
  return [
    line('heartbeat.bytes', 'B/s a node', ['targets'], atRest, (item) => item.restBytes),
    line('heartbeat.cpu', 'CPU ms/s a node', ['targets'], atRest, (item) => item.restCpuMs),
    line('change.bytes', 'B a change and node', drivers, figures, (item) => item.changeBytes),
    line('change.cpu', 'CPU ms a change and node', drivers, figures, (item) => item.changeCpuMs),
  ];
}

function line(
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
    const beatMs = settingsDefaults.mesh.heartbeatMs * beatFactor(run.nodes);
    await delay(beatMs * SETTLE_BEATS);
    const rest = await window(meter, () => delay(beatMs * MEASURED_BEATS));
    const busy = await window(meter, () => changeRepeatedly(store, fleet));
    const perNode = (amount: number): number => amount / run.nodes;
    const restBytes = perNode(rest.bytes) / rest.seconds;
    const restCpuMs = perNode(rest.cpuMs) / rest.seconds;
    const slowing = beatFactor(run.nodes);
    return {
      ...run,
      restBytes: restBytes * slowing,
      restCpuMs: restCpuMs * slowing,
      changeBytes: (perNode(busy.bytes) - restBytes * busy.seconds) / CHANGES,
      changeCpuMs: (perNode(busy.cpuMs) - restCpuMs * busy.seconds) / CHANGES,
    };
  } finally {
    meter.stop();
    await stopFleet(fleet);
  }
}

/** What passes while something is done. */
async function window(
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
  await untilInForce(fleet, Number(store.table.version));
}

async function untilInForce(fleet: FleetNode[], revision: number): Promise<void> {
  const end = performance.now() + IN_FORCE_MS;
  while (fleet.some(({ configuration }) => configuration.revision < revision)) {
    if (performance.now() > end) {
      const message = `a change was not in force at all ${fleet.length} nodes in ${IN_FORCE_MS} ms`;
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
    // the first one starts alone: it is the address at which all others ask.
    const size = first === 0 ? 1 : Math.min(STARTED_AT_ONCE, count - first);
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
 * Peers that get one beat of a router: some of its own data centre and, in turns, one of each other.
 *
 * @example
 * heartbeatTargetsOf(127, 22); // 11.25
 */
export function heartbeatTargetsOf(nodesPerCentre: number, centres: number): number {
  return Math.min(LOCAL_TARGETS, nodesPerCentre - 1) + (centres - 1) * REMOTE_SHARE;
}

/** How many times longer the beats are than by default. */
function beatFactor(nodes: number): number {
  return Math.max(1, nodes / NODES_AT_FULL_BEAT);
}

async function stopFleet(fleet: FleetNode[]): Promise<void> {
  await Promise.all(fleet.map(({ kernel }) => kernel.stop()));
  for (const { mesh } of fleet) mesh.close();
}

function createContext(index: number, count: number, seeds: string[]): RouterContext {
  const factor = beatFactor(count);
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
    // with port 0 the fleet takes the address of its listener.
    mesh: { ...settingsDefaults.mesh, ...times, port: 0, publicUrl: '', seeds },
  } as unknown as RouterSettings;
  return {
    settings,
    clock: new SystemClock(),
    log: new MemoryEventLog(),
    metrics: new NoMetrics(),
  };
}
