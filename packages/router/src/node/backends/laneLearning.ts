/** What a lane has learned about its classes: how long they take and whether targets are met. */

import type { EpochMs, Importance, PlacementRule, ServiceTime } from '@flamingocourse/core';
import { cautiousServiceMs, ImportanceReserve, recordServiceTime } from '@flamingocourse/core';

/** Timing of an attempt that gave its answer, in milliseconds. */
export interface AnswerTiming {
  workClass: string;
  importance: Importance;
  /** From the request's arrival to its place. */
  waitedMs: number;
  /** From the place to the first token, or for plain services to the answer. */
  firstTokenMs: number;
  /** From the place to the end. */
  serviceMs: number;
}

/** Learns from answers; the reserve of places for important work follows from it. */
export class LaneLearning {
  readonly #reserve = new ImportanceReserve();
  readonly #serviceTimes = new Map<string, ServiceTime>();
  #targets = new Map<string, number>();

  /** Takes the first-token targets of the classes, in milliseconds. */
  setTargets(targets: Map<string, number>): void {
    this.#targets = targets;
  }

  targetMs(workClass: string): number | undefined {
    return this.#targets.get(workClass);
  }

  /** Expected time of a request of the class once placed, in milliseconds. */
  serviceMs(workClass: string, now: EpochMs): number {
    return cautiousServiceMs(this.#serviceTimes.get(workClass), now);
  }

  ruleFor(importance: Importance, owed = false): PlacementRule {
    return this.#reserve.ruleFor(importance, owed);
  }

  answered(timing: AnswerTiming, now: EpochMs): void {
    const { workClass, importance, waitedMs, firstTokenMs, serviceMs } = timing;
    const known = this.#serviceTimes.get(workClass);
    this.#serviceTimes.set(workClass, recordServiceTime(known, serviceMs, now));
    const target = this.#targets.get(workClass);
    if (target === undefined) return;
    this.#reserve.sample(importance, waitedMs + firstTokenMs > target);
  }

  /** A request that was refused for want of places has missed its target. */
  refused(importance: Importance): void {
    this.#reserve.sample(importance, true);
  }
}
