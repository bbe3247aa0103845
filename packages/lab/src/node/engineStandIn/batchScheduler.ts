/** Continuous batching of the engine stand-in: each step writes one token of every running request. */

import { Channel, sleep, startProcess, take } from '@flamingocourse/kernel';

/** A request as the scheduler sees it. */
export interface Sequence {
  /** Lower runs first. */
  priority: number;
  /** Time to read the part of the prompt that is not cached, in milliseconds. */
  prefillMs: number;
  /** Writes the next token; returns whether the request is finished. */
  writeToken(): boolean;
}

/** How long steps take, asked anew for each. */
export interface StepTimes {
  /** Milliseconds of a step with this many requests. */
  decodeMs(batch: number): number;
  slowFactor(): number;
  /** While true nothing is written. */
  hanging(): boolean;
}

const HANG_POLL_MS = 20;

/**
 * Runs up to `slots` requests at once; the others wait by priority, then by arrival.
 *
 * @example
 * const scheduler = new BatchScheduler(8, times, reportFailure);
 * scheduler.add(sequence);
 * scheduler.cancel(sequence);
 */
export class BatchScheduler {
  readonly #slots: number;
  readonly #times: StepTimes;
  readonly #wake = new Channel<true>(1, 'drop-newest');
  #running: Sequence[] = [];
  #waiting: Sequence[] = [];
  #open = true;

  constructor(slots: number, times: StepTimes, onFailure: (err: unknown) => void) {
    this.#slots = slots;
    this.#times = times;
    void startProcess(() => this.#run(), onFailure);
  }

  get running(): number {
    return this.#running.length;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  /** Puts a request into the queue. */
  add(sequence: Sequence): void {
    const place = this.#waiting.findIndex((other) => other.priority > sequence.priority);
    this.#waiting.splice(place === -1 ? this.#waiting.length : place, 0, sequence);
    this.#wake.offer(true);
  }

  /** Takes a request out, running or waiting; its slot is free at the next step. */
  cancel(sequence: Sequence): void {
    this.#running = this.#running.filter((other) => other !== sequence);
    this.#waiting = this.#waiting.filter((other) => other !== sequence);
  }

  /** Drops all requests and ends. */
  close(): void {
    this.#open = false;
    this.#running = [];
    this.#waiting = [];
    this.#wake.close();
  }

  *#run(): Generator<unknown, void, unknown> {
    while (this.#open) {
      const prefillMs = this.#admit();
      if (this.#running.length === 0) {
        if ((yield* take(this.#wake)) === undefined) return;
        continue;
      }
      const stepMs = prefillMs + this.#times.decodeMs(this.#running.length);
      yield* sleep(stepMs * this.#times.slowFactor());
      while (this.#isHanging()) yield* sleep(HANG_POLL_MS);
      this.#writeTokens();
    }
  }

  #isHanging(): boolean {
    return this.#open && this.#times.hanging();
  }

  /** Fills free slots; returns the time that reading the new prompts takes. */
  #admit(): number {
    const admitted = this.#waiting.splice(0, this.#slots - this.#running.length);
    this.#running.push(...admitted);
    return admitted.reduce((sum, sequence) => sum + sequence.prefillMs, 0);
  }

  #writeTokens(): void {
    const finished = new Set<Sequence>();
    for (const sequence of [...this.#running]) {
      // a crash in the middle of a step ends the step for the neighbours as well.
      if (!this.#open) return;
      if (sequence.writeToken()) finished.add(sequence);
    }
    this.#running = this.#running.filter((sequence) => !finished.has(sequence));
  }
}
