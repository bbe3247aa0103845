/** Scenarios of the budget measurement: exhaustion, partition, crash and high rate. */

import type { LedgerPage } from '@flamingocourse/core';
import type { OracleTopUp } from '../../runtime/budgetMeasure/oracle.js';
import type { BudgetRequest, RequestRecord } from '../../runtime/budgetMeasure/requestPlan.js';
import type { ScenarioOptions, ScenarioResult, Stranded } from './scenarioTypes.js';
import type { SimulationOptions } from './budgetSimulation.js';
import { changeBudget, entryOf } from '@flamingocourse/core';
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom } from '../../runtime/random.js';
import { countFalseRefusals } from '../../runtime/budgetMeasure/oracle.js';
import { meanDemand, planRequests } from '../../runtime/budgetMeasure/requestPlan.js';
import { auditSimulation, journalsOf } from './auditSimulation.js';
import { BudgetSimulation } from './budgetSimulation.js';
import { driveRequests } from './driveRequests.js';
import { countOutcomes, percentilesOf } from './scenarioTypes.js';

/** Runs one scenario. */
export type Scenario = (options: ScenarioOptions) => Promise<ScenarioResult>;

const DATA_CENTRES = 4;
const ROUTERS_PER_DATA_CENTRE = 2;
const ROUTERS = DATA_CENTRES * ROUTERS_PER_DATA_CENTRE;
const ACCOUNTS = ['altan-shop', 'bayan-shop', 'gliders', 'treasurers'] as const;
const STORE_LATENCY_MS = 5;
const MS_PER_SECOND = 1_000;

/** The first data centre contains the busiest router, so that its partition is the worst case. */
const CUT_DATA_CENTRE = 'dc-1';
const CUT_ROUTERS = [0, DATA_CENTRES];

/** Duration of the real partition that the scenario represents, in seconds. */
const CUT_SECONDS = 600;

/** Fractions of the load time before and during the partition; the rest follows it. */
const FRACTION_BEFORE_CUT = 0.25;
const FRACTION_IN_CUT = 0.5;

/** Time limit for the sealing of a killed router, in milliseconds. */
const SEAL_TIMEOUT_MS = 20_000;

const POLL_MS = 10;

interface RunPlan {
  name: string;
  ratePerSecond: number;
  /** Budget as a fraction of the total demand of all requests. */
  budgetFraction: number;
  rideThroughSeconds: number;
  policy?: SimulationOptions['policy'];
  /** Runs concurrently with the load. */
  runDuringLoad?: (run: Run) => Promise<Partial<ScenarioResult>>;
}

interface Run {
  simulation: BudgetSimulation;
  plan: BudgetRequest[];
  seconds: number;
  topUps: OracleTopUp[];
}

/** All scenarios, in the order in which they run. */
export const scenarios: Record<string, Scenario> = {
  exhaustion: (options) =>
    runScenario(options, {
      name: 'exhaustion',
      ratePerSecond: 200,
      budgetFraction: 0.7,
      rideThroughSeconds: 60,
    }),
  cut: (options) =>
    runScenario(options, {
      name: 'cut',
      ratePerSecond: 200,
      budgetFraction: 2,
      // the ride-through equals the duration of the partition.
      rideThroughSeconds: options.seconds * FRACTION_IN_CUT,
      runDuringLoad: partitionAndTopUp,
    }),
  crash: (options) =>
    runScenario(options, {
      name: 'crash',
      ratePerSecond: 200,
      budgetFraction: 2,
      rideThroughSeconds: 60,
      runDuringLoad: killBusiest,
    }),
  rate: (options) =>
    runScenario(options, {
      name: 'rate',
      ratePerSecond: 1_000,
      budgetFraction: 4,
      rideThroughSeconds: 60,
    }),
};

/** Returns how many times shorter the partition is than the real one. */
export function cutCompression({ seconds }: ScenarioOptions): number {
  return CUT_SECONDS / (seconds * FRACTION_IN_CUT);
}

