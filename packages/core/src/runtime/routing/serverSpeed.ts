/** How fast one backend server works at this moment, as far as its reports tell. */

import type { EpochMs } from '../../types/ids.js';
import { SpeedPersistence } from './speedPersistence.js';

/** Number of earlier reports that a new one is compared with. */
const COMPARED_REPORTS = 8;
/** Time over which the mean is taken, in milliseconds. */
const MEAN_TIME_MS = 20_000;
/** Maximum weight of one report in the mean; a report after a long pause is still only one. */
const MAX_MEAN_WEIGHT = 0.1;
/** Maximum relative deviation that is compared. */
const MAX_DEVIATION = 2;
/** A server works at its usual speed unless its reports say otherwise. */
const USUAL = 1;

/** The last speed report of a server. */
export interface SpeedReport {
  /** How long work takes, as a multiple of the usual. */
  slowdown: number;
  ageMs: number;
}

interface StoredReport {
  slowdown: number;
  at: EpochMs;
}

/**
 * Speed of one server process. A report loses its meaning within a second, because servers share
 * their machines with other workloads; what remains is the mean.
 *
 * @example
 * const speed = new ServerSpeed(persistence);
 * speed.expected(now); // undefined
 * speed.report(2.5, now);
 * speed.expected(now); // 2.5
 * speed.expected(now + 10_000); // close to the mean
 */
export class ServerSpeed {
  readonly #persistence: SpeedPersistence;
  /** The newest last. */
  readonly #reports: StoredReport[] = [];
  #mean = USUAL;

  /** @param persistence how reports age; shared by the servers of a service. */
  constructor(persistence = new SpeedPersistence()) {
    this.#persistence = persistence;
  }

  /** Long-term mean of the reports. */
  get mean(): number {
    return this.#mean;
  }

  /** The last report; undefined before the first. */
  last(now: EpochMs): SpeedReport | undefined {
    const last = this.#reports.at(-1);
    return last && { slowdown: last.slowdown, ageMs: Math.max(0, now - last.at) };
  }

  /** Applies a report; one that is older than the last is ignored. */
  report(slowdown: number, at: EpochMs): void {
    const last = this.#reports.at(-1);
    if (last && at < last.at) return;
    const later = this.#deviation(slowdown);
    for (const report of this.#reports) {
      const earlier = this.#deviation(report.slowdown);
      this.#persistence.compare({ earlier, later, gapMs: at - report.at });
    }
    // reports arrive in bursts, so each counts for the time since the one before.
    const sinceMs = last ? at - last.at : Infinity;
    const weight = Math.min(MAX_MEAN_WEIGHT, 1 - Math.exp(-sinceMs / MEAN_TIME_MS));
    this.#mean += weight * (slowdown - this.#mean);
    this.#reports.push({ slowdown, at });
    if (this.#reports.length > COMPARED_REPORTS) this.#reports.shift();
  }

  /** Expected slowdown now; undefined before the first report. */
  expected(now: EpochMs): number | undefined {
    const last = this.last(now);
    if (!last) return undefined;
    return this.#mean + (last.slowdown - this.#mean) * this.#persistence.at(last.ageMs);
  }

  /** Relative to the mean and bounded, so that one server with odd figures doesn't decide for all. */
  #deviation(slowdown: number): number {
    return Math.min(MAX_DEVIATION, slowdown / this.#mean - 1);
  }
}
