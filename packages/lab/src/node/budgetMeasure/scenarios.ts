/** Scenarios of the budget measurement: exhaustion, cut, crash and rate. */

import type { LedgerPage } from '@flamingocourse/core';
import type { OracleTopUp } from '../../runtime/budgetMeasure/oracle.js';
import type { BudgetRequest, RequestRecord } from '../../runtime/budgetMeasure/requestPlan.js';
import type { ScenarioOptions, ScenarioResult, Stranded } from './scenarioTypes.js';
import type { WorldOptions } from './budgetWorld.js';
import { changeBudget } from '@flamingocourse/core';
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom } from '../../runtime/random.js';
import { countFalseRefusals } from '../../runtime/budgetMeasure/oracle.js';
import { meanDemand, planRequests } from '../../runtime/budgetMeasure/requestPlan.js';
import { auditWorld, journalsOf } from './auditWorld.js';
import { BudgetWorld } from './budgetWorld.js';
import { driveRequests } from './driveRequests.js';
import { countOutcomes, percentilesOf } from './scenarioTypes.js';

/** A scenario by name. */
export type Scenario = (options: ScenarioOptions) => Promise<ScenarioResult>;

const DATA_CENTRES = 4;
const ROUTERS_PER_DATA_CENTRE = 2;
const ROUTERS = DATA_CENTRES * ROUTERS_PER_DATA_CENTRE;
const ACCOUNTS = ['altan-shop', 'bayan-shop', 'gliders', 'treasurers'] as const;
const STORE_LATENCY_MS = 5;
const MS_PER_SECOND = 1_000;

/** The first data centre has the busiest router, so a cut of it is the hardest. */
const CUT_DATA_CENTRE = 'dc-1';
const CUT_ROUTERS = [0, DATA_CENTRES];

/** Length of the cut that is stood in for, in seconds. */
const CUT_SECONDS = 600;

/** Parts of the load before the cut and in it; the rest follows the heal. */
const BEFORE_CUT = 0.25;
const IN_CUT = 0.5;

/** Time after which sealing of a killed router is given up, in milliseconds. */
const SEAL_TIMEOUT_MS = 20_000;

const POLL_MS = 10;

interface RunPlan {
  name: string;
  ratePerSecond: number;
  /** Budget as a part of what all requests together would use. */
  budgetPart: number;
  rideThroughSeconds: number;
  policy?: WorldOptions['policy'];
  /** Runs beside the load. */
  during?: (run: Run) => Promise<Partial<ScenarioResult>>;
}

interface Run {
  world: BudgetWorld;
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
      budgetPart: 0.7,
      rideThroughSeconds: 60,
    }),
  cut: (options) =>
    runScenario(options, {
      name: 'cut',
      ratePerSecond: 200,
      budgetPart: 2,
      // the deployment asks for as long a ride-through as the cut takes.
      rideThroughSeconds: options.seconds * IN_CUT,
      during: cutAndTopUp,
    }),
  crash: (options) =>
    runScenario(options, {
      name: 'crash',
      ratePerSecond: 200,
      budgetPart: 2,
      rideThroughSeconds: 60,
      during: killBusiest,
    }),
  rate: (options) =>
    runScenario(options, {
      name: 'rate',
      ratePerSecond: 1_000,
      budgetPart: 4,
      rideThroughSeconds: 60,
    }),
};

/** Factor by which the cut is shorter than the one that it stands in for. */
export function cutCompression({ seconds }: ScenarioOptions): number {
  return CUT_SECONDS / (seconds * IN_CUT);
}

async function runScenario(options: ScenarioOptions, plan: RunPlan): Promise<ScenarioResult> {
  const { seconds, seed } = options;
  const size = { seconds, ratePerSecond: plan.ratePerSecond, routers: ROUTERS, accounts: ACCOUNTS };
  const requests = planRequests(size, createRandom(seed));
  const budgets = new Map<string, number>();
  for (const [account, demand] of meanDemand(requests, seconds)) {
    budgets.set(account, Math.floor(demand * seconds * plan.budgetPart));
  }
  const world = new BudgetWorld({
    dataCentres: DATA_CENTRES,
    routersPerDataCentre: ROUTERS_PER_DATA_CENTRE,
    budgets,
    policy: plan.policy ?? 'avoid-false-refusals',
    rideThroughSeconds: plan.rideThroughSeconds,
    storeLatencyMs: STORE_LATENCY_MS,
  });
  await world.start();
  world.store.calls.clear();
  const run: Run = { world, plan: requests, seconds, topUps: [] };
  const driven = driveRequests(world, requests);
  const extra = plan.during?.(run);
  const records = await driven;
  const calls = Object.fromEntries(world.store.calls);
  const figures = await extra;
  await world.stop();
  return {
    ...figuresOf(plan.name, records, seconds),
    calls,
    falseRefusals: {
      naive: countFalseRefusals('naive', budgets, records, run.topUps),
      perfect: countFalseRefusals('perfect', budgets, records, run.topUps),
    },
    audit: auditWorld(world, records),
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

/** Cuts the busiest data centre off and tops every account up in the middle of the cut. */
async function cutAndTopUp({
  world,
  plan,
  seconds,
  topUps,
}: Run): Promise<Partial<ScenarioResult>> {
  await delay(seconds * BEFORE_CUT * MS_PER_SECOND);
  world.cut(CUT_DATA_CENTRE);
  const halfMs = (seconds * IN_CUT * MS_PER_SECOND) / 2;
  await delay(halfMs);
  const at = Date.now();
  const hiddenFrom = { routers: CUT_ROUTERS, until: at + halfMs };
  for (const [account, demand] of meanDemand(plan, seconds)) {
    const amount = Math.floor(demand * seconds);
    await topUp(world, account, amount, at);
    topUps.push({ account, amount, at, hiddenFrom });
  }
  await delay(hiddenFrom.until - Date.now());
  world.heal(CUT_DATA_CENTRE);
  return {};
}

async function topUp(
  world: BudgetWorld,
  account: string,
  amount: number,
  at: number,
): Promise<void> {
  const change = { id: `top-up-${account}`, amount, by: 'operator', at };
  for (;;) {
    const read = (await world.store.get('ledgers', '0')).unwrapOrElse(failRead);
    const changed = changeBudget(read.value as LedgerPage, account, change);
    const page = changed.unwrapOrElse((fault) => {
      throw new Error(fault.message);
    });
    const written = await world.store.update('ledgers', '0', read.version, page);
    if (written.isOk) return;
  }
}

function failRead(err: { message: string }): never {
  throw new Error(err.message);
}

/** Kills the busiest router in the middle of the load and waits until its slices are free. */
async function killBusiest({ world, plan, seconds }: Run): Promise<Partial<ScenarioResult>> {
  await delay((seconds * MS_PER_SECOND) / 2);
  const victim = world.routers[0];
  if (!victim) return {};
  const { incarnation } = victim.fleet.self;
  const killedAt = Date.now();
  victim.killedAt = killedAt;
  const holder = (): { state: string; slices: Record<string, number> } | undefined =>
    journalsOf(world)[0]?.holders[incarnation];
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
