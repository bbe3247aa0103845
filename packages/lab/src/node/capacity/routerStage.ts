/** Real router processes before stand-ins, for the measurements of processor time and calls. */

import type { InstanceRecord } from '@flamingocourse/core';
import type { LoadResult, Naming } from '../../types/load.js';
import type { EngineStandIn } from '../engineStandIn/index.js';
import type { PlatformStandIn } from '../platformStandIn/index.js';
import type { ProcessUsage } from './cpuTime.js';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createEngineStandIn } from '../engineStandIn/index.js';
import { FleetRunner } from '../fleetRunner/index.js';
import { runLoad } from '../loadGenerator/index.js';
import { createPlatformStandIn } from '../platformStandIn/index.js';
import { accountKey, declareAccounts, declareService, measured } from './capacityDeclarations.js';
import { readProcessUsage } from './cpuTime.js';

const ENGINES = 4;
const ENGINE_SLOTS = 2_000;
const ROUTER_SERVICE = 'flamingocourse-router';
/** More than the measurements need, so that the stand-in's rates do not shape the calls. */
const CALLS_PER_SECOND = 100_000;
/** Accounts that the load calls for, as far as there are so many. */
const CALLING_ACCOUNTS = 10;

/** What a stage consists of. */
export interface StageOptions {
  centres: number;
  routersPerCentre: number;
  accounts: number;
  /** Milliseconds between two tokens of an engine. @default 2 */
  decodeMs?: number;
}

/** A running stage. */
export interface RouterStage {
  platform: PlatformStandIn;
  fleet: FleetRunner;
  /** Usage of the first router. */
  usage(): Promise<ProcessUsage>;
  /** Calls that the platform has taken so far, by kind. */
  calls(): Record<string, number>;
  /** Tokens that all engines have written so far. */
  tokens(): number;
  /** Shows this many servers in the instance list; several share an engine. */
  listServers(count: number): void;
  /** Streams under an arrival rate, each of `words` tokens; resolves with the last answer. */
  load(options: StageLoad): Promise<LoadResult>;
  stop(): Promise<void>;
}

/** A bounded load. */
export interface StageLoad {
  ratePerSecond: number;
  seconds: number;
  words: number;
  seed: number;
  /** @default 'none' */
  naming?: Naming;
}

/** Starts everything; what was started is stopped again when a part fails to start. */
export async function startStage(options: StageOptions): Promise<RouterStage> {
  const closers: (() => Promise<unknown>)[] = [];
  const stop = async (): Promise<void> => {
    for (const close of closers.reverse()) await close();
  };
  try {
    const platform = await startPlatform(options);
    closers.push(() => platform.close());
    const engines = await startEngines(options, platform);
    closers.push(() => Promise.all(engines.map((engine) => engine.stop())));
    const fleet = await createFleet(options, platform, closers);
    await fleet.start();
    return createStage(options, { platform, engines, fleet, stop });
  } catch (err) {
    await stop();
    throw err;
  }
}

interface StageParts {
  platform: PlatformStandIn;
  engines: EngineStandIn[];
  fleet: FleetRunner;
  stop: () => Promise<void>;
}

function createStage(options: StageOptions, parts: StageParts): RouterStage {
  const { platform, engines, fleet, stop } = parts;
  return {
    platform,
    fleet,
    stop,
    usage: () => readProcessUsage(fleet.routers[0]?.pid ?? 0),
    calls: () => sumCalls(platform),
    tokens: () => engines.reduce((sum, engine) => sum + engine.counters.tokensWritten, 0),
    listServers: (count) => {
      listServers(options, platform, engines, count);
    },
    load: (load) => runStageLoad(options, fleet, load),
  };
}

async function startPlatform({ centres, accounts }: StageOptions): Promise<PlatformStandIn> {
  const listenPorts = Object.fromEntries(centreNames(centres).map((name) => [name, 0]));
  const platform = await createPlatformStandIn({
    listenPorts,
    readsPerSecond: CALLS_PER_SECOND,
    writesPerSecond: CALLS_PER_SECOND,
  });
  declareService(platform.table);
  declareAccounts(platform.table, accounts);
  return platform;
}

async function startEngines(
  options: StageOptions,
  platform: PlatformStandIn,
): Promise<EngineStandIn[]> {
  const engines: EngineStandIn[] = [];
  for (let index = 0; index < ENGINES; index += 1) {
    const engine = await createEngineStandIn({
      slots: ENGINE_SLOTS,
      prefillMsPerToken: 0,
      decodeMs: options.decodeMs ?? 2,
      decodeMsPerRequest: 0,
    });
    engines.push(engine);
  }
  listServers(options, platform, engines, ENGINES);
  return engines;
}

function listServers(
  { centres }: StageOptions,
  platform: PlatformStandIn,
  engines: EngineStandIn[],
  count: number,
): void {
  const { service } = measured;
  const records = Array.from({ length: count }, (_, index): InstanceRecord => {
    return {
      service,
      id: `${service}-${index + 1}`,
      dataCentre: centreNames(centres)[index % centres] ?? '',
      url: engines[index % engines.length]?.url ?? '',
      state: 'live',
    };
  });
  platform.setInstances(service, records);
}

async function createFleet(
  options: StageOptions,
  platform: PlatformStandIn,
  closers: (() => Promise<unknown>)[],
): Promise<FleetRunner> {
  const directory = await mkdtemp(join(tmpdir(), 'flamingocourse-capacity-'));
  closers.push(() => rm(directory, { recursive: true }));
  const slots = centreNames(options.centres).flatMap((dataCentre) =>
    Array.from({ length: options.routersPerCentre }, (_, i) => ({
      instance: `router-${i + 1}`,
      dataCentre,
    })),
  );
  const fleet = await FleetRunner.create({
    slots,
    platformUrls: platform.urls,
    directory,
    onInstances: (records) => {
      platform.setInstances(ROUTER_SERVICE, records);
    },
  });
  closers.push(() => fleet.stop());
  return fleet;
}

function runStageLoad(
  { accounts }: StageOptions,
  fleet: FleetRunner,
  { words, naming = 'none', ...load }: StageLoad,
): Promise<LoadResult> {
  return runLoad({
    ...load,
    targets: fleet.entryUrls.map((url) => ({ url, weight: 1 })),
    // the name goes into the prompt, where it asks the stand-in for an answer of this length.
    accounts: Array.from({ length: Math.min(accounts, CALLING_ACCOUNTS) }, (_, i) => ({
      name: `words=${words}`,
      apiKey: accountKey(i),
      weight: 1,
    })),
    mix: [
      {
        type: 'chat',
        workClass: measured.workClass,
        model: measured.model,
        weight: 1,
        naming,
        streamShare: 1,
        maxTokens: words,
        sharedPrefixWords: 16,
      },
    ],
    slowReaderShare: 0,
    hangUpShare: 0,
  });
}

function sumCalls(platform: PlatformStandIn): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const { counters } of Object.values(platform.state().entrances)) {
    for (const [kind, count] of Object.entries(counters)) sums[kind] = (sums[kind] ?? 0) + count;
  }
  return sums;
}

function centreNames(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `dc-${index + 1}`);
}
