/** Counts and latencies per class of work in one run. */

import type { RefusalReason } from '@flamingocourse/core';
import type { Histogram } from 'hdr-histogram-js';
import type { ExperimentRequest } from './requestSource.js';
import type { ClassResult } from './types.js';
import { build } from 'hdr-histogram-js';
import { experimentClasses } from './requestSource.js';

interface Counts {
  offered: number;
  answered: number;
  targetMet: number;
  firstToken: Histogram;
  refusals: Partial<Record<RefusalReason, number>>;
}

/** Collects the results of a run. Requests that arrive during the warm-up are ignored. */
export class ClassStats {
  usefulTokens = 0;
  readonly #warmUpMs: number;
  readonly #classes = new Map(experimentClasses.map((item) => [item.name, createCounts()]));

  constructor(warmUpMs: number) {
    this.#warmUpMs = warmUpMs;
  }

  offered(request: ExperimentRequest): void {
    const counts = this.#countsOf(request);
    if (counts) counts.offered += 1;
  }

  answered(request: ExperimentRequest, firstTokenMs: number): void {
    const counts = this.#countsOf(request);
    if (!counts) return;
    counts.answered += 1;
    counts.firstToken.recordValue(Math.round(firstTokenMs));
    if (firstTokenMs <= request.workClass.firstTokenMs) counts.targetMet += 1;
    this.usefulTokens += request.outputTokens;
  }

  refused(request: ExperimentRequest, reason: RefusalReason): void {
    const counts = this.#countsOf(request);
    if (counts) counts.refusals[reason] = (counts.refusals[reason] ?? 0) + 1;
  }

  results(): ClassResult[] {
    return [...this.#classes].map(([workClass, counts]) => ({
      workClass,
      offered: counts.offered,
      answered: counts.answered,
      targetMet: counts.targetMet / Math.max(1, counts.offered),
      p50: counts.firstToken.getValueAtPercentile(50),
      p95: counts.firstToken.getValueAtPercentile(95),
      p99: counts.firstToken.getValueAtPercentile(99),
      refusals: counts.refusals,
    }));
  }

  #countsOf(request: ExperimentRequest): Counts | undefined {
    if (request.arrivedAt < this.#warmUpMs) return undefined;
    return this.#classes.get(request.workClass.name);
  }
}

function createCounts(): Counts {
  return { offered: 0, answered: 0, targetMet: 0, firstToken: build(), refusals: {} };
}
