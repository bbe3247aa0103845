/** Aggregates the outcomes that callers saw into the figures of a run. */

import type { Histogram } from 'hdr-histogram-js';
import type {
  AccountFigures,
  AttemptOutcome,
  ClassFigures,
  EntryOutcome,
  LoadResult,
  Percentiles,
  PlannedRequest,
} from '../types/load.js';
import type { AnswerVerdict } from './answerCheck.js';
import { entryOf, setEntry } from '@flamingocourse/core';
import { build } from 'hdr-histogram-js';

const MAX_FAULTS = 50;
const MICROSECONDS_PER_MS = 1_000;
const MAX_LATENCY_US = 600_000_000;

interface ClassRecord {
  requests: number;
  whole: number;
  refused: number;
  firstToken: Histogram;
  full: Histogram;
}

type Counts = Omit<LoadResult, 'seed' | 'seconds' | 'classes'>;

/** Counts requests, attempts and latencies of one run. */
export class LoadRecorder {
  readonly #classes = new Map<string, ClassRecord>();
  readonly #counts: Counts = {
    requests: 0,
    whole: 0,
    cut: 0,
    mixed: 0,
    broken: 0,
    unanswered: 0,
    hungUp: 0,
    notStarted: 0,
    retries: 0,
    refusals: {},
    accounts: {},
    entries: {},
    faults: [],
  };

  get requests(): number {
    return this.#counts.requests;
  }

  get whole(): number {
    return this.#counts.whole;
  }

  get refused(): number {
    return Object.values(this.#counts.refusals).reduce((sum, count) => sum + count, 0);
  }

  notStarted(): void {
    this.#counts.notStarted += 1;
  }

  started(request: PlannedRequest): void {
    this.#counts.requests += 1;
    this.#class(request).requests += 1;
    this.#account(request).requests += 1;
  }

  /** Counts one attempt, including one that is followed by a retry. */
  attempt(request: PlannedRequest, index: number, end: AttemptOutcome): void {
    if (index > 0) this.#counts.retries += 1;
    if (end.type === 'broken') this.#counts.broken += 1;
    if ('verdict' in end) this.#recordVerdict(request, end.verdict);
  }

  /** Counts the final outcome of a request; `startedAt` and `endedAt` in milliseconds. */
  finished(request: PlannedRequest, end: AttemptOutcome, startedAt: number, endedAt: number): void {
    if (request.item.type === 'entry')
      setEntry(this.#counts.entries, request.key, entryOutcome(end));
    switch (end.type) {
      case 'answer':
        if (end.verdict === 'whole') this.#recordAnswer(request, end, startedAt, endedAt);
        return;
      case 'refused':
        this.#recordRefusal(request, end.reason);
        return;
      case 'hung-up':
        this.#counts.hungUp += 1;
        return;
      case 'broken':
      case 'unreachable':
        this.#counts.unanswered += 1;
    }
  }

  /** Figures of the run up to now. */
  result(seed: number, seconds: number): LoadResult {
    const classes = [...this.#classes].map(([name, record]) => [name, classFigures(record)]);
    return {
      seed,
      seconds,
      ...structuredClone(this.#counts),
      classes: Object.fromEntries(classes) as Record<string, ClassFigures>,
    };
  }

  #recordVerdict(request: PlannedRequest, verdict: AnswerVerdict): void {
    if (verdict === 'whole') return;
    if (verdict === 'mixed') this.#counts.mixed += 1;
    else this.#counts.cut += 1;
    if (this.#counts.faults.length >= MAX_FAULTS) return;
    this.#counts.faults.push({
      key: request.key,
      account: request.account.name,
      workClass: request.item.workClass,
      verdict,
    });
  }

  #recordAnswer(
    request: PlannedRequest,
    end: AttemptOutcome & { type: 'answer' },
    startedAt: number,
    endedAt: number,
  ): void {
    this.#counts.whole += 1;
    const record = this.#class(request);
    record.whole += 1;
    record.firstToken.recordValue(toMicroseconds(end.firstAt - startedAt));
    record.full.recordValue(toMicroseconds(endedAt - startedAt));
    const account = this.#account(request);
    account.whole += 1;
    account.tokens += (end.usage?.promptTokens ?? 0) + (end.usage?.completionTokens ?? 0);
  }

  #recordRefusal(request: PlannedRequest, reason: string): void {
    setEntry(this.#counts.refusals, reason, (entryOf(this.#counts.refusals, reason) ?? 0) + 1);
    this.#class(request).refused += 1;
    this.#account(request).refused += 1;
  }

  #class(request: PlannedRequest): ClassRecord {
    const name = request.item.workClass;
    const known = this.#classes.get(name);
    if (known) return known;
    const record = {
      requests: 0,
      whole: 0,
      refused: 0,
      firstToken: createHistogram(),
      full: createHistogram(),
    };
    this.#classes.set(name, record);
    return record;
  }

  #account(request: PlannedRequest): AccountFigures {
    const { accounts } = this.#counts;
    const known = entryOf(accounts, request.account.name);
    if (known) return known;
    const figures = { requests: 0, whole: 0, refused: 0, tokens: 0 };
    setEntry(accounts, request.account.name, figures);
    return figures;
  }
}

function entryOutcome(end: AttemptOutcome): EntryOutcome {
  if (end.type === 'answer') return 'entered';
  return end.type === 'refused' && end.run === 'not-run' ? 'not-run' : 'unknown';
}

function classFigures(record: ClassRecord): ClassFigures {
  const { requests, whole, refused } = record;
  const firstTokenMs = percentiles(record.firstToken);
  return { requests, whole, refused, firstTokenMs, fullMs: percentiles(record.full) };
}

function createHistogram(): Histogram {
  return build({ highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: 3 });
}

function percentiles(histogram: Histogram): Percentiles {
  const at = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return { count: histogram.totalCount, p50: at(50), p95: at(95), p99: at(99) };
}

function toMicroseconds(ms: number): number {
  return Math.min(Math.max(0, Math.round(ms * MICROSECONDS_PER_MS)), MAX_LATENCY_US);
}
