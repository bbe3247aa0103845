/** Gives a process a share of one processor, as a limit of the operating system would. */

import { setTimeout as delay } from 'node:timers/promises';

/** Milliseconds of one turn, in which the process runs for its share and rests for the remainder. */
const TURN_MS = 100;

/** A process that can be paused and continued by signals. */
export interface PausableProcess {
  signal(signal: 'SIGSTOP' | 'SIGCONT'): void;
}

/**
 * Lets a process run for a share of each turn until `stop` is called.
 *
 * @example
 * const share = new ProcessorShare(instance, 0.12);
 * await share.stop();
 */
export class ProcessorShare {
  readonly #process: PausableProcess;
  readonly #runMs: number;
  readonly #turns: Promise<void>;
  #isStopped = false;

  constructor(process: PausableProcess, share: number) {
    this.#process = process;
    this.#runMs = TURN_MS * share;
    this.#turns = this.#run();
  }

  /** Lets the process run freely again. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#turns;
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      this.#process.signal('SIGSTOP');
      await delay(TURN_MS - this.#runMs);
      this.#process.signal('SIGCONT');
      await delay(this.#runMs);
    }
  }
}
