/** Decides when an instance without processor time leaves the rotation of the load balancer. */

import type { DataCentreId, FleetView, PressureLevel } from '@flamingocourse/core';
import type { Census } from './dataCentreCensus.js';
import {
  DataCentreCensus,
  calmInstances,
  isCrowded,
  otherDataCentres,
  sendsCallersAway,
} from './dataCentreCensus.js';

/**
 * Minimum milliseconds out of rotation: the load balancer notices at the second of two probes a
 * second apart.
 */
const MIN_OUT_MS = 3_000;
/** Milliseconds in which each reason holds once. Both together take 0.1125 of them, below an eighth. */
const WINDOW_MS = 80_000;
/** Maximum milliseconds out of rotation. */
const maxOutMs: Record<RotationReason, number> = { relief: 4_000, diversion: 5_000 };
/** Milliseconds after the first call in which pressure is that of code that runs for the first time. */
const START_MS = 10_000;
/**
 * Milliseconds after which the next instances in the order may leave if those before did not. The view
 * of the others is up to two seconds old.
 */
const TURN_MS = 2_500;
/** Milliseconds without a diversion after another data centre sent its callers away, maybe to here. */
const AFTER_OTHERS_MS = 20_000;

/**
 * Why an instance is out of rotation: `relief` is for the instance alone, `diversion` for its whole
 * data centre.
 */
export type RotationReason = 'relief' | 'diversion';

/** What the decision depends on. */
export interface ReadinessInputs {
  instance: string;
  dataCentre: DataCentreId;
  pressure: PressureLevel;
  /** What is known of the others; undefined if nothing is. */
  view: FleetView | undefined;
}

/** Whether the instance is in rotation, and what was counted. */
export interface RotationDecision {
  /** Why it is out of rotation; undefined while it is in. */
  reason: RotationReason | undefined;
  /** Whether callers' connections are closed after the response. */
  closesConnections: boolean;
  census: Census | undefined;
  /** Calm instances of other data centres that can take callers. */
  calmElsewhere: number;
}

interface Period {
  reason: RotationReason;
  since: number;
}

/** The inputs of one decision, counted. */
interface Situation {
  census: Census;
  calmElsewhere: number;
  pressure: PressureLevel;
}

/**
 * Takes an instance out of rotation for a short time, by its own pressure and that of the others. All
 * instances of a data centre compute the same from the same view. See
 * docs/design/overloaded-data-centre.md.
 *
 * @example
 * const { reason } = policy.decide({ instance, dataCentre, pressure, view }, clock.now());
 * const isInRotation = reason === undefined;
 */
export class ReadinessPolicy {
  readonly #census = new DataCentreCensus();
  readonly #lastBegan = new Map<RotationReason, number>();
  #startedAt: number | undefined;
  #period: Period | undefined;
  /** Since when this instance is overloaded. */
  #overloadedSince: number | undefined;
  #othersSentAwayAt = -Infinity;

  /** Decides anew. Call it several times a second. */
  decide(inputs: ReadinessInputs, now: number): RotationDecision {
    this.#startedAt ??= now;
    if (inputs.pressure === 'overloaded') this.#overloadedSince ??= now;
    else this.#overloadedSince = undefined;
    const situation = this.#situation(inputs, now);
    const isOver = this.#period && !this.#continues(this.#period, situation, now);
    if (isOver) this.#period = undefined;
    if (situation) this.#begin(situation, now);
    const isOut = this.#period !== undefined;
    return {
      reason: this.#period?.reason,
      closesConnections: isOut || (situation !== undefined && canSpreadCallers(situation)),
      census: situation?.census,
      calmElsewhere: situation?.calmElsewhere ?? 0,
    };
  }

  /** Counts what the view shows; undefined if it shows no others. */
  #situation(
    { instance, dataCentre, pressure, view }: ReadinessInputs,
    now: number,
  ): Situation | undefined {
    if (!view) return undefined;
    const census = this.#census.take(view, { instance, pressure }, now);
    const others = otherDataCentres(view, dataCentre);
    if (others.some(sendsCallersAway)) this.#othersSentAwayAt = now;
    if (census.reporting === 0 && census.total > 1) return undefined;
    const calm = others.reduce((sum, other) => sum + calmInstances(other), 0);
    return { census, calmElsewhere: others.some(isCrowded) ? 0 : calm, pressure };
  }

  #begin(situation: Situation, now: number): void {
    if (this.#period?.reason === 'diversion') return;
    if (this.#mayDivert(now) && needsDiversion(situation)) this.#start('diversion', now);
    else if (!this.#period && this.#mayRelieve(situation, now)) this.#start('relief', now);
  }

  #start(reason: RotationReason, now: number): void {
    this.#period = { reason, since: now };
    this.#lastBegan.set(reason, now);
  }

  #mayDivert(now: number): boolean {
    return this.#isDue('diversion', now) && now - this.#othersSentAwayAt >= AFTER_OTHERS_MS;
  }

  #mayRelieve({ census }: Situation, now: number): boolean {
    const since = this.#overloadedSince;
    if (since === undefined || !this.#isDue('relief', now)) return false;
    if (now - (this.#startedAt ?? now) < START_MS) return false;
    const limit = reliefLimit(census);
    if (census.out >= limit || census.calm <= census.out) return false;
    // those that had their turn lately stay, so the next ones don't wait for them any longer.
    const turn = Math.floor(census.before / (limit - census.out));
    return now - since >= turn * TURN_MS;
  }

  #isDue(reason: RotationReason, now: number): boolean {
    return now - (this.#lastBegan.get(reason) ?? -Infinity) >= WINDOW_MS;
  }

  #continues({ reason, since }: Period, situation: Situation | undefined, now: number): boolean {
    const outMs = now - since;
    if (outMs < MIN_OUT_MS) return true;
    if (outMs >= maxOutMs[reason] || !situation) return false;
    return reason === 'diversion' ? needsDiversion(situation) : situation.pressure !== 'calm';
  }
}

/** Instances that may be out together: fewer than half, so that the load balancer uses the others only. */
function reliefLimit({ total }: Census): number {
  return Math.ceil(total / 2) - 1;
}

/** Callers who connect again mostly reach a calm instance; otherwise a new connection is a cost only. */
function canSpreadCallers({ census, pressure }: Situation): boolean {
  return pressure !== 'calm' && 2 * census.calm >= census.total;
}

/** The calm instances elsewhere have to be half as many, or they would be overloaded in turn. */
function needsDiversion({ census, calmElsewhere }: Situation): boolean {
  return 2 * census.crowded > census.total && 2 * calmElsewhere >= census.total;
}
