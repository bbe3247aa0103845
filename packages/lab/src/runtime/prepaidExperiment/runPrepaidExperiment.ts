/**
 * Simulates the production holders, pages and sizing on random arrivals, without a network: instances
 * report, are disconnected from the store and are killed all at once. It takes seconds, while a
 * simulated day with processes takes minutes, and it is free of the random effects of such a day.
 */

import type { PrepaidReservation, PrepaidSizing, Tokens } from '@flamingocourse/core';
import type { PrepaidArrival, PrepaidLoad } from './prepaidArrivals.js';
import {
  PrepaidHolder,
  applyReport,
  createPrepaidBudgets,
  createPrepaidPage,
  grantPrepaid,
  joinGroup,
  prepaidShortfalls,
  prepaidOutlook,
  returnSurplus,
  takeGrants,
  wantedGrants,
} from '@flamingocourse/core';

/** Faults of a run, in seconds from its start. */
export interface PrepaidFaults {
  /** Intervals (`[from, until)`) in which no instance reaches the store. */
  cuts: readonly (readonly [number, number])[];
  /** Times at which all instances are killed; each restarts immediately. */
  killsAt: readonly number[];
}

/** Tokens of the requests that fit into their account's limit, and of those that were refused. */
export interface PrepaidExperimentResult {
  requested: Tokens;
  refusedDisconnected: Tokens;
  refusedConnected: Tokens;
  /** Exchanges with the store. */
  exchanges: number;
}

const GROUP = '0';
/** All instances of a run share one page. */
const GROUP_SIZE = 1_000;
const REPORT_SECONDS = 2;
/** Longer than any run, so that no instance counts as silent. */
const ALIVE_MS = 600_000;
/** Fraction of a limit that callers must be able to use. */
const GUARANTEED_PART = 0.97;

interface RunningRequest {
  arrival: PrepaidArrival;
  reservation: PrepaidReservation;
  holder: PrepaidHolder;
}

/**
 * Runs one load.
 *
 * @example
 * const result = runPrepaidExperiment(load, { cuts: [[6, 14]], killsAt: [41] }, new PrepaidSizing());
 */
export function runPrepaidExperiment(
  load: PrepaidLoad,
  faults: PrepaidFaults,
  sizing: PrepaidSizing,
): PrepaidExperimentResult {
  const run = new PrepaidRun(load, faults, sizing);
  for (const arrival of load.arrivals) run.take(arrival);
  return run.result;
}

class PrepaidRun {
  readonly result: PrepaidExperimentResult = {
    requested: 0,
    refusedDisconnected: 0,
    refusedConnected: 0,
    exchanges: 0,
  };
  readonly #load: PrepaidLoad;
  readonly #faults: PrepaidFaults;
  readonly #sizing: PrepaidSizing;
  readonly #holders = new Map<string, PrepaidHolder>();
  readonly #reportAt = new Map<string, number>();
  /** Use of each account in tokens; a running request counts with its maximum. */
  readonly #used = new Map<string, Tokens>();
  #running: RunningRequest[] = [];
  #budgets = createPrepaidBudgets();
  #page = createPrepaidPage();
  #kills = 0;

  constructor(load: PrepaidLoad, faults: PrepaidFaults, sizing: PrepaidSizing) {
    this.#load = load;
    this.#faults = faults;
    this.#sizing = sizing;
    for (const [at, instance] of load.instances.entries()) {
      this.#budgets = joinGroup(this.#budgets, instance, GROUP_SIZE);
      this.#holders.set(instance, this.#createHolder(instance));
      this.#reportAt.set(instance, (REPORT_SECONDS * at) / load.instances.length);
    }
  }

  take(arrival: PrepaidArrival): void {
    const { at, instance, account, amount } = arrival;
    this.#advanceTo(at);
    const holder = this.#holder(instance);
    holder.observe(account, amount, at * 1_000);
    const isDisconnected = this.#isDisconnected(at);
    let reservation = holder.reserve(account, amount);
    if (!reservation && !isDisconnected) {
      this.#exchange(instance, at);
      reservation = holder.reserve(account, amount);
    }
    const used = this.#used.get(account) ?? 0;
    const limit = this.#load.limits.get(account) ?? 0;
    const fits = used + amount <= GUARANTEED_PART * limit;
    if (fits) this.result.requested += amount;
    if (reservation) {
      this.#used.set(account, used + amount);
      this.#running.push({ arrival, reservation, holder });
    } else if (fits && isDisconnected) this.result.refusedDisconnected += amount;
    else if (fits) this.result.refusedConnected += amount;
  }

  #advanceTo(now: number): void {
    this.#settleUntil(now);
    const killAt = this.#faults.killsAt[this.#kills];
    if (killAt !== undefined && killAt <= now) this.#kill();
    for (const [instance, at] of this.#reportAt) {
      if (at > now) continue;
      if (!this.#isDisconnected(now)) this.#exchange(instance, now);
      this.#reportAt.set(instance, now + REPORT_SECONDS);
    }
  }

  #settleUntil(now: number): void {
    const isOver = ({ arrival }: RunningRequest): boolean => arrival.at + arrival.seconds <= now;
    for (const running of this.#running.filter(isOver)) this.#settle(running);
    this.#running = this.#running.filter((running) => !isOver(running));
  }

  #settle({ arrival, reservation, holder }: RunningRequest): void {
    const { account, amount, used } = arrival;
    holder.settle(reservation, used);
    this.#used.set(account, (this.#used.get(account) ?? 0) - amount + used);
  }

  /** Replaces all holders. Tokens of the old ones are in doubt once the new ones report. */
  #kill(): void {
    this.#kills += 1;
    for (const running of this.#running) this.#settle(running);
    this.#running = [];
    for (const instance of this.#load.instances) {
      this.#holders.set(instance, this.#createHolder(instance));
    }
  }

  #exchange(instance: string, now: number): void {
    const { limits } = this.#load;
    const outlook = prepaidOutlook(this.#budgets, limits, GROUP);
    const holder = this.#holder(instance);
    const report = holder.beginReport(this.#page, outlook, now * 1_000);
    if (!report) return;
    this.result.exchanges += 1;
    const shortfalls = prepaidShortfalls(this.#page, report);
    const grants = wantedGrants(this.#budgets, GROUP, this.#page, shortfalls, limits);
    if (grants.size > 0) {
      this.#budgets = grantPrepaid(this.#budgets, GROUP, this.#page, grants, limits);
    }
    const granted = takeGrants(this.#page, this.#budgets, GROUP);
    this.#page = returnSurplus(
      applyReport(granted, report),
      prepaidOutlook(this.#budgets, limits, GROUP),
    );
    holder.confirm(this.#page);
  }

  #holder(instance: string): PrepaidHolder {
    const holder = this.#holders.get(instance);
    if (!holder) throw new RangeError(`unknown instance "${instance}"`);
    return holder;
  }

  #createHolder(instance: string): PrepaidHolder {
    const process = `${instance}-${String(this.#kills)}`;
    return new PrepaidHolder({
      instance,
      process,
      sizing: this.#sizing,
      maxReportIntervalMs: ALIVE_MS,
    });
  }

  #isDisconnected(now: number): boolean {
    return this.#faults.cuts.some(([from, until]) => now >= from && now < until);
  }
}
