/** Processor time, memory and platform calls of real router processes. */

import type { CostLine, CostPoint, Progress } from './types.js';
import type { RouterStage } from './routerStage.js';
import { setTimeout as delay } from 'node:timers/promises';
import { fitCostLine, median } from './costLine.js';
import { startStage } from './routerStage.js';
import { LabError } from '../../utils/labError.js';

const MS_PER_SECOND = 1_000;
const SETTLE_MS = 4_000;
const REST_MS = 4_000;
const LOAD_SECONDS = 4;
/** Part of the requests that may fail before the figures mean nothing. */
const MAX_FAILED = 0.02;

/** Arrival rate and tokens of each answer; both are varied, so that both slopes can be told. */
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

/** Servers in the instance list, which a router probes. */
const PROBED_SERVERS = [4, 100, 300];

const ACCOUNTS = [100, 700, 2_200];

/** Loads under which calls are counted. */
const UNNAMED = [10, 20, 40].map((rate) => ({ rate, naming: 'none' as const }));
const KEYED = [10, 20, 40].map((rate) => ({ rate, naming: 'key' as const }));
const ONE_OF_EACH = [
  { rate: 20, naming: 'none' },
  { rate: 20, naming: 'key' },
] as const;

/** Fleets whose platform calls are counted. */
const CALL_RUNS = [
  { centres: 1, routersPerCentre: 2, loads: [...UNNAMED, ...KEYED] },
  { centres: 2, routersPerCentre: 2, loads: ONE_OF_EACH },
  { centres: 4, routersPerCentre: 2, loads: ONE_OF_EACH },
  { centres: 1, routersPerCentre: 8, loads: ONE_OF_EACH },
];
const CALL_KINDS = ['get', 'list', 'instances', 'create', 'update'];
const CALL_WORDS = 16;

/** Measures the request path: one router, several rates and lengths of answers. */
export async function measureRequests(seed: number, onProgress: Progress): Promise<CostLine[]> {
  const stage = await startStage({ centres: 1, routersPerCentre: 1, accounts: 10 });
  try {
    // the first requests compile the code and open the connections.
    await loadChecked(stage, { ratePerSecond: 40, words: 32, seconds: 3, seed });
    const rest = await cpuDuring(stage, () => delay(REST_MS));
    const points: CostPoint[] = [{ at: { requests: 0, tokens: 0 }, cost: rest.cpuMsPerSecond }];
    for (const load of LOADS) {
      onProgress(`one router, ${load.ratePerSecond} requests/s of ${load.words} tokens`);
      points.push(await measureLoad(stage, load, seed));
    }
    return [
      fitCostLine({
        name: 'router.cpu',
        unit: 'CPU ms/s',
        drivers: ['requests', 'tokens'],
        points,
      }),
      await measureProbes(stage, onProgress),
    ];
  } finally {
    await stage.stop();
  }
}

/** Processor time at rest against the servers that a router probes. */
async function measureProbes(stage: RouterStage, onProgress: Progress): Promise<CostLine> {
  const points: CostPoint[] = [];
  for (const servers of PROBED_SERVERS) {
    onProgress(`one router at rest, ${servers} servers`);
    stage.listServers(servers);
    await delay(SETTLE_MS);
    const used = await cpuDuring(stage, () => delay(REST_MS));
    points.push({ at: { servers }, cost: used.cpuMsPerSecond });
  }
  return fitCostLine({ name: 'router.probes', unit: 'CPU ms/s', drivers: ['servers'], points });
}

/** Measures memory against answers under way at once. */
export async function measureStreams(seed: number, onProgress: Progress): Promise<CostLine[]> {
  const stage = await startStage({
    centres: 1,
    routersPerCentre: 1,
    accounts: 10,
    decodeMs: STREAM_DECODE_MS,
  });
  try {
    await loadChecked(stage, { ratePerSecond: 20, words: 8, seconds: 2, seed });
    const points: CostPoint[] = [{ at: { streams: 0 }, cost: await memory(stage) }];
    for (const streams of STREAMS) {
      onProgress(`one router, ${streams} streams at once`);
      const ratePerSecond = streams / STREAM_ARRIVAL_SECONDS;
      const load = { ratePerSecond, words: STREAM_WORDS, seconds: STREAM_ARRIVAL_SECONDS, seed };
      const answers = loadChecked(stage, load);
      await delay((STREAM_ARRIVAL_SECONDS + 1) * MS_PER_SECOND);
      points.push({ at: { streams }, cost: await memory(stage) });
      await answers;
    }
    return [fitCostLine({ name: 'router.streams', unit: 'B', drivers: ['streams'], points })];
  } finally {
    await stage.stop();
  }
}

