/** Continuous batching of the engine stand-in: each step writes one token per running request. */

import { Channel, sleep, startLoop, take } from '@flamingocourse/kernel';

/** A request in the scheduler. */
export interface Sequence {
  /** Lower values run first. */
  priority: number;
  /** Time to read the uncached part of the prompt, in milliseconds. */
  prefillMs: number;
  /** Writes the next token; returns whether the request is finished. */
  writeToken(): boolean;
}

/** Durations of a step, queried again for each step. */
export interface StepTimes {
  /** Milliseconds of a decoding step with this many requests. */
  decodeMs(batch: number): number;
  slowFactor(): number;
  /** While it returns true, nothing is written. */
  hanging(): boolean;
}

const HANG_POLL_MS = 20;

/**
 * Runs up to `slots` requests concurrently; the others wait, ordered by priority and arrival.
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
    startLoop(() => this.#run(), onFailure);
  }

  get running(): number {
    return this.#running.length;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  /** Adds a request to the queue. */
  add(sequence: Sequence): void {
    const index = this.#waiting.findIndex((other) => other.priority > sequence.priority);
    this.#waiting.splice(index === -1 ? this.#waiting.length : index, 0, sequence);
    this.#wake.offer(true);
  }

  /** Removes a running or waiting request; its slot is free from the next step on. */
  cancel(sequence: Sequence): void {
    this.#running = this.#running.filter((other) => other !== sequence);
    this.#waiting = this.#waiting.filter((other) => other !== sequence);
  }

  /** Drops all requests and stops the scheduler. */
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

  /** Fills free slots; returns the time to read the new prompts, in milliseconds. */
  #admit(): number {
    const admitted = this.#waiting.splice(0, this.#slots - this.#running.length);
    this.#running.push(...admitted);
    return admitted.reduce((sum, sequence) => sum + sequence.prefillMs, 0);
  }

  #writeTokens(): void {
    const finished = new Set<Sequence>();
    for (const sequence of [...this.#running]) {
      // a crash in the middle of a step also ends the step for the other requests.
      if (!this.#open) return;
      if (sequence.writeToken()) finished.add(sequence);
    }
    this.#running = this.#running.filter((sequence) => !finished.has(sequence));
  }
}
