/** Requests of this incarnation that are running or ended recently, so that retries find them. */

import type { EpochMs, TicketId } from '@flamingocourse/core';
import type { LiveAnswer } from './liveAnswer.js';

/** Time for which a finished answer stays available to retries, in milliseconds. */
export const ANSWER_RETENTION_MS = 120_000;

const MAX_FINISHED = 4_096;

/** The run of one request of this incarnation. */
export interface Execution {
  ticket: TicketId;
  bodyDigest: string;
  keyDigest?: string;
  answer: LiveAnswer;
  /** Aborted to cancel the request. */
  abort: AbortController;
  /** True if it is certain that no other ticket ran a request with the same key. */
  soleRun: boolean;
  /** Set before the first byte can reach a backend server. */
  dispatched: boolean;
  finishedAt?: EpochMs;
}

/** Finds executions by ticket number or key; limits the age and count of finished ones. */
export class ExecutionTable {
  readonly #byNumber = new Map<number, Execution>();
  readonly #byKey = new Map<string, Execution>();
  readonly #finished: Execution[] = [];
  readonly #running = new Set<Execution>();

  /** Number of requests that have not ended. */
  get running(): number {
    return this.#running.size;
  }

  /** Requests that have not ended. */
  get unfinished(): Execution[] {
    return [...this.#running];
  }

  add(execution: Execution): void {
    this.#running.add(execution);
    this.#byNumber.set(execution.ticket.number, execution);
    if (execution.keyDigest !== undefined) this.#byKey.set(execution.keyDigest, execution);
  }

  byNumber(number: number): Execution | undefined {
    return this.#byNumber.get(number);
  }

  byKey(keyDigest: string): Execution | undefined {
    return this.#byKey.get(keyDigest);
  }

  /** Marks an execution as ended and evicts finished ones that are too old or too many. */
  markFinished(execution: Execution, now: EpochMs): void {
    execution.finishedAt = now;
    this.#running.delete(execution);
    this.#finished.push(execution);
    while (this.#isEvictable(this.#finished[0], now)) this.#delete(this.#finished.shift());
  }

  /** Removes a request that was refused without running, so that a retry starts a new run. */
  remove(execution: Execution): void {
    this.#delete(execution);
  }

  /** Removes all executions when the incarnation ends; returns those still running. */
  clear(): Execution[] {
    const running = this.unfinished;
    this.#running.clear();
    this.#byNumber.clear();
    this.#byKey.clear();
    this.#finished.length = 0;
    return running;
  }

  #isEvictable(execution: Execution | undefined, now: EpochMs): boolean {
    if (execution?.finishedAt === undefined) return false;
    const expired = now - execution.finishedAt > ANSWER_RETENTION_MS;
    return expired || this.#finished.length > MAX_FINISHED;
  }

  #delete(execution: Execution | undefined): void {
    if (!execution) return;
    this.#running.delete(execution);
    if (this.#byNumber.get(execution.ticket.number) === execution) {
      this.#byNumber.delete(execution.ticket.number);
    }
    const key = execution.keyDigest;
    if (key !== undefined && this.#byKey.get(key) === execution) this.#byKey.delete(key);
  }
}
