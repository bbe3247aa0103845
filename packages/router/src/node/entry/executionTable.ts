/** Requests of this incarnation that run or ended recently, so that retries find their answer. */

import type { EpochMs, TicketId } from '@flamingocourse/core';
import type { LiveAnswer } from './liveAnswer.js';

/** Time for which a finished answer stays available to retries. */
export const ANSWER_RETENTION_MS = 120_000;

const MAX_FINISHED = 4_096;

/** One request of this incarnation. */
export interface Execution {
  ticket: TicketId;
  bodyDigest: string;
  keyDigest?: string;
  answer: LiveAnswer;
  /** Aborted when the request is given up on. */
  abort: AbortController;
  /** Whether it is known that no other ticket can have run under this request's key. */
  soleRun: boolean;
  /** Set just before the first byte may reach a backend server. */
  dispatched: boolean;
  finishedAt?: EpochMs;
}

/** Finds executions by ticket number and by idempotency key; bounded in time and count. */
export class ExecutionTable {
  readonly #byNumber = new Map<number, Execution>();
  readonly #byKey = new Map<string, Execution>();
  readonly #finished: Execution[] = [];

  /** Requests that have not ended. */
  get running(): number {
    return this.#byNumber.size - this.#finished.length;
  }

  add(execution: Execution): void {
    this.#byNumber.set(execution.ticket.number, execution);
    if (execution.keyDigest !== undefined) this.#byKey.set(execution.keyDigest, execution);
  }

  byNumber(number: number): Execution | undefined {
    return this.#byNumber.get(number);
  }

  byKey(keyDigest: string): Execution | undefined {
    return this.#byKey.get(keyDigest);
  }

  /** Marks an execution as ended and drops what is too old or too many. */
  finished(execution: Execution, now: EpochMs): void {
    execution.finishedAt = now;
    this.#finished.push(execution);
    while (this.#isDue(this.#finished[0], now)) this.#drop(this.#finished.shift());
  }

  /** Forgets a request that was refused without running, so that a retry starts afresh. */
  forget(execution: Execution): void {
    this.#drop(execution);
  }

  /** Forgets everything; called when the incarnation ends. Returns what was still running. */
  clear(): Execution[] {
    const running = [...this.#byNumber.values()].filter((item) => item.finishedAt === undefined);
    this.#byNumber.clear();
    this.#byKey.clear();
    this.#finished.length = 0;
    return running;
  }

  #isDue(execution: Execution | undefined, now: EpochMs): boolean {
    if (execution?.finishedAt === undefined) return false;
    const expired = now - execution.finishedAt > ANSWER_RETENTION_MS;
    return expired || this.#finished.length > MAX_FINISHED;
  }

  #drop(execution: Execution | undefined): void {
    if (!execution) return;
    if (this.#byNumber.get(execution.ticket.number) === execution) {
      this.#byNumber.delete(execution.ticket.number);
    }
    const key = execution.keyDigest;
    if (key !== undefined && this.#byKey.get(key) === execution) this.#byKey.delete(key);
  }
}
