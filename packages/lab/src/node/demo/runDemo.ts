/** The demo: starts a whole deployment on loopback, runs a bounded load and checks the result. */

import type { Declaration, JournalState, LedgerPage } from '@flamingocourse/core';
import type { DemoOptions, DemoResult } from '../../types/demo.js';
import type { LoadResult } from '../../types/load.js';
import type { PlatformStandIn } from '../platformStandIn/index.js';
import type { RunningBackends } from './startBackends.js';
import { once } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';
import { entryOf } from '@flamingocourse/core';
import { declaredLoad } from '../../runtime/declaredLoad.js';
import { createDemoReport, findViolations } from '../../runtime/demoReport.js';
import { deployments, routerSlots } from '../../runtime/deployments.js';
import { auditEntries } from '../../runtime/entryAudit.js';
import { computeSpend } from '../../runtime/spend.js';
import { FleetRunner } from '../fleetRunner/index.js';
import { runLoad } from '../loadGenerator/index.js';
import { createPlatformStandIn } from '../platformStandIn/index.js';
import { applyExamples } from './applyExamples.js';
import { startBackends } from './startBackends.js';

/** Milliseconds until the routers have written the last bills to the journals. */
const SETTLE_MS = 3_000;
const ROUTER_SERVICE = 'flamingocourse-router';

/** Components of a running deployment, in start order; they are stopped in reverse order. */
interface RunningDeployment {
  platform: PlatformStandIn;
  backends: RunningBackends;
  fleet: FleetRunner;
}

/**
 * Runs the demo and stops the deployment at the end.
 *
 * @example
 * const result = await runDemo({ deployment: 'svifvakt', seconds: 10, ratePerSecond: 20, ...rest });
 * process.exitCode = result.violations.length === 0 ? 0 : 1;
 */
export async function runDemo(options: DemoOptions): Promise<DemoResult> {
  const closers: (() => Promise<unknown>)[] = [];
  try {
    const deployment = await startDeployment(options, closers);
    const load = await runDemoLoad(options, deployment);
    await delay(SETTLE_MS, undefined, { signal: options.signal }).catch(() => undefined);
    const result = createResult(options, deployment, load);
    if (options.keep && !options.signal.aborted) await keepRunning(options, deployment);
    return result;
  } finally {
    options.onProgress('stopping the deployment');
    for (const close of closers.reverse()) await close();
  }
}

async function startDeployment(
  options: DemoOptions,
  closers: (() => Promise<unknown>)[],
): Promise<RunningDeployment> {
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

async function runDemoLoad(
  options: DemoOptions,
  deployment: RunningDeployment,
): Promise<LoadResult> {
  const declarations = readValues<Declaration>(deployment.platform, 'declarations');
  const { accounts, mix } = declaredLoad(declarations);
  return runLoad({
    targets: deployment.fleet.entryUrls.map((url) => ({ url, weight: 1 })),
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

function createResult(
  options: DemoOptions,
  { platform, backends }: RunningDeployment,
  load: LoadResult,
): DemoResult {
  const figures = {
    deployment: options.deployment,
    load,
    spend: computeSpend(
      readValues<LedgerPage>(platform, 'ledgers'),
      readValues<JournalState>(platform, 'journals'),
    ),
    entries: auditEntries(load.entries, backends.records.runs),
  };
  const violations = findViolations(figures);
  return { ...figures, violations, report: createDemoReport(figures) };
}

async function keepRunning(
  options: DemoOptions,
  { fleet, platform }: RunningDeployment,
): Promise<void> {
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
  const objects = entryOf(platform.state().collections, collection) ?? {};
  return Object.values(objects).map((object) => object.value as T);
}
