/**
 * Exchanges demand and pressure with the other instances through one collector of the data centre, or a
 * few in a large one. All state is in memory and expires.
 */

import type { ConditionSums, FleetInstance, FleetView, InstanceReport } from '@flamingocourse/core';
import type { Kernel } from '@flamingocourse/kernel';
import type {
  ConditionCalls,
  DemandSource,
  FleetConditions,
  PressureSource,
} from '../types/fleetConditions.js';
import type { GatewayContext } from '../types/context.js';
import {
  CollectorOrder,
  ConditionTable,
  estimatedBytes,
  summedUnless,
  entryOf,
} from '@flamingocourse/core';
import { Service } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { AlwaysCalm } from '../types/fleetConditions.js';
import { InstanceDirectory } from './instanceDirectory.js';

/** Milliseconds between reports while a service is overloaded somewhere. */
const CROWDED_INTERVAL_MS = 500;
/** Milliseconds between reports otherwise. */
const CALM_INTERVAL_MS = 2_000;
/** Milliseconds between checks whether this instance became overloaded, so that it reports early. */
const CHECK_MS = 250;
/** Milliseconds for which a view is used again; computing one takes processor time. */
const VIEW_MS = 250;
/** Collectors that are tried in a row for one report. */
const MAX_TRIES = 2;
/** Bytes of reports and answers that one instance may cause in a millisecond: 2 KB in a second. */
const MAX_BYTES_PER_MS = 2;
/** Sums of another data centre are asked for if they are older than this part of the interval. */
const STALE_FRACTION = 0.8;

/** Service that keeps the view of the fleet. Registered as `conditions`. */
export class FleetConditionsService extends Service implements FleetConditions {
  override readonly name = 'conditions';
  override readonly dependsOn = ['instances'];
  readonly #context: GatewayContext;
  readonly #calls: ConditionCalls;
  readonly #table: ConditionTable;
  readonly #order: CollectorOrder;
  #pressure: PressureSource = new AlwaysCalm();
  #demand: DemandSource | undefined;
  #instances: InstanceDirectory | undefined;
  #timer: NodeJS.Timeout | undefined;
  #reportedAt = 0;
  /** Before this time, a report would exceed the bytes that one instance may use. */
  #notBefore = 0;
  #isReporting = false;
  /** Whether this is the first collector of its data centre, as far as it can tell. */
  #isFirst = false;
  #isLost = false;
  #view: FleetView | undefined;

  constructor(context: GatewayContext, calls: ConditionCalls) {
    super();
    this.#context = context;
    this.#calls = calls;
    const { instance, dataCentre } = context.settings;
    this.#table = new ConditionTable(instance, dataCentre);
    this.#order = new CollectorOrder(instance);
  }

  /** Sets the source of the own pressure; without one, this instance is always calm. */
  setPressureSource(source: PressureSource): void {
    this.#pressure = source;
  }

  /** Sets the source of the own demand; without one, this instance reports none. */
  setDemandSource(source: DemandSource): void {
    this.#demand = source;
  }

  view(now: number): FleetView {
    if (!this.#view || now - this.#view.at >= VIEW_MS) {
      this.#view = this.#table.view(this.#ownReport(now), this.#isFirst, now);
    }
    return this.#view;
  }

  /** Milliseconds since the view of others was made; Infinity if it is only this instance's own. */
  viewAgeMs(now: number): number {
    return this.#isFirst ? 0 : (this.#table.lastAnswer(now)?.ageMs ?? Infinity);
  }

