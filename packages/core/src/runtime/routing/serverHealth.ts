/** Health of one backend server as seen by one router: ejection after failures, slow return. */

import type { EpochMs } from '../../types/ids.js';

/** How an attempt at a backend server ended, as far as the server's health is concerned. */
export type AttemptEnd = 'ok' | 'failed' | 'timeout' | 'leaving' | 'cancelled';

/** Tuning of ejection and return. */
export interface HealthSettings {
  /** Failures in a row that eject a server. @default 3 */
  maxFailuresInRow: number;
  /** Share of failed attempts (moving average) that ejects a server. @default 0.5 */
  maxFailureShare: number;
  /** First ejection in milliseconds; doubles with each further one. @default 2000 */
  ejectMs: number;
  /** Longest ejection in milliseconds. @default 30000 */
  maxEjectMs: number;
  /** Time in milliseconds over which a server returns to its full share. @default 10000 */
  rampMs: number;
  /**
   * Multiple of the median first-token time above which a server is an outlier. Off by default: it
   * showed no gain over choice by load, as one router sees too few answers of each server.
   * @default Infinity
   */
  slowFactor: number;
}

/** Health of one server. */
export interface ServerHealth {
  failuresInRow: number;
  /** Moving average of failures, from 0 to 1. */
  failureShare: number;
  /** Moving average of the first-token time in milliseconds; absent before the first sample. */
  latencyMs?: number;
  samples: number;
  ejections: number;
  /** End of the present or last ejection. */
  ejectedUntil: EpochMs;
}

export const defaultHealthSettings: HealthSettings = {
  maxFailuresInRow: 3,
  maxFailureShare: 0.5,
  ejectMs: 2_000,
  maxEjectMs: 30_000,
  rampMs: 10_000,
  slowFactor: Infinity,
};

/** Weight of one sample in the moving averages. */
const SAMPLE_WEIGHT = 0.1;
/** Samples before an average is judged. */
const MIN_SAMPLES = 10;
/** Share of its capacity with which a server returns. */
const RAMP_START = 0.1;
/** Servers that have to be measured before one can be called slow against the median. */
const MIN_SERVERS_FOR_MEDIAN = 3;
/** Time without ejection after which earlier ones are forgotten, in milliseconds. */
const FORGET_EJECTIONS_MS = 60_000;

/**
 * Health of a server about which nothing is known.
 *
 * @example
 * let health = createServerHealth();
 */
export function createServerHealth(): ServerHealth {
  return { failuresInRow: 0, failureShare: 0, samples: 0, ejections: 0, ejectedUntil: 0 };
}

/**
 * Takes in the end of one attempt. Only failures and timeouts count against a server: a caller that
 * hangs up and a planned leave say nothing about its health.
 *
 * @example
 * health = recordAttempt(health, 'timeout', undefined, settings, now);
 */
export function recordAttempt(
  health: ServerHealth,
  end: AttemptEnd,
  firstTokenMs: number | undefined,
  settings: HealthSettings,
  now: EpochMs,
): ServerHealth {
  if (end === 'cancelled' || end === 'leaving') return health;
  const bad = end !== 'ok';
  const next: ServerHealth = {
    ...health,
    failuresInRow: bad ? health.failuresInRow + 1 : 0,
    failureShare: movingAverage(health.failureShare, bad ? 1 : 0),
    samples: health.samples + 1,
  };
  if (firstTokenMs !== undefined) {
    next.latencyMs = movingAverage(health.latencyMs ?? firstTokenMs, firstTokenMs);
  }
  const tooMany = next.samples >= MIN_SAMPLES && next.failureShare >= settings.maxFailureShare;
  if (next.failuresInRow >= settings.maxFailuresInRow || (bad && tooMany)) {
    return eject(next, settings, now);
  }
  return next;
}

/** Takes a server out for a while that doubles with each ejection in a row. */
export function eject(health: ServerHealth, settings: HealthSettings, now: EpochMs): ServerHealth {
  // attempts that were in flight when the server failed end after the ejection; they are the same
  // failure seen again, and must not lengthen it.
  if (now < health.ejectedUntil) return health;
  const forgotten = now - health.ejectedUntil > FORGET_EJECTIONS_MS;
  const before = forgotten ? 0 : health.ejections;
  const ms = Math.min(settings.ejectMs * 2 ** before, settings.maxEjectMs);
  return {
    failuresInRow: 0,
    failureShare: 0,
    samples: 0,
    ejections: before + 1,
    ejectedUntil: now + ms,
  };
}

/** Share of its capacity that a server may use: 0 while ejected, then rising to 1. */
export function healthShare(health: ServerHealth, settings: HealthSettings, now: EpochMs): number {
  if (now < health.ejectedUntil) return 0;
  if (health.ejections === 0) return 1;
  const returned = (now - health.ejectedUntil) / settings.rampMs;
  return Math.min(1, RAMP_START + (1 - RAMP_START) * returned);
}

/** Whether a server answers far slower than the median of all measured servers. */
export function isSlowOutlier(
  health: ServerHealth,
  all: ServerHealth[],
  settings: HealthSettings,
): boolean {
  if (health.samples < MIN_SAMPLES || health.latencyMs === undefined) return false;
  const measured = all
    .filter((other) => other.samples >= MIN_SAMPLES)
    .flatMap((other) => other.latencyMs ?? [])
    .sort((a, b) => a - b);
  if (measured.length < MIN_SERVERS_FOR_MEDIAN) return false;
  const median = measured[Math.floor((measured.length - 1) / 2)] ?? 0;
  return health.latencyMs > settings.slowFactor * median;
}

function movingAverage(average: number, sample: number): number {
  return average + SAMPLE_WEIGHT * (sample - average);
}
