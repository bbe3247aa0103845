/** Estimates the load of one backend server from delayed reports and the router's own attempts. */

import type { EpochMs } from '../../types/ids.js';
import type { RateLimitPace } from './serverRateLimits.js';

/** A load report of a backend server. */
export interface LoadReport {
  running: number;
  waiting: number;
  /** When the load was measured, by the server's clock. */
  at: EpochMs;
  /** Requests that the server runs at once; absent if it does not tell. */
  slots?: number;
  /** How long work takes there, as a multiple of the usual; absent if it does not tell. */
  slowdown?: number;
}

interface Interval {
  startedAt: EpochMs;
  endedAt: EpochMs;
}

/** Maximum number of ended attempts kept, to subtract them from reports that include them. */
const MAX_ENDED = 512;
/** Expected remaining time of an attempt that takes longer than the mean, as a fraction of it. */
const OVERDUE_FRACTION = 0.25;
/** Weight of the last duration in the mean. */
const DURATION_WEIGHT = 0.1;
/** Age after which a report is ignored, in milliseconds. */
const REPORT_STALE_MS = 10_000;

/**
 * Estimates the load as the requests of other routers at the time of the last report, plus the own
 * attempts in flight now. Reports are delayed: without this correction, every router would send its
 * next requests to the server that was idle a second ago.
 *
 * @example
 * const load = new LoadEstimate();
 * load.start(1, now);
 * load.report({ running: 4, waiting: 0, at: now - 800 }, now);
 * load.total(now);
 */
export class LoadEstimate {
  readonly #inFlight = new Map<number, EpochMs>();
  #ended: Interval[] = [];
  #others = 0;
  #reportAt: EpochMs | undefined;
  #meanMs: number | undefined;

  /** Number of attempts of this router in flight. */
  get own(): number {
    return this.#inFlight.size;
  }

  /** Mean duration of recent answered attempts in milliseconds; undefined while unknown. */
  get meanMs(): number | undefined {
    return this.#meanMs;
  }

  /** Start time of the oldest own attempt in flight that was started at `from` or later. */
  oldestStart(from: EpochMs = -Infinity): EpochMs | undefined {
    let oldest: EpochMs | undefined;
    for (const startedAt of this.#inFlight.values()) {
      if (startedAt < from) continue;
      if (oldest === undefined || startedAt < oldest) oldest = startedAt;
    }
    return oldest;
  }

  start(attempt: number, now: EpochMs): void {
    this.#inFlight.set(attempt, now);
  }

  /**
   * Pace of requests while at most `most` own attempts may be in flight and none may be sent for
   * `pauseMs`.
   */
  pace(most: number, pauseMs: number, now: EpochMs): RateLimitPace {
    const meanMs = this.#meanMs ?? 0;
    const endsInMs = (this.oldestStart() ?? now) + meanMs - now;
    const nextEndMs = Math.max(endsInMs, OVERDUE_FRACTION * meanMs);
    const firstMs = Math.max(pauseMs, this.own < most ? 0 : nextEndMs);
    return { firstMs, intervalMs: Math.max(meanMs / most, pauseMs) };
  }

  /** Includes the duration of an attempt that was answered in the mean; call it before the end. */
  recordDuration(attempt: number, now: EpochMs): void {
    const startedAt = this.#inFlight.get(attempt);
    if (startedAt === undefined) return;
    const ms = now - startedAt;
    this.#meanMs = (this.#meanMs ?? ms) + DURATION_WEIGHT * (ms - (this.#meanMs ?? ms));
  }

  /** Ends an attempt; returns false if it had already ended. */
  end(attempt: number, now: EpochMs): boolean {
    const startedAt = this.#inFlight.get(attempt);
    if (startedAt === undefined) return false;
    this.#inFlight.delete(attempt);
    this.#ended.push({ startedAt, endedAt: now });
    if (this.#ended.length > MAX_ENDED) this.#ended.shift();
    return true;
  }

  /**
   * Applies a report; a report older than the previous one is ignored.
   *
   * @returns the requests of other routers in it; undefined if it is ignored.
   */
  report(report: LoadReport, now: EpochMs): number | undefined {
    // clocks of instances differ, so the time is clamped: not in the future, not older than the
    // limit.
    const at = Math.max(Math.min(report.at, now), now - REPORT_STALE_MS);
    if (this.#reportAt !== undefined && at < this.#reportAt) return undefined;
    this.#reportAt = at;
    this.#others = Math.max(0, report.running + report.waiting - this.#ownAt(at));
    this.#ended = this.#ended.filter((interval) => interval.endedAt > at);
    return this.#others;
  }

  /** Requests of other routers at the time of the last report. */
  others(now: EpochMs): number {
    const fresh = this.#reportAt !== undefined && now - this.#reportAt <= REPORT_STALE_MS;
    return fresh ? this.#others : 0;
  }

  /** Milliseconds since the last report was measured; undefined before the first. */
  ageMs(now: EpochMs): number | undefined {
    return this.#reportAt === undefined ? undefined : now - this.#reportAt;
  }

  total(now: EpochMs): number {
    return this.own + this.others(now);
  }

  #ownAt(at: EpochMs): number {
    let count = 0;
    for (const startedAt of this.#inFlight.values()) if (startedAt <= at) count += 1;
    for (const interval of this.#ended) {
      if (interval.startedAt <= at && interval.endedAt > at) count += 1;
    }
    return count;
  }
}
