/** What an instance was told of others, with its age. */

import type {
  ConditionSums,
  DataCentreCondition,
  FleetView,
  InstanceCondition,
  InstanceReport,
} from '../../types/fleetConditions.js';
import type { DataCentreId } from '../../types/ids.js';
import { boundDemand, sumDemands } from './demandSums.js';
import { MAX_NAMED_PEERS } from './packedSums.js';
import { comparePressure } from './pressureLevels.js';

/** Milliseconds after which a report no longer counts. */
export const REPORT_LIFETIME_MS = 3_000;
/** Maximum number of reports that are held; far above the number of instances that report to one. */
const MAX_HELD = 1_024;

interface Held {
  sums: ConditionSums;
  /** When the sums were made, by the own clock. */
  madeAt: number;
}

/**
 * Reports by their senders, sums of other data centres, and the collector's last answer.
 *
 * @example
 * table.recordReport(sums, now);
 * const fleet = table.fleetSums(ownReport, now);
 */
export class ConditionTable {
  readonly #self: string;
  readonly #dataCentre: DataCentreId;
  readonly #members = new Map<string, Held>();
  readonly #dataCentres = new Map<DataCentreId, Held>();
  #answer: Held | undefined;

  constructor(self: string, dataCentre: DataCentreId) {
    this.#self = self;
    this.#dataCentre = dataCentre;
  }

  /** Records sums of an instance of the own data centre, or of another data centre. */
  recordReport(sums: ConditionSums, now: number): void {
    const held = { sums, madeAt: now - sums.ageMs };
    const isOwn = sums.dataCentre === this.#dataCentre;
    if (sums.from === this.#self || isOwn !== (sums.scope === 'members')) return;
    if (!isOwn) this.#dataCentres.set(sums.dataCentre, held);
    else if (this.#members.has(sums.from) || this.#members.size < MAX_HELD) {
      this.#members.set(sums.from, held);
    }
  }

  /** Records what a collector answered. */
  recordAnswer(sums: ConditionSums, now: number): void {
    this.#answer = { sums, madeAt: now - sums.ageMs };
  }

  /** Whether others reported to this instance lately. */
  isCollecting(now: number): boolean {
    this.#expire(now);
    return this.#members.size > 0;
  }

  /** Age of the sums of another data centre; Infinity if there are none. */
  dataCentreAgeMs(dataCentre: DataCentreId, now: number): number {
    const held = this.#dataCentres.get(dataCentre);
    return held ? now - held.madeAt : Infinity;
  }

  /** Sums over this instance and those that report to it, except the one that they are meant for. */
  memberSums(own: InstanceReport, to: string | undefined, now: number): ConditionSums {
    this.#expire(now);
    const members = [...this.#members.values()].filter(({ sums }) => sums.from !== to);
    const parts = [sumsOfInstance(own), ...members.map(({ sums }) => sums)];
    const peers = parts.flatMap(({ peers: each, from }) => {
      const held = this.#members.get(from);
      return aged(each, held ? now - held.madeAt : 0);
    });
    const condition = sumConditions(
      this.#dataCentre,
      parts.flatMap(({ dataCentres }) => dataCentres),
    );
    return {
      from: this.#self,
      dataCentre: this.#dataCentre,
      scope: 'members',
      ageMs: 0,
      dataCentres: [condition],
      peers: mostPressed(peers),
      demand: boundDemand(sumDemands(parts.map(({ demand }) => demand))),
    };
  }

  /** Sums over the fleet, made by the first collector of a data centre. */
  fleetSums(own: InstanceReport, now: number): ConditionSums {
    const near = this.memberSums(own, undefined, now);
    const far = [...this.#dataCentres.values()];
    const demand = sumDemands([near.demand, ...far.map(({ sums }) => sums.demand)]);
    const dataCentres = far.flatMap(({ sums, madeAt }) => {
      return sums.dataCentres.map((each) => ({ ...each, ageMs: now - madeAt }));
    });
    return {
      ...near,
      scope: 'fleet',
      dataCentres: [...near.dataCentres, ...dataCentres],
      demand: boundDemand(demand),
    };
  }

  /** The collector's last answer with its present age; undefined if there is none or it is too old. */
  lastAnswer(now: number): ConditionSums | undefined {
    this.#expire(now);
    return this.#answer && { ...this.#answer.sums, ageMs: now - this.#answer.madeAt };
  }

  /** View of an instance: the collector's answer, or what it knows by itself. */
  view(own: InstanceReport, isFirst: boolean, now: number): FleetView {
    const sums = isFirst ? this.fleetSums(own, now) : this.lastAnswer(now);
    const { dataCentres, peers, demand, ageMs } = sums ?? this.memberSums(own, undefined, now);
    const others = peers.filter(({ instance }) => instance !== this.#self);
    const [self] = sumsOfInstance(own).peers;
    return {
      at: now,
      peers: [...(self ? [self] : []), ...aged(others, ageMs)],
      dataCentres: dataCentres.map((each) => ({ ...each, ageMs: each.ageMs + ageMs })),
      demand,
    };
  }

  #expire(now: number): void {
    const isOld = ({ madeAt }: Held): boolean => now - madeAt > REPORT_LIFETIME_MS;
    for (const [key, held] of this.#members) if (isOld(held)) this.#members.delete(key);
    for (const [key, held] of this.#dataCentres) if (isOld(held)) this.#dataCentres.delete(key);
    if (this.#answer && isOld(this.#answer)) this.#answer = undefined;
  }
}

/** Sums over one instance. */
export function sumsOfInstance(report: InstanceReport): ConditionSums {
  const { instance, dataCentre, pressure, ready, demand } = report;
  const instances = { calm: 0, pressed: 0, overloaded: 0, [pressure]: 1 };
  return {
    from: instance,
    dataCentre,
    scope: 'members',
    ageMs: 0,
    dataCentres: [{ dataCentre, instances, ready: Number(ready), ageMs: 0 }],
    peers: [{ instance, pressure, ready, ageMs: 0 }],
    demand,
  };
}

function sumConditions(
  dataCentre: DataCentreId,
  parts: readonly DataCentreCondition[],
): DataCentreCondition {
  const sum = { dataCentre, instances: { calm: 0, pressed: 0, overloaded: 0 }, ready: 0, ageMs: 0 };
  for (const { instances, ready } of parts) {
    sum.instances.calm += instances.calm;
    sum.instances.pressed += instances.pressed;
    sum.instances.overloaded += instances.overloaded;
    sum.ready += ready;
  }
  return sum;
}

function mostPressed(peers: readonly InstanceCondition[]): InstanceCondition[] {
  return peers
    .toSorted((a, b) => {
      const byPressure = comparePressure(b.pressure, a.pressure);
      return byPressure || Number(a.ready) - Number(b.ready) || (a.instance < b.instance ? -1 : 1);
    })
    .slice(0, MAX_NAMED_PEERS);
}

function aged(peers: readonly InstanceCondition[], byMs: number): InstanceCondition[] {
  return peers.map((peer) => ({ ...peer, ageMs: peer.ageMs + byMs }));
}
