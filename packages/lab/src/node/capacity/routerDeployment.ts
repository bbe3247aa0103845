/** Real router processes with stand-ins, to measure processor time, memory and platform calls. */

import type { InstanceRecord } from '@flamingocourse/core';
import type { LoadResult, Naming } from '../../types/load.js';
import type { EngineStandIn } from '../engineStandIn/index.js';
import type { PlatformStandIn } from '../platformStandIn/index.js';
import type { ProcessUsage } from './cpuTime.js';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { entryOf, setEntry } from '@flamingocourse/core';
import { createEngineStandIn } from '../engineStandIn/index.js';
import { FleetRunner } from '../fleetRunner/index.js';
import { runLoad } from '../loadGenerator/index.js';
import { createPlatformStandIn } from '../platformStandIn/index.js';
import { accountKey, declareAccounts, declareService, measured } from './capacityDeclarations.js';
import { readProcessUsage } from './cpuTime.js';

const ENGINES = 4;
const ENGINE_SLOTS = 2_000;
const ROUTER_SERVICE = 'flamingocourse-router';
/** Above the needs of the measurements, so that the stand-in's rate limits have no effect. */
const CALLS_PER_SECOND = 100_000;
/** Maximum number of accounts that send requests. */
const CALLING_ACCOUNTS = 10;

/** Size of a deployment. */
export interface DeploymentOptions {
  centres: number;
  routersPerCentre: number;
  accounts: number;
  /** Milliseconds between two tokens of an answer. @default 2 */
  decodeMs?: number;
}

/** A running deployment. */
export interface RouterDeployment {
  platform: PlatformStandIn;
  fleet: FleetRunner;
  /** Reads the resource usage of the first router. */
  usage(): Promise<ProcessUsage>;
  /** Platform calls so far, by kind. */
  calls(): Record<string, number>;
  /** Tokens that all engines have written so far. */
  tokens(): number;
  /** Sets the number of servers in the instance list; several of them share an engine. */
  listServers(count: number): void;
  /** Runs a load of streams of `words` tokens; resolves when all have ended. */
  load(options: DeploymentLoad): Promise<LoadResult>;
  stop(): Promise<void>;
}

/** Options of a load. */
export interface DeploymentLoad {
  ratePerSecond: number;
  seconds: number;
  words: number;
  seed: number;
  /** @default 'none' */
  naming?: Naming;
}

/** Starts all components; if one fails, stops those already started. */
export async function startDeployment(options: DeploymentOptions): Promise<RouterDeployment> {
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
    return createDeployment(options, { platform, engines, fleet, stop });
  } catch (err) {
    await stop();
    throw err;
  }
}

interface DeploymentParts {
  platform: PlatformStandIn;
  engines: EngineStandIn[];
  fleet: FleetRunner;
  stop: () => Promise<void>;
}

function createDeployment(options: DeploymentOptions, parts: DeploymentParts): RouterDeployment {
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
    load: (load) => runDeploymentLoad(options, fleet, load),
  };
}

async function startPlatform({ centres, accounts }: DeploymentOptions): Promise<PlatformStandIn> {
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
  options: DeploymentOptions,
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
  { centres }: DeploymentOptions,
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
  options: DeploymentOptions,
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

function runDeploymentLoad(
  { accounts }: DeploymentOptions,
  fleet: FleetRunner,
  { words, naming = 'none', ...load }: DeploymentLoad,
): Promise<LoadResult> {
  return runLoad({
    ...load,
    targets: fleet.entryUrls.map((url) => ({ url, weight: 1 })),
    // the account name is part of the prompt, where it sets the length of the answer.
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
    for (const [kind, count] of Object.entries(counters))
      setEntry(sums, kind, (entryOf(sums, kind) ?? 0) + count);
  }
  return sums;
}

function centreNames(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `dc-${index + 1}`);
}