/** Measures memory and processor time at rest against declared accounts. */
export async function measureAccounts(onProgress: Progress): Promise<CostLine[]> {
  const bytes: CostPoint[] = [];
  const cpu: CostPoint[] = [];
  for (const accounts of ACCOUNTS) {
    onProgress(`one router at rest, ${accounts} accounts`);
    const stage = await startStage({ centres: 1, routersPerCentre: 1, accounts });
    try {
      await delay(SETTLE_MS);
      const rest = await cpuDuring(stage, () => delay(REST_MS));
      cpu.push({ at: { accounts }, cost: rest.cpuMsPerSecond });
      bytes.push({ at: { accounts }, cost: await memory(stage) });
    } finally {
      await stage.stop();
    }
  }
  const drivers = ['accounts'];
  return [
    fitCostLine({ name: 'router.accounts', unit: 'B', drivers, points: bytes }),
    fitCostLine({ name: 'router.rest', unit: 'CPU ms/s', drivers, points: cpu }),
  ];
}

/**
 * Counts platform calls by kind: at rest against data centres and routers, and under load against
 * requests too, without and with the callers' own keys.
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
    .map(({ at, calls }): CostPoint => ({ at, cost: calls[kind] ?? 0 }));
  return fitCostLine({ name: `calls.${load}.${kind}`, unit: 'calls/s', drivers, points });
}

async function countRun(
  { centres, routersPerCentre, loads }: (typeof CALL_RUNS)[number],
  seed: number,
): Promise<CountedCalls[]> {
  const stage = await startStage({ centres, routersPerCentre, accounts: 10 });
  const size = { centres, routers: centres * routersPerCentre };
  try {
    await delay(SETTLE_MS);
    const atRest = await countCalls(stage, () => delay(REST_MS));
    const counted: CountedCalls[] = [{ load: 'rest', at: { ...size, requests: 0 }, calls: atRest }];
    for (const [index, { rate, naming }] of loads.entries()) {
      const load = { ratePerSecond: rate, words: CALL_WORDS, seconds: LOAD_SECONDS, naming };
      // another seed for each load: the same one would repeat the keys of the last.
      const calls = await countCalls(stage, () =>
        loadChecked(stage, { ...load, seed: seed + index }),
      );
      counted.push({ load: naming, at: { ...size, requests: rate }, calls });
    }
    return counted;
  } finally {
    await stage.stop();
  }
}

async function measureLoad(
  stage: RouterStage,
  load: { ratePerSecond: number; words: number },
  seed: number,
): Promise<CostPoint> {
  const tokens = stage.tokens();
  let requests = 0;
  const used = await cpuDuring(stage, async () => {
    requests = await loadChecked(stage, { ...load, seconds: LOAD_SECONDS, seed });
  });
  const at = {
    requests: requests / used.seconds,
    tokens: (stage.tokens() - tokens) / used.seconds,
  };
  return { at, cost: used.cpuMsPerSecond };
}

async function countCalls(
  stage: RouterStage,
  work: () => Promise<unknown>,
): Promise<Record<string, number>> {
  const before = stage.calls();
  const startedAt = performance.now();
  await work();
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  const counts = Object.entries(stage.calls()).map(([kind, count]) => [
    kind,
    (count - (before[kind] ?? 0)) / seconds,
  ]);
  return Object.fromEntries(counts) as Record<string, number>;
}

async function cpuDuring(
  stage: RouterStage,
  work: () => Promise<unknown>,
): Promise<{ cpuMsPerSecond: number; seconds: number }> {
  const before = await stage.usage();
  const startedAt = performance.now();
  await work();
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  const after = await stage.usage();
  return { cpuMsPerSecond: (after.cpuMs - before.cpuMs) / seconds, seconds };
}

/** The middle of three readings, which a collection of garbage may lie between. */
async function memory(stage: RouterStage): Promise<number> {
  const readings: number[] = [];
  for (let i = 0; i < 3; i += 1) {
    readings.push((await stage.usage()).residentBytes);
    await delay(100);
  }
  return median(readings);
}

/** Runs a load and gives its requests; a load that was not answered measures something else. */
async function loadChecked(
  stage: RouterStage,
  load: Parameters<RouterStage['load']>[0],
): Promise<number> {
  const result = await stage.load(load);
  const failed = result.requests - result.whole + result.notStarted;
  if (failed > Math.max(1, result.requests * MAX_FAILED)) {
    const refusals = JSON.stringify(result.refusals);
    const message = `${failed} of ${result.requests} requests were not answered: ${refusals}`;
    throw new LabError('not-ready', message);
  }
  return result.requests;
}
