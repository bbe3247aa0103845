/** Queueing model of a model server with continuous batching and a prefix cache. */

import type { LoadReport } from '@flamingocourse/core';
import type { VirtualLoop } from './virtualLoop.js';

/** One attempt, as a job of the server. */
export interface ServerJob {
  prefix: number;
  prefixTokens: number;
  promptTokens: number;
  outputTokens: number;
  /** Jobs with a lower value run first. */
  priority: number;
  onFirstToken: () => void;
  onDone: () => void;
  onFailed: () => void;
}

interface RunningJob {
  job: ServerJob;
  produced: number;
}

/** Default batch size, and the concurrency that is declared for a server by default. */
export const BATCH_SLOTS = 8;
/** Number of requests whose state fits into memory; with more of them every step is slower. */
const MEMORY_SLOTS = 8;
/** Step time beyond memory grows with this power of running requests / MEMORY_SLOTS. */
const THRASH_POWER = 1.5;
/** Step time with one request in the batch, in milliseconds. */
const STEP_MS = 12;
/** Fraction of the step time that each further request adds. */
const STEP_GROWTH = 0.05;
const PREFILL_MS_PER_TOKEN = 0.25;
/** Number of prefixes that fit into the cache. */
const CACHED_PREFIXES = 10;

/** A model server in virtual time. Every step computes one token of each running request. */
export class ServerModel {
  /** Factor on all times; above 1 the server is slow. */
  slowFactor = 1;
  up = true;
  producedTokens = 0;
  cacheHits = 0;
  cacheLookups = 0;
  readonly #loop: VirtualLoop;
  readonly #waiting: ServerJob[] = [];
  #running: RunningJob[] = [];
  #cache: number[] = [];
  #stepping = false;
  #incarnation = 0;

  readonly #slots: number;

  constructor(loop: VirtualLoop, slots = BATCH_SLOTS) {
    this.#loop = loop;
    this.#slots = slots;
  }

  get load(): LoadReport {
    return { running: this.#running.length, waiting: this.#waiting.length, at: this.#loop.now };
  }

  submit(job: ServerJob): void {
    if (!this.up) {
      job.onFailed();
      return;
    }
    const index = this.#waiting.findIndex((other) => other.priority > job.priority);
    this.#waiting.splice(index < 0 ? this.#waiting.length : index, 0, job);
    this.#startStep();
  }

  cancel(job: ServerJob): void {
    const index = this.#waiting.indexOf(job);
    if (index >= 0) this.#waiting.splice(index, 1);
    this.#running = this.#running.filter((running) => running.job !== job);
  }

  crash(): void {
    const lost = [...this.#running.map((running) => running.job), ...this.#waiting];
    this.up = false;
    this.#incarnation += 1;
    this.#running = [];
    this.#waiting.length = 0;
    this.#cache = [];
    this.#stepping = false;
    for (const job of lost) job.onFailed();
  }

  #startStep(): void {
    if (this.#stepping) return;
    const prefillMs = this.#admit();
    if (this.#running.length === 0) return;
    this.#stepping = true;
    const count = this.#running.length;
    const excess = Math.max(1, count / MEMORY_SLOTS) ** THRASH_POWER;
    const decodeMs = STEP_MS * (1 + STEP_GROWTH * (count - 1)) * excess;
    const incarnation = this.#incarnation;
    this.#loop.after((decodeMs + prefillMs) * this.slowFactor, () => {
      if (incarnation === this.#incarnation) this.#endStep();
    });
  }

  /** Fills the batch from the queue; returns the prefill time of the new prompts in milliseconds. */
  #admit(): number {
    let prefillMs = 0;
    while (this.#running.length < this.#slots) {
      const job = this.#waiting.shift();
      if (!job) break;
      const cached = this.#lookUp(job.prefix);
      const tokens = job.promptTokens + (cached ? 0 : job.prefixTokens);
      prefillMs += tokens * PREFILL_MS_PER_TOKEN;
      this.#running.push({ job, produced: 0 });
    }
    return prefillMs;
  }

  #endStep(): void {
    this.#stepping = false;
    const done: RunningJob[] = [];
    for (const running of [...this.#running]) {
      running.produced += 1;
      this.producedTokens += 1;
      if (running.produced === 1) running.job.onFirstToken();
      if (running.produced >= running.job.outputTokens) done.push(running);
    }
    this.#running = this.#running.filter((running) => !done.includes(running));
    for (const { job } of done) job.onDone();
    this.#startStep();
  }

  /** Looks up a prefix and marks it as the most recently used. */
  #lookUp(prefix: number): boolean {
    const known = this.#cache.includes(prefix);
    this.#cache = [prefix, ...this.#cache.filter((other) => other !== prefix)];
    this.#cache.length = Math.min(this.#cache.length, CACHED_PREFIXES);
    this.cacheLookups += 1;
    if (known) this.cacheHits += 1;
    return known;
  }
}
