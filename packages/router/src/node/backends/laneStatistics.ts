/** Statistics of a lane's work classes: service times and whether targets are met. */

import type { EpochMs, Importance, PlacementRule, ServiceTime } from '@flamingocourse/core';
import {
  cautiousServiceMs,
  ImportanceReserve,
  meanServiceMs,
  recordServiceTime,
} from '@flamingocourse/core';

/** Timing of an attempt that returned its answer, in milliseconds. */
export interface AnswerTiming {
  workClass: string;
  importance: Importance;
  /** From the request's arrival to its placement. */
  waitedMs: number;
  /** From the placement to the first token, or to the answer for plain services. */
  firstTokenMs: number;
  /** From the placement to the end of the answer. */
  serviceMs: number;
}

/** Records answers and refusals, and adapts the reserve of places for important work to them. */
export class LaneStatistics {
  readonly #reserve = new ImportanceReserve();
  readonly #serviceTimes = new Map<string, ServiceTime>();
  /** Attempts that run, by their class. */
  readonly #running = new Map<string, Set<number>>();
  #targets = new Map<string, number>();

  /** Sets the first-token targets of the classes, in milliseconds. */
  setTargets(targets: Map<string, number>): void {
    this.#targets = targets;
  }

  /** First-token target of a class in milliseconds, if it has one. */
  targetMs(workClass: string): number | undefined {
    return this.#targets.get(workClass);
  }

  /**
   * Expected time from placement to the end of a request of the class, in milliseconds. While none
   * runs it is the mean: after a stall the cautious time can exceed the deadlines of the class, and
   * if every request was refused, no answer could correct it.
   */
  serviceMs(workClass: string, now: EpochMs): number {
    const known = this.#serviceTimes.get(workClass);
    return this.#running.has(workClass) ? cautiousServiceMs(known, now) : meanServiceMs(known, now);
  }

  recordPlaced(workClass: string, attempt: number): void {
    const attempts = this.#running.get(workClass) ?? new Set();
    this.#running.set(workClass, attempts.add(attempt));
  }

  recordEnd(workClass: string, attempt: number): void {
    const attempts = this.#running.get(workClass);
    attempts?.delete(attempt);
    if (attempts?.size === 0) this.#running.delete(workClass);
  }

  /** Rule that decides which places a request of this importance may use. */
  ruleFor(importance: Importance, isMinimumShareTurn = false): PlacementRule {
    return this.#reserve.ruleFor(importance, isMinimumShareTurn);
  }

  /** Records the service time of an answer, and whether the answer met its target. */
  recordAnswer(timing: AnswerTiming, now: EpochMs): void {
    const { workClass, importance, waitedMs, firstTokenMs, serviceMs } = timing;
    const known = this.#serviceTimes.get(workClass);
    this.#serviceTimes.set(workClass, recordServiceTime(known, serviceMs, now));
    const target = this.#targets.get(workClass);
    if (target === undefined) return;
    this.#reserve.sample(importance, waitedMs + firstTokenMs > target);
  }

  /** Records a request that was refused because no place was free; it has missed its target. */
  recordRefusal(importance: Importance): void {
    this.#reserve.sample(importance, true);
  }
}
