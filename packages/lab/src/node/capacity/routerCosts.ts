/** Measures processor time, memory and platform calls of real router processes. */

import type { CostLine, CostPoint, Progress } from './types.js';
import type { RouterDeployment } from './routerDeployment.js';
import { setTimeout as delay } from 'node:timers/promises';
import { entryOf } from '@flamingocourse/core';
import { fitCostLine, median } from './costLine.js';
import { startDeployment } from './routerDeployment.js';
import { LabError } from '../../utils/labError.js';

const MS_PER_SECOND = 1_000;
const SETTLE_MS = 4_000;
const REST_MS = 4_000;
const LOAD_SECONDS = 4;
/** Maximum fraction of failed requests for valid figures. */
const MAX_FAILED = 0.02;

/** Arrival rate and tokens per answer; both vary, so that both slopes can be determined. */
const LOADS = [
  { ratePerSecond: 20, words: 8 },
  { ratePerSecond: 40, words: 8 },
  { ratePerSecond: 80, words: 8 },
  { ratePerSecond: 20, words: 200 },
  { ratePerSecond: 40, words: 100 },
];

const STREAMS = [100, 400];
const STREAM_DECODE_MS = 200;
const STREAM_WORDS = 30;
const STREAM_ARRIVAL_SECONDS = 2;

/** Numbers of servers in the instance list, all of which a router probes. */
const PROBED_SERVERS = [4, 100, 300];

const ACCOUNTS = [100, 700, 2_200];

/** Loads under which platform calls are counted. */
const LOADS_WITHOUT_KEY = [10, 20, 40].map((rate) => ({ rate, naming: 'none' as const }));
const LOADS_WITH_KEY = [10, 20, 40].map((rate) => ({ rate, naming: 'key' as const }));
const LOADS_WITH_AND_WITHOUT_KEY = [
  { rate: 20, naming: 'none' },
  { rate: 20, naming: 'key' },
] as const;

/** Fleets whose platform calls are counted. */
const CALL_RUNS = [
  { centres: 1, routersPerCentre: 2, loads: [...LOADS_WITHOUT_KEY, ...LOADS_WITH_KEY] },
  { centres: 2, routersPerCentre: 2, loads: LOADS_WITH_AND_WITHOUT_KEY },
  { centres: 4, routersPerCentre: 2, loads: LOADS_WITH_AND_WITHOUT_KEY },
  { centres: 1, routersPerCentre: 8, loads: LOADS_WITH_AND_WITHOUT_KEY },
];
const CALL_KINDS = ['get', 'list', 'instances', 'create', 'update'];
const CALL_WORDS = 16;

/** Measures the request path of one router at several arrival rates and answer lengths. */
export async function measureRequests(seed: number, onProgress: Progress): Promise<CostLine[]> {
  const deployment = await startDeployment({ centres: 1, routersPerCentre: 1, accounts: 10 });
  try {
    // warm-up: the first requests compile the code and open the connections.
    await loadChecked(deployment, { ratePerSecond: 40, words: 32, seconds: 3, seed });
    const rest = await cpuDuring(deployment, () => delay(REST_MS));
    const points: CostPoint[] = [{ at: { requests: 0, tokens: 0 }, cost: rest.cpuMsPerSecond }];
    for (const load of LOADS) {
      onProgress(`one router, ${load.ratePerSecond} requests/s of ${load.words} tokens`);
      points.push(await measureLoad(deployment, load, seed));
    }
    return [
      fitCostLine({
        name: 'router.cpu',
        unit: 'CPU ms/s',
        drivers: ['requests', 'tokens'],
        points,
      }),
      await measureProbes(deployment, onProgress),
    ];
  } finally {
    await deployment.stop();
  }
}

/** Measures processor time at rest for different numbers of probed servers. */
async function measureProbes(
  deployment: RouterDeployment,
  onProgress: Progress,
): Promise<CostLine> {
  const points: CostPoint[] = [];
  for (const servers of PROBED_SERVERS) {
    onProgress(`one router at rest, ${servers} servers`);
    deployment.listServers(servers);
    await delay(SETTLE_MS);
    const used = await cpuDuring(deployment, () => delay(REST_MS));
    points.push({ at: { servers }, cost: used.cpuMsPerSecond });
  }
  return fitCostLine({ name: 'router.probes', unit: 'CPU ms/s', drivers: ['servers'], points });
}

/** Measures memory for different numbers of concurrent answers. */
export async function measureStreams(seed: number, onProgress: Progress): Promise<CostLine[]> {
  const deployment = await startDeployment({
    centres: 1,
    routersPerCentre: 1,
    accounts: 10,
    decodeMs: STREAM_DECODE_MS,
  });
  try {
    await loadChecked(deployment, { ratePerSecond: 20, words: 8, seconds: 2, seed });
    const points: CostPoint[] = [{ at: { streams: 0 }, cost: await memory(deployment) }];
    for (const streams of STREAMS) {
      onProgress(`one router, ${streams} streams at once`);
      const ratePerSecond = streams / STREAM_ARRIVAL_SECONDS;
      const load = { ratePerSecond, words: STREAM_WORDS, seconds: STREAM_ARRIVAL_SECONDS, seed };
      const answers = loadChecked(deployment, load);
      await delay((STREAM_ARRIVAL_SECONDS + 1) * MS_PER_SECOND);
      points.push({ at: { streams }, cost: await memory(deployment) });
      await answers;
    }
    return [fitCostLine({ name: 'router.streams', unit: 'B', drivers: ['streams'], points })];
  } finally {
    await deployment.stop();
  }
}

