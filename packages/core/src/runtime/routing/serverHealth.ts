/** Health of one backend server as seen by one router: ejection after failures, gradual return. */

import type { EpochMs } from '../../types/ids.js';

/** Outcome of an attempt at a backend server, with regard to the server's health. */
export type AttemptEnd = 'ok' | 'failed' | 'timeout' | 'leaving' | 'cancelled';

/** Settings of ejection and return. */
export interface HealthSettings {
  /** Consecutive failures after which a server is ejected. @default 3 */
  maxFailuresInRow: number;
  /** Fraction of failed attempts (moving average) at which a server is ejected. @default 0.5 */
  maxFailureShare: number;
  /** Duration of the first ejection, in milliseconds; doubles each time. @default 2000 */
  ejectMs: number;
  /** Maximum duration of an ejection, in milliseconds. @default 30000 */
  maxEjectMs: number;
  /** Time over which a server returns to its full capacity, in milliseconds. @default 10000 */
  rampMs: number;
  /**
   * Multiple of the median time to first token above which a server is an outlier. Disabled by
   * default: it brought no gain over a choice by load, because one router sees too few answers of
   * each server.
   * @default Infinity
   */
  slowFactor: number;
}

/** Health of one server. */
export interface ServerHealth {
  failuresInRow: number;
  /** Moving average of failures, from 0 to 1. */
  failureShare: number;
  /** Moving average of the time to first token, in milliseconds; absent before the first sample. */
  latencyMs?: number;
  samples: number;
  ejections: number;
  /** End of the current or last ejection. */
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
/** Minimum number of samples before an average is used. */
const MIN_SAMPLES = 10;
/** Fraction of its capacity that a returning server gets at first. */
const RAMP_START = 0.1;
/** Minimum number of measured servers for a comparison with the median. */
const MIN_SERVERS_FOR_MEDIAN = 3;
/** Time without ejection after which earlier ejections are ignored, in milliseconds. */
const FORGET_EJECTIONS_MS = 60_000;

/**
 * Creates the initial health of a server.
 *
 * @example
 * let health = createServerHealth();
 */
export function createServerHealth(): ServerHealth {
  return { failuresInRow: 0, failureShare: 0, samples: 0, ejections: 0, ejectedUntil: 0 };
}

/**
 * Records the end of one attempt. Only failures and timeouts count against a server: a cancellation
 * by the caller and a planned shutdown do not indicate poor health.
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

/** Ejects a server; the duration doubles with each consecutive ejection. */
export function eject(health: ServerHealth, settings: HealthSettings, now: EpochMs): ServerHealth {
  // attempts in flight when the server failed may end during the ejection. They belong to the same
  // failure and must not extend the ejection.
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

/** Fraction of its capacity that a server may use: 0 while ejected, then rising to 1. */
export function healthShare(health: ServerHealth, settings: HealthSettings, now: EpochMs): number {
  if (now < health.ejectedUntil) return 0;
  if (health.ejections === 0) return 1;
  const returned = (now - health.ejectedUntil) / settings.rampMs;
  return Math.min(1, RAMP_START + (1 - RAMP_START) * returned);
}

/** Whether a server is slower than the median of all measured servers by the configured factor. */
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