  /** Answers a report, or the sums of another data centre. */
  answer(sums: ConditionSums): Result<ConditionSums, string> {
    if (!this.#context.adaptiveLoad.isOn) return Result.err('it does not share conditions');
    const now = this.#now();
    const isFar = sums.dataCentre !== this.#context.settings.dataCentre;
    if (isFar && !this.#isFirst) return Result.err('it is not the first collector');
    this.#table.recordReport(sums, now);
    const own = this.#ownReport(now);
    if (isFar) return Result.ok(this.#dataCentreSums(own, now));
    if (this.#isFirst) return Result.ok(this.#table.fleetSums(own, now));
    const known = this.#table.lastAnswer(now);
    return Result.ok(known ?? this.#table.memberSums(own, sums.from, now));
  }

  override start(kernel: Kernel): void {
    this.#instances = kernel.get('instances', InstanceDirectory);
    // instances that start together report at different times.
    this.#reportedAt = this.#now() - this.#context.random() * CALM_INTERVAL_MS;
    this.#timer = this.#context.background.every(CHECK_MS, this.name, () => this.#check());
  }

  override stop(): void {
    clearInterval(this.#timer);
  }

  /** Reports if it is time, or if this instance found itself overloaded since its last report. */
  async #check(): Promise<void> {
    if (!this.#context.adaptiveLoad.isOn || this.#isReporting) return;
    const now = this.#now();
    const own = this.#ownReport(now);
    const isCrowded = [own.demand, this.view(now).demand].some(hasCrowded);
    const factor = this.#order.intervalFactor(this.#instances?.inDataCentre ?? []);
    const intervalMs = isCrowded ? factor * CROWDED_INTERVAL_MS : CALM_INTERVAL_MS;
    if (now < Math.max(this.#reportedAt + intervalMs, this.#notBefore)) return;
    this.#reportedAt = now;
    this.#isReporting = true;
    await this.#report(own, intervalMs).finally(() => {
      this.#isReporting = false;
    });
  }

  async #report(own: InstanceReport, intervalMs: number): Promise<void> {
    const startedAt = this.#now();
    let bytes = 0;
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const collector = this.#collector();
      this.#isFirst = collector === undefined;
      this.#view = undefined;
      if (collector === undefined) {
        await this.#askDataCentres(own, intervalMs);
        break;
      }
      const sums = this.#table.memberSums(own, collector.name, this.#now());
      bytes += estimatedBytes(sums);
      const answer = await this.#share(collector, sums);
      if (answer.isErr) continue;
      bytes += estimatedBytes(answer.value);
      this.#table.recordAnswer(answer.value, this.#now());
      this.#view = undefined;
      break;
    }
    this.#notBefore = startedAt + bytes / MAX_BYTES_PER_MS;
    this.#logLoss();
  }

  /** Exchanges sums with the first collectors of other data centres, unless they did it lately. */
  async #askDataCentres(own: InstanceReport, intervalMs: number): Promise<void> {
    const now = this.#now();
    const { dataCentre } = this.#context.settings;
    const byDataCentre = new Map<string, FleetInstance[]>();
    for (const instance of this.#instances?.all ?? []) {
      if (instance.dataCentre === dataCentre) continue;
      const known = byDataCentre.get(instance.dataCentre);
      if (known) known.push(instance);
      else byDataCentre.set(instance.dataCentre, [instance]);
    }
    const sums = this.#dataCentreSums(own, now);
    const asked = [...byDataCentre]
      .filter(([name]) => this.#table.dataCentreAgeMs(name, now) >= STALE_FRACTION * intervalMs)
      .map(async ([, instances]) => {
        const collector = this.#order.firstOf(instances, now);
        const answer = collector && (await this.#share(collector, sums));
        if (answer?.isOk) this.#table.recordReport(answer.value, this.#now());
      });
    await Promise.all(asked);
  }

  async #share(
    collector: FleetInstance,
    sums: ConditionSums,
  ): Promise<Result<ConditionSums, string>> {
    const answer = await this.#calls.share(collector, sums);
    if (answer.isErr) this.#order.recordFailure(collector.name, this.#now());
    return answer;
  }

  #collector(): FleetInstance | undefined {
    const now = this.#now();
    const instances = this.#instances?.inDataCentre ?? [];
    return this.#order.choose(instances, this.#table.isCollecting(now), now);
  }

  #dataCentreSums(own: InstanceReport, now: number): ConditionSums {
    return { ...this.#table.memberSums(own, undefined, now), scope: 'data-centre' };
  }

  /** Names the accounts of services that are overloaded here or elsewhere, and sums up the others. */
  #ownReport(now: number): InstanceReport {
    const { instance, dataCentre } = this.#context.settings;
    const known = this.#table.lastAnswer(now)?.demand ?? {};
    const demand = this.#demand?.demand(now) ?? {};
    return {
      instance,
      dataCentre,
      pressure: this.#pressure.pressure(now),
      ready: this.#pressure.isReady(),
      demand: summedUnless(demand, (service) => {
        return (
          entryOf(demand, service)?.crowded === true || entryOf(known, service)?.crowded === true
        );
      }),
    };
  }

  /** Logs when this instance is left with its own view, and when it has that of the fleet again. */
  #logLoss(): void {
    const isLost = this.viewAgeMs(this.#now()) === Infinity;
    if (isLost === this.#isLost) return;
    this.#isLost = isLost;
    this.#context.log.write(isLost ? 'conditions-lost' : 'conditions-regained');
  }

  #now(): number {
    return this.#context.clock.now();
  }
}

function hasCrowded(demand: FleetView['demand']): boolean {
  return Object.values(demand).some(({ crowded }) => crowded);
}
