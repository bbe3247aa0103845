/** Options and results of the scenarios of the budget measurement. */

import type { FalseRefusals, OracleType } from '../../runtime/budgetMeasure/oracle.js';
import type { RequestRecord } from '../../runtime/budgetMeasure/requestPlan.js';
import type { MoneyAudit } from './auditSimulation.js';
import { entryOf, setEntry } from '@flamingocourse/core';

/** Options of all scenarios. */
export interface ScenarioOptions {
  seed: number;
  /** Duration of the load of one scenario. */
  seconds: number;
}

/** Tokens that were unusable after a crash. */
export interface Stranded {
  tokens: number;
  /** The tokens divided by the mean demand of the killed router, in seconds. */
  demandSeconds: number;
  /** Milliseconds from the kill until all tokens were free; `Infinity` after the time limit. */
  freeAfterMs: number;
}

/** Figures of one scenario. */
export interface ScenarioResult {
  name: string;
  requests: number;
  outcomes: Record<string, number>;
  falseRefusals: Record<OracleType, FalseRefusals>;
  audit: MoneyAudit;
  /** Platform calls by kind during the load. */
  calls: Record<string, number>;
  seconds: number;
  /** Milliseconds added before the dispatch; `bill`: before the final event. */
  reserve: Percentiles;
  bill: Percentiles;
  /** Fraction of the reservations that took less than one platform call. */
  reservedAtOnce: number;
  stranded?: Stranded;
}

/** Percentiles in milliseconds. */
export interface Percentiles {
  p50: number;
  p95: number;
  p99: number;
}

/** Returns percentiles of values; zeros if there are none. */
export function percentilesOf(values: readonly number[]): Percentiles {
  const sorted = [...values].sort((left, right) => left - right);
  const at = (part: number): number => sorted[Math.floor(part * (sorted.length - 1))] ?? 0;
  return { p50: at(0.5), p95: at(0.95), p99: at(0.99) };
}

/** Counts records by outcome. */
export function countOutcomes(records: readonly RequestRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { outcome } of records) setEntry(counts, outcome, (entryOf(counts, outcome) ?? 0) + 1);
  return counts;
}
