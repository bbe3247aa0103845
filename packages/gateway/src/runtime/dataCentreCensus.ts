/** Counts the instances of a data centre and compares data centres, by a view of the fleet. */

import type {
  DataCentreCondition,
  FleetView,
  InstanceCondition,
  PressureLevel,
} from '@flamingocourse/core';

/** Milliseconds after which a report says nothing any more. */
const FRESH_MS = 3_000;
/** Milliseconds for which an instance that became silent counts as one that is out of rotation. */
const REMEMBERED_MS = 60_000;
/** Share of a data centre's instances that have to be calm, and ready, to take callers of another. */
const CALM_SHARE = 0.75;

/** The instances of the own data centre. */
export interface Census {
  /** All that reported in the last minute, and the own one. */
  total: number;
  /** Other instances with a recent report. */
  reporting: number;
  /** Other instances that are silent or not ready. */
  out: number;
  /** Other instances that are ready and calm. */
  calm: number;
  /** Instances that are pressed or overloaded, the own one included. */
  crowded: number;
  /** Overloaded instances that are before the own one in the order by name, and ready. */
  before: number;
}

/** The instance that counts. */
export interface OwnCondition {
  instance: string;
  pressure: PressureLevel;
}

/**
 * Remembers the instances of the own data centre, so that those that became silent are still counted.
 *
 * @example
 * const { total, out } = census.take(view, { instance: 'edge-1', pressure: 'calm' }, clock.now());
 */
export class DataCentreCensus {
  readonly #reportedAt = new Map<string, number>();

  take({ peers }: FleetView, own: OwnCondition, now: number): Census {
    const others = peers.filter(({ instance }) => instance !== own.instance);
    for (const { instance, ageMs } of others) this.#reportedAt.set(instance, now - ageMs);
    for (const [instance, at] of this.#reportedAt) {
      if (now - at > REMEMBERED_MS) this.#reportedAt.delete(instance);
    }
    const reporting = others.filter(isFresh);
    const isCrowded = [...reporting, own].filter(({ pressure }) => pressure !== 'calm');
    const ready = reporting.filter((peer) => peer.ready);
    const total = this.#reportedAt.size + 1;
    return {
      total,
      reporting: reporting.length,
      out: total - 1 - ready.length,
      calm: ready.filter(({ pressure }) => pressure === 'calm').length,
      crowded: isCrowded.length,
      before: ready.filter((peer) => isBefore(peer, own)).length,
    };
  }
}

/** Other data centres with a recent report. */
export function otherDataCentres(view: FleetView, own: string): DataCentreCondition[] {
  return view.dataCentres.filter(
    ({ dataCentre, ageMs }) => dataCentre !== own && ageMs <= FRESH_MS,
  );
}

/** Number of calm instances of a data centre that can take callers of another; otherwise 0. */
export function calmInstances(condition: DataCentreCondition): number {
  const { instances, ready } = condition;
  const needed = CALM_SHARE * sizeOf(condition);
  const isCalm = instances.overloaded === 0 && instances.calm >= needed && ready >= needed;
  return isCalm ? instances.calm : 0;
}

/** Whether most instances of a data centre are pressed or overloaded. */
export function isCrowded(condition: DataCentreCondition): boolean {
  const { pressed, overloaded } = condition.instances;
  return 2 * (pressed + overloaded) > sizeOf(condition);
}

/** Whether so few instances of a data centre are ready that its callers may go elsewhere. */
export function sendsCallersAway(condition: DataCentreCondition): boolean {
  return 2 * condition.ready < sizeOf(condition);
}

function sizeOf({ instances: { calm, pressed, overloaded } }: DataCentreCondition): number {
  return calm + pressed + overloaded;
}

function isFresh({ ageMs }: InstanceCondition): boolean {
  return ageMs <= FRESH_MS;
}

function isBefore({ instance, pressure }: InstanceCondition, own: OwnCondition): boolean {
  return pressure === 'overloaded' && instance < own.instance;
}
