/** The demo: a whole deployment on loopback, a bounded load, and what came of it. */

import type { Declaration, JournalState, LedgerPage } from '@flamingocourse/core';
import type { DemoOptions, DemoResult } from '../../types/demo.js';
import type { LoadResult } from '../../types/load.js';
import type { PlatformStandIn } from '../platformStandIn/index.js';
import type { Backends } from './startBackends.js';
import { once } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';
import { declaredLoad } from '../../runtime/declaredLoad.js';
import { createDemoReport, findViolations } from '../../runtime/demoReport.js';
import { deployments, routerSlots } from '../../runtime/deployments.js';
import { auditEntries } from '../../runtime/entryAudit.js';
import { readSpend } from '../../runtime/spend.js';
import { FleetRunner } from '../fleetRunner/index.js';
import { runLoad } from '../loadGenerator/index.js';
import { createPlatformStandIn } from '../platformStandIn/index.js';
import { applyExamples } from './applyExamples.js';
import { startBackends } from './startBackends.js';

/** Time for the routers to bring the last bills into the journals. */
const SETTLE_MS = 3_000;
const ROUTER_SERVICE = 'flamingocourse-router';

/** Parts of a running deployment, stopped in the reverse of this order. */
interface Stage {
  platform: PlatformStandIn;
  backends: Backends;
  fleet: FleetRunner;
}

/**
 * Runs the demo and stops everything that it started.
 *
 * @example
 * const result = await runDemo({ deployment: 'svifvakt', seconds: 10, ratePerSecond: 20, ...rest });
 * process.exitCode = result.violations.length === 0 ? 0 : 1;
 */
export async function runDemo(options: DemoOptions): Promise<DemoResult> {
  const closers: (() => Promise<unknown>)[] = [];
  try {
    const stage = await startStage(options, closers);
    const load = await runDemoLoad(options, stage);
    await delay(SETTLE_MS, undefined, { signal: options.signal }).catch(() => undefined);
    const result = judge(options, stage, load);
    if (options.keep && !options.signal.aborted) await keepRunning(options, stage);
    return result;
  } finally {
    options.onProgress('stopping what was started');
    for (const close of closers.reverse()) await close();
  }
}

async function startStage(
  options: DemoOptions,
  closers: (() => Promise<unknown>)[],
): Promise<Stage> {
  const plan = deployments[options.deployment];
  const listenPorts = Object.fromEntries(plan.dataCentres.map((name) => [name, 0]));
  const platform = await createPlatformStandIn({ listenPorts, seed: options.seed });
  closers.push(() => platform.close());
  const backends = await startBackends(plan, options.seed);
  closers.push(() => backends.stop());
  for (const [service, items] of backends.instances) platform.setInstances(service, items);
  options.onProgress('applying the declarations');
  const apply = options.apply ?? ((url) => applyExamples(options.deployment, url));
  await apply(platform.operatorsUrl);
  const fleet = await FleetRunner.create({
    slots: routerSlots(plan),
    platformUrls: platform.urls,
    directory: options.directory,
    onInstances: (records) => {
      platform.setInstances(ROUTER_SERVICE, records);
    },
    ...(options.routerCommand ? { command: options.routerCommand } : {}),
  });
  closers.push(() => fleet.stop());
  options.onProgress(`starting ${plan.routers} routers in ${plan.dataCentres.length} data centres`);
  await fleet.start();
  return { platform, backends, fleet };
}

async function runDemoLoad(options: DemoOptions, stage: Stage): Promise<LoadResult> {
  const declarations = readValues<Declaration>(stage.platform, 'declarations');
  const { accounts, mix } = declaredLoad(declarations);
  return runLoad({
    targets: stage.fleet.entryUrls.map((url) => ({ url, weight: 1 })),
    accounts,
    mix,
    ratePerSecond: options.ratePerSecond,
    seconds: options.seconds,
    seed: options.seed,
    signal: options.signal,
    onProgress: ({ elapsedMs, requests, whole, refused, inFlight }) => {
      const seconds = Math.round(elapsedMs / 1_000);
      options.onProgress(
        `${seconds} s: ${requests} requests, ${whole} whole, ${refused} refused, ${inFlight} in progress`,
      );
    },
  });
}

function judge(options: DemoOptions, { platform, backends }: Stage, load: LoadResult): DemoResult {
  const figures = {
    deployment: options.deployment,
    load,
    spend: readSpend(
      readValues<LedgerPage>(platform, 'ledgers'),
      readValues<JournalState>(platform, 'journals'),
    ),
    entries: auditEntries(load.entries, backends.records.runs),
  };
  const violations = findViolations(figures);
  return { ...figures, violations, report: createDemoReport(figures) };
}

async function keepRunning(options: DemoOptions, { fleet, platform }: Stage): Promise<void> {
  const [entry = '', other = ''] = fleet.entryUrls;
  const { exampleAccount } = deployments[options.deployment];
  options.onProgress(`entries: ${fleet.entryUrls.join(' ')}`);
  options.onProgress(
    'for the examples of docs/CALLERS.md and docs/OPERATORS.md, in another shell:',
  );
  options.onProgress(`export FLAMINGOCOURSE_ENTRY=${entry} FLAMINGOCOURSE_OTHER_ENTRY=${other}`);
  options.onProgress(`export FLAMINGOCOURSE_KEY=demo-${exampleAccount}`);
  options.onProgress(`export FLAMINGOCOURSE_PLATFORM=${platform.operatorsUrl}`);
  options.onProgress('running on; end with Ctrl-C');
  await once(options.signal, 'abort');
}

function readValues<T>(platform: PlatformStandIn, collection: string): T[] {
  const objects = platform.state().collections[collection] ?? {};
  return Object.values(objects).map((object) => object.value as T);
}