async function runScenario(options: ScenarioOptions, plan: RunPlan): Promise<ScenarioResult> {
  const { seconds, seed } = options;
  const size = { seconds, ratePerSecond: plan.ratePerSecond, routers: ROUTERS, accounts: ACCOUNTS };
  const requests = planRequests(size, createRandom(seed));
  const budgets = new Map<string, number>();
  for (const [account, demand] of meanDemand(requests, seconds)) {
    budgets.set(account, Math.floor(demand * seconds * plan.budgetFraction));
  }
  const simulation = new BudgetSimulation({
    dataCentres: DATA_CENTRES,
    routersPerDataCentre: ROUTERS_PER_DATA_CENTRE,
    budgets,
    policy: plan.policy ?? 'avoid-false-refusals',
    rideThroughSeconds: plan.rideThroughSeconds,
    storeLatencyMs: STORE_LATENCY_MS,
  });
  await simulation.start();
  simulation.store.calls.clear();
  const run: Run = { simulation, plan: requests, seconds, topUps: [] };
  const recordsPromise = driveRequests(simulation, requests);
  const extraFigures = plan.runDuringLoad?.(run);
  const records = await recordsPromise;
  const calls = Object.fromEntries(simulation.store.calls);
  const figures = await extraFigures;
  await simulation.stop();
  return {
    ...figuresOf(plan.name, records, seconds),
    calls,
    falseRefusals: {
      naive: countFalseRefusals('naive', budgets, records, run.topUps),
      perfect: countFalseRefusals('perfect', budgets, records, run.topUps),
    },
    audit: auditSimulation(simulation, records),
    ...figures,
  };
}

function figuresOf(
  name: string,
  records: RequestRecord[],
  seconds: number,
): Omit<ScenarioResult, 'calls' | 'falseRefusals' | 'audit'> {
  const served = records.filter((record) => record.outcome === 'served');
  const atOnce = served.filter((record) => record.reserveMs < STORE_LATENCY_MS).length;
  return {
    name,
    requests: records.length,
    outcomes: countOutcomes(records),
    seconds,
    reserve: percentilesOf(served.map((record) => record.reserveMs)),
    bill: percentilesOf(served.map((record) => record.billMs ?? 0)),
    reservedAtOnce: served.length === 0 ? 0 : atOnce / served.length,
  };
}

/** Partitions the busiest data centre and tops up all accounts in the middle of the partition. */
async function partitionAndTopUp({
  simulation,
  plan,
  seconds,
  topUps,
}: Run): Promise<Partial<ScenarioResult>> {
  await delay(seconds * FRACTION_BEFORE_CUT * MS_PER_SECOND);
  simulation.cut(CUT_DATA_CENTRE);
  const halfMs = (seconds * FRACTION_IN_CUT * MS_PER_SECOND) / 2;
  await delay(halfMs);
  const at = Date.now();
  const hiddenFrom = { routers: CUT_ROUTERS, until: at + halfMs };
  for (const [account, demand] of meanDemand(plan, seconds)) {
    const amount = Math.floor(demand * seconds);
    await topUp(simulation, account, amount, at);
    topUps.push({ account, amount, at, hiddenFrom });
  }
  await delay(hiddenFrom.until - Date.now());
  simulation.heal(CUT_DATA_CENTRE);
  return {};
}

async function topUp(
  simulation: BudgetSimulation,
  account: string,
  amount: number,
  at: number,
): Promise<void> {
  const change = { id: `top-up-${account}`, amount, by: 'operator', at };
  for (;;) {
    const read = (await simulation.store.get('ledgers', '0')).unwrapOrElse(throwStoreError);
    const changed = changeBudget(read.value as LedgerPage, account, change);
    const page = changed.unwrapOrElse((fault) => {
      throw new Error(fault.message);
    });
    const written = await simulation.store.update('ledgers', '0', read.version, page);
    if (written.isOk) return;
  }
}

function throwStoreError(err: { message: string }): never {
  throw new Error(err.message);
}

/** Kills the busiest router in the middle of the load and waits until its slices are free. */
async function killBusiest({ simulation, plan, seconds }: Run): Promise<Partial<ScenarioResult>> {
  await delay((seconds * MS_PER_SECOND) / 2);
  const victim = simulation.routers[0];
  if (!victim) return {};
  const { incarnation } = victim.fleet.self;
  const killedAt = Date.now();
  victim.killedAt = killedAt;
  const holder = (): { state: string; slices: Record<string, number> } | undefined =>
    entryOf(journalsOf(simulation)[0]?.holders, incarnation);
  const tokens = Object.values(holder()?.slices ?? {}).reduce((sum, slice) => sum + slice, 0);
  while (holder()?.state !== 'sealed' && Date.now() - killedAt < SEAL_TIMEOUT_MS) {
    await delay(POLL_MS);
  }
  const own = meanDemand(
    plan.filter((request) => request.router === 0),
    seconds,
  );
  const demand = [...own.values()].reduce((sum, rate) => sum + rate, 0);
  const freeAfterMs = holder()?.state === 'sealed' ? Date.now() - killedAt : Infinity;
  const stranded: Stranded = { tokens, demandSeconds: tokens / demand, freeAfterMs };
  return { stranded };
}
