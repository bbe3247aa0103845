/** Queue model of one model server: continuous batching, prefix cache, lagging load. */

import type { LoadReport } from '@flamingocourse/core';
import type { VirtualLoop } from './virtualLoop.js';

/** One attempt as the server sees it. */
export interface ServerJob {
  prefix: number;
  prefixTokens: number;
  promptTokens: number;
  outputTokens: number;
  /** Lower runs first. */
  priority: number;
  onFirstToken: () => void;
  onDone: () => void;
  onFailed: () => void;
}

interface RunningJob {
  job: ServerJob;
  produced: number;
}

/** Requests in one batch of a well declared server. */
export const BATCH_SLOTS = 8;
/** Requests whose state fits into the server's memory; beyond it every step slows down. */
const MEMORY_SLOTS = 8;
/** How much a step slows down beyond memory: its time grows with this power of the excess. */
const THRASH_POWER = 1.5;
/** Step time with one request in the batch, in milliseconds. */
const STEP_MS = 12;
/** Part of the step time that each further request adds. */
const STEP_GROWTH = 0.05;
const PREFILL_MS_PER_TOKEN = 0.25;
/** Prefixes that fit into the cache. */
const CACHED_PREFIXES = 10;

/** A model server in virtual time; every step gives each running request one token. */
export class ServerModel {
  /** Multiplies all times; above 1 the server is slow. */
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
  #life = 0;

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
    const behind = this.#waiting.findIndex((other) => other.priority > job.priority);
    this.#waiting.splice(behind < 0 ? this.#waiting.length : behind, 0, job);
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
    this.#life += 1;
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
    const life = this.#life;
    this.#loop.after((decodeMs + prefillMs) * this.slowFactor, () => {
      if (life === this.#life) this.#endStep();
    });
  }

  /** Fills free places of the batch; returns the time to compute the new prompts. */
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

  /** Looks a prefix up and makes it the most recently used. */
  #lookUp(prefix: number): boolean {
    const known = this.#cache.includes(prefix);
    this.#cache = [prefix, ...this.#cache.filter((other) => other !== prefix)];
    this.#cache.length = Math.min(this.#cache.length, CACHED_PREFIXES);
    this.cacheLookups += 1;
    if (known) this.cacheHits += 1;
    return known;
  }
}
