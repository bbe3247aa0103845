/**
 * Keeps the lines of one holder: in the journal, or, when that takes long, in a witness's memory.
 * Whoever records a line waits here until it is kept.
 */

import type { AppendFault, LineRoutes } from './lineRoutes.js';
import type { AppendAnswer } from '../../types/moneyPorts.js';
import type { JournalChange, Spender } from '@flamingocourse/core';
import type { Steps } from '@flamingocourse/kernel';
import { Channel, awaitPromise, sleep, startProcess, take } from '@flamingocourse/kernel';
import { Result } from 'true-myth';

/** Lines sent in one message; more wait for the next. */
const MAX_LINES_PER_APPEND = 500;

/** Wait before the journal is tried again, in milliseconds. */
const RETRY_MS = 100;

/** What a line log is created with. */
export interface LineLogOptions {
  spender: Spender;
  routes: LineRoutes;
  /** Wait for the journal before the witnesses are asked too, in milliseconds. */
  witnessAfterMs: number;
  /** Whether the platform answered when it was last asked. */
  isPlatformUp: () => boolean;
  /** Called with each journal that came with the answer to an append. */
  onAnswer: (answer: AppendAnswer) => void;
  /** Called once when the journal refuses this holder for good. */
  onSealed: () => void;
  onFailure: (err: unknown) => void;
}

interface Waiter {
  seq: number;
  settle: (result: Result<'kept', AppendFault>) => void;
}

/** Line log of one holder. */
export class LineLog {
  readonly #options: LineLogOptions;
  readonly #toJournal = new Channel<true>(1, 'drop-newest');
  readonly #toWitness = new Channel<true>(1, 'drop-newest');
  #waiters: Waiter[] = [];
  #witnessedSeq = 0;
  #sealed = false;

  constructor(options: LineLogOptions) {
    this.#options = options;
    void startProcess(() => this.#appendLoop(), options.onFailure);
    void startProcess(() => this.#witnessLoop(), options.onFailure);
  }

  /** Whether this holder was refused for good. */
  get sealed(): boolean {
    return this.#sealed;
  }

  /** Whether the loops have been ended. */
  get ended(): boolean {
    return this.#toJournal.closed;
  }

  /** Appends changes as lines and resolves once all of them are kept. */
  record(changes: JournalChange[]): Promise<Result<'kept', AppendFault>> {
    const { spender } = this.#options;
    if (this.#sealed) return Promise.resolve(Result.err('sealed'));
    if (spender.full) return Promise.resolve(Result.err('unreachable'));
    const seqs = changes.map((change) => spender.append(change).seq);
    this.#toJournal.offer(true);
    this.#toWitness.offer(true);
    return new Promise((settle) => {
      this.#waiters.push({ seq: Math.max(0, ...seqs), settle });
    });
  }

  /** Settles what the spender's newest journal shows as kept. */
  settleKept(): void {
    const keptSeq = Math.max(this.#options.spender.appliedSeq, this.#witnessedSeq);
    const settled = this.#waiters.filter((waiter) => waiter.seq <= keptSeq);
    this.#waiters = this.#waiters.filter((waiter) => waiter.seq > keptSeq);
    for (const waiter of settled) waiter.settle(Result.ok('kept'));
  }

  /** Ends the log of a holder that was sealed: nothing more can be kept. */
  seal(): void {
    if (this.#sealed) return;
    this.#sealed = true;
    this.close();
    for (const waiter of this.#waiters) waiter.settle(Result.err('sealed'));
    this.#waiters = [];
    this.#options.onSealed();
  }

  /** Ends the loops; lines that are not kept stay so. */
  close(): void {
    this.#toJournal.close();
    this.#toWitness.close();
  }

  *#appendLoop(): Steps<void> {
    while ((yield* take(this.#toJournal)) !== undefined) {
      while (!this.#sealed && this.#options.spender.unapplied.length > 0) {
        const reached = yield* awaitPromise(this.#append());
        if (!reached && this.#toJournal.closed) return;
        if (!reached) yield* sleep(RETRY_MS);
      }
    }
  }

  async #append(): Promise<boolean> {
    const { spender, routes } = this.#options;
    const lines = spender.unapplied.slice(0, MAX_LINES_PER_APPEND);
    const before = spender.appliedSeq;
    const answer = await routes.append(lines);
    if (answer.isErr) {
      if (answer.error === 'sealed') this.seal();
      return false;
    }
    spender.sync(answer.value.state);
    this.#options.onAnswer(answer.value);
    this.settleKept();
    // an answer that shows nothing new must not make the loop spin.
    return spender.appliedSeq > before;
  }

  *#witnessLoop(): Steps<void> {
    while ((yield* take(this.#toWitness)) !== undefined) {
      while (!this.#sealed && this.#waiters.length > 0) {
        if (this.#options.isPlatformUp()) yield* sleep(this.#options.witnessAfterMs);
        if (this.#waiters.length === 0) break;
        const kept = yield* awaitPromise(this.#keep());
        if (!kept && this.#toWitness.closed) return;
        if (!kept) yield* sleep(RETRY_MS);
      }
    }
  }

  async #keep(): Promise<boolean> {
    const { spender, routes } = this.#options;
    const lines = [...spender.unapplied];
    const last = lines.at(-1)?.seq ?? 0;
    const kept = await routes.keep(spender.witnesses, lines);
    // a seal that was learnt meanwhile has settled the waiters already.
    if (!kept || this.#sealed) return false;
    this.#witnessedSeq = Math.max(this.#witnessedSeq, last);
    this.settleKept();
    return true;
  }
}
