/** What scenarios of the budget measurement are given and give back. */

import type { FalseRefusals, OracleType } from '../../runtime/budgetMeasure/oracle.js';
import type { RequestRecord } from '../../runtime/budgetMeasure/requestPlan.js';
import type { MoneyAudit } from './auditWorld.js';

/** What every scenario is given. */
export interface ScenarioOptions {
  seed: number;
  /** Length of the load of one scenario. */
  seconds: number;
}

/** Tokens out of use after a crash. */
export interface Stranded {
  tokens: number;
  /** The same as seconds of the killed router's mean demand. */
  demandSeconds: number;
  /** From the kill until all of them could be spent again, in milliseconds. */
  freeAfterMs: number;
}

/** Figures of one scenario. */
export interface ScenarioResult {
  name: string;
  requests: number;
  outcomes: Record<string, number>;
  falseRefusals: Record<OracleType, FalseRefusals>;
  audit: MoneyAudit;
  /** Platform calls by kind over the time of the load. */
  calls: Record<string, number>;
  seconds: number;
  /** Milliseconds added before dispatch and before the final event. */
  reserve: Percentiles;
  bill: Percentiles;
  /** Part of the reservations that ended within the time of one platform call. */
  reservedAtOnce: number;
  stranded?: Stranded;
}

/** Some percentiles in milliseconds. */
export interface Percentiles {
  p50: number;
  p95: number;
  p99: number;
}

/** Percentiles of values; zeros when there are none. */
export function percentilesOf(values: readonly number[]): Percentiles {
  const sorted = [...values].sort((left, right) => left - right);
  const at = (part: number): number => sorted[Math.floor(part * (sorted.length - 1))] ?? 0;
  return { p50: at(0.5), p95: at(0.95), p99: at(0.99) };
}

/** Counts records by outcome. */
export function countOutcomes(records: readonly RequestRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { outcome } of records) counts[outcome] = (counts[outcome] ?? 0) + 1;
  return counts;
}