/** Measures memory and processor time at rest for different numbers of declared accounts. */
export async function measureAccounts(onProgress: Progress): Promise<CostLine[]> {
  const bytes: CostPoint[] = [];
  const cpu: CostPoint[] = [];
  for (const accounts of ACCOUNTS) {
    onProgress(`one router at rest, ${accounts} accounts`);
    const deployment = await startDeployment({ centres: 1, routersPerCentre: 1, accounts });
    try {
      await delay(SETTLE_MS);
      const rest = await cpuDuring(deployment, () => delay(REST_MS));
      cpu.push({ at: { accounts }, cost: rest.cpuMsPerSecond });
      bytes.push({ at: { accounts }, cost: await memory(deployment) });
    } finally {
      await deployment.stop();
    }
  }
  const drivers = ['accounts'];
  return [
    fitCostLine({ name: 'router.accounts', unit: 'B', drivers, points: bytes }),
    fitCostLine({ name: 'router.rest', unit: 'CPU ms/s', drivers, points: cpu }),
  ];
}

/**
 * Counts platform calls by kind. At rest, the drivers are data centres and routers; under load,
 * with and without idempotency keys, requests are a driver too.
 */
export async function measureCalls(seed: number, onProgress: Progress): Promise<CostLine[]> {
  const counted: CountedCalls[] = [];
  for (const run of CALL_RUNS) {
    onProgress(`platform calls of ${run.centres} x ${run.routersPerCentre} routers`);
    counted.push(...(await countRun(run, seed)));
  }
  return CALL_KINDS.flatMap((kind) => [
    callLine('rest', kind, ['centres', 'routers'], counted),
    callLine('none', kind, ['centres', 'routers', 'requests'], counted),
    callLine('key', kind, ['centres', 'routers', 'requests'], counted),
  ]);
}

interface CountedCalls {
  load: 'rest' | 'none' | 'key';
  at: { centres: number; routers: number; requests: number };
  calls: Record<string, number>;
}

function callLine(
  load: CountedCalls['load'],
  kind: string,
  drivers: string[],
  counted: CountedCalls[],
): CostLine {
  const points = counted
    .filter((one) => one.load === load)
    .map(({ at, calls }): CostPoint => ({ at, cost: entryOf(calls, kind) ?? 0 }));
  return fitCostLine({ name: `calls.${load}.${kind}`, unit: 'calls/s', drivers, points });
}

async function countRun(
  { centres, routersPerCentre, loads }: (typeof CALL_RUNS)[number],
  seed: number,
): Promise<CountedCalls[]> {
  const deployment = await startDeployment({ centres, routersPerCentre, accounts: 10 });
  const size = { centres, routers: centres * routersPerCentre };
  try {
    await delay(SETTLE_MS);
    const atRest = await countCalls(deployment, () => delay(REST_MS));
    const counted: CountedCalls[] = [{ load: 'rest', at: { ...size, requests: 0 }, calls: atRest }];
    for (const [index, { rate, naming }] of loads.entries()) {
      const load = { ratePerSecond: rate, words: CALL_WORDS, seconds: LOAD_SECONDS, naming };
      // each load has its own seed: the same seed would repeat the keys of the previous load.
      const calls = await countCalls(deployment, () =>
        loadChecked(deployment, { ...load, seed: seed + index }),
      );
      counted.push({ load: naming, at: { ...size, requests: rate }, calls });
    }
    return counted;
  } finally {
    await deployment.stop();
  }
}

async function measureLoad(
  deployment: RouterDeployment,
  load: { ratePerSecond: number; words: number },
  seed: number,
): Promise<CostPoint> {
  const tokens = deployment.tokens();
  let requests = 0;
  const used = await cpuDuring(deployment, async () => {
    requests = await loadChecked(deployment, { ...load, seconds: LOAD_SECONDS, seed });
  });
  const at = {
    requests: requests / used.seconds,
    tokens: (deployment.tokens() - tokens) / used.seconds,
  };
  return { at, cost: used.cpuMsPerSecond };
}

async function countCalls(
  deployment: RouterDeployment,
  work: () => Promise<unknown>,
): Promise<Record<string, number>> {
  const before = deployment.calls();
  const startedAt = performance.now();
  await work();
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  const counts = Object.entries(deployment.calls()).map(([kind, count]) => [
    kind,
    (count - (entryOf(before, kind) ?? 0)) / seconds,
  ]);
  return Object.fromEntries(counts) as Record<string, number>;
}

async function cpuDuring(
  deployment: RouterDeployment,
  work: () => Promise<unknown>,
): Promise<{ cpuMsPerSecond: number; seconds: number }> {
  const before = await deployment.usage();
  const startedAt = performance.now();
  await work();
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  const after = await deployment.usage();
  return { cpuMsPerSecond: (after.cpuMs - before.cpuMs) / seconds, seconds };
}

/** Returns the median of three readings of resident memory, to smooth garbage collections. */
async function memory(deployment: RouterDeployment): Promise<number> {
  const readings: number[] = [];
  for (let i = 0; i < 3; i += 1) {
    readings.push((await deployment.usage()).residentBytes);
    await delay(100);
  }
  return median(readings);
}

/**
 * Runs a load and returns the number of requests. Throws `not-ready` if too many were not answered,
 * because the figures would then not describe this load.
 */
async function loadChecked(
  deployment: RouterDeployment,
  load: Parameters<RouterDeployment['load']>[0],
): Promise<number> {
  const result = await deployment.load(load);
  const failed = result.requests - result.whole + result.notStarted;
  if (failed > Math.max(1, result.requests * MAX_FAILED)) {
    const refusals = JSON.stringify(result.refusals);
    const message = `${failed} of ${result.requests} requests were not answered: ${refusals}`;
    throw new LabError('not-ready', message);
  }
  return result.requests;
}
