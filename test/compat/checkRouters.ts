/**
 * Checks two builds of the router in one fleet, on journals, ledgers and settings written by one of
 * them.
 */

import type { Declaration, JournalState, LedgerPage } from '@flamingocourse/core';
import type { LoadResult } from '../../packages/lab/src/types/load.js';
import type { PlatformStandIn } from '../../packages/lab/src/node/platformStandIn/index.js';
import type { Build } from './builds.js';
import type { CompatReport } from './report.js';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import {
  FleetRunner,
  applyExamples,
  auditEntries,
  declaredLoad,
  deployments,
  findViolations,
  computeSpend,
  routerSlots,
  runLoad,
  startBackends,
} from '@flamingocourse/lab';
import { createPlatformStandIn } from '../../packages/lab/src/node/platformStandIn/index.js';

const DEPLOYMENT = 'svifvakt';
const ROUTER_SERVICE = 'flamingocourse-router';
const RATE_PER_SECOND = 20;
/** Duration of the load in seconds. */
const LOAD_SECONDS = 16;
/** Milliseconds of load until every second router is replaced. */
const SINGLE_BUILD_MS = 4_000;
/** Milliseconds until the last bills have reached the journals. */
const SETTLE_MS = 3_000;
const SEED = 41;

/** Checks both builds of the router; ends all processes before it returns or throws. */
export async function checkRouters(first: Build, second: Build): Promise<CompatReport> {
  const closers: (() => Promise<unknown>)[] = [];
  try {
    return await run(first, second, closers);
  } finally {
    for (const close of closers.reverse()) await close();
  }
}

async function run(
  first: Build,
  second: Build,
  closers: (() => Promise<unknown>)[],
): Promise<CompatReport> {
  const plan = deployments[DEPLOYMENT];
  const directory = await mkdtemp(join(tmpdir(), 'flamingocourse-compat-'));
  closers.push(() => rm(directory, { recursive: true, force: true }));
  const listenPorts = Object.fromEntries(plan.dataCentres.map((name) => [name, 0]));
  const platform = await createPlatformStandIn({ listenPorts, seed: SEED });
  closers.push(() => platform.close());
  const backends = await startBackends(plan, SEED);
  closers.push(() => backends.stop());
  for (const [service, items] of backends.instances) platform.setInstances(service, items);
  await applyExamples(DEPLOYMENT, platform.operatorsUrl);
  const binaries: string[] = [];
  const fleet = await FleetRunner.create({
    slots: routerSlots(plan),
    platformUrls: platform.urls,
    directory,
    onInstances: (records) => {
      platform.setInstances(ROUTER_SERVICE, records);
    },
    command: (file) => {
      const index = binaries.push(first.router) - 1;
      return {
        file: process.execPath,
        // Evaluated at each start.
        get args() {
          return [binaries[index] ?? first.router, file];
        },
      };
    },
  });
  closers.push(() => fleet.stop());
  await fleet.start();
  const replaced = fleet.routers.map((_, index) => index).filter((index) => index % 2 === 1);
  const [load] = await Promise.all([
    sendLoad(platform, fleet.entryUrls, LOAD_SECONDS),
    delay(SINGLE_BUILD_MS).then(async () => {
      for (const index of replaced) {
        binaries[index] = second.router;
        await fleet.terminate(index);
        await fleet.restart(index);
      }
    }),
  ]);
  await delay(SETTLE_MS);
  const spend = computeSpend(
    values<LedgerPage>(platform, 'ledgers'),
    values<JournalState>(platform, 'journals'),
  );
  const entries = auditEntries(load.entries, backends.records.runs);
  const violations = findViolations({ deployment: DEPLOYMENT, load, spend, entries });
  const idle: string[] = [];
  for (const { entryUrl, slot } of fleet.routers) {
    const { whole } = await sendLoad(platform, [entryUrl], 1);
    if (whole === 0) idle.push(`${slot.dataCentre}/${slot.instance} answered no request`);
  }
  const { requests, whole, broken, retries } = load;
  return {
    title: 'routers',
    seen: [
      `${String(replaced.length)} of ${String(fleet.routers.length)} routers replaced under load`,
      `${String(requests)} requests, ${String(whole)} whole answers, ${String(retries)} retries, ${String(broken)} broken off`,
      `each router alone: ${String(fleet.routers.length - idle.length)} of ${String(fleet.routers.length)} answer`,
    ],
    broken: [...violations, ...idle],
  };
}

function sendLoad(platform: PlatformStandIn, urls: string[], seconds: number): Promise<LoadResult> {
  const { accounts, mix } = declaredLoad(values<Declaration>(platform, 'declarations'));
  return runLoad({
    targets: urls.map((url) => ({ url, weight: 1 })),
    accounts,
    mix,
    ratePerSecond: RATE_PER_SECOND,
    seconds,
    seed: SEED,
  });
}

function values<T>(platform: PlatformStandIn, collection: string): T[] {
  const objects = platform.state().collections[collection] ?? {};
  return Object.values(objects).map((object) => object.value as T);
}
