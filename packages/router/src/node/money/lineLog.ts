/**
 * Stores the journal lines of one holder: in the journal or, when that takes too long, in the
 * memory of a witness. A line is kept once it is in either place, and its recorder waits until
 * then.
 */

import type { AppendFault, LineTransport } from './lineTransport.js';
import type { AppendAnswer } from '../../types/moneyPorts.js';
import type { JournalChange, Spender } from '@flamingocourse/core';
import type { Steps } from '@flamingocourse/kernel';
import { Channel, awaitPromise, sleep, startLoop, take } from '@flamingocourse/kernel';
import { Result } from 'true-myth';

/** Maximum number of lines in one append. Further lines wait for the next append. */
const MAX_LINES_PER_APPEND = 500;

/** Delay before the journal or the witnesses are tried again, in milliseconds. */
const RETRY_MS = 100;

/** Options of {@link LineLog}. */
export interface LineLogOptions {
  spender: Spender;
  transport: LineTransport;
  /** Time to wait for the journal before the witnesses are also asked, in milliseconds. */
  witnessAfterMs: number;
  /** Whether the platform answered the last call. */
  isPlatformUp: () => boolean;
  /** Called with the journal that each successful append returns. */
  onAnswer: (answer: AppendAnswer) => void;
  /** Called once when the holder turns out to be sealed. */
  onSealed: () => void;
  onFailure: (err: unknown) => void;
}

interface Waiter {
  seq: number;
  settle: (result: Result<'kept', AppendFault>) => void;
}

/**
 * Line log of one holder. Two loops send the lines, one to the journal and one to the witnesses.
 */
export class LineLog {
  readonly #options: LineLogOptions;
  readonly #toJournal = new Channel<true>(1, 'drop-newest');
  readonly #toWitness = new Channel<true>(1, 'drop-newest');
  #waiters: Waiter[] = [];
  #witnessedSeq = 0;
  #sealed = false;

  constructor(options: LineLogOptions) {
    this.#options = options;
    startLoop(() => this.#appendLoop(), options.onFailure);
    startLoop(() => this.#witnessLoop(), options.onFailure);
  }

  /** Whether the holder is sealed, so that no more lines are accepted. */
  get sealed(): boolean {
    return this.#sealed;
  }

  /** Whether the log was closed. */
  get ended(): boolean {
    return this.#toJournal.closed;
  }

  /** Records changes as lines and resolves once all of them are kept. */
  record(changes: JournalChange[]): Promise<Result<'kept', AppendFault>> {
    const { spender } = this.#options;
    if (this.#sealed) return Promise.resolve(Result.err('sealed'));
    if (spender.isFull) return Promise.resolve(Result.err('unreachable'));
    const seqs = changes.map((change) => spender.append(change).seq);
    this.#toJournal.offer(true);
    this.#toWitness.offer(true);
    return new Promise((settle) => {
      this.#waiters.push({ seq: Math.max(0, ...seqs), settle });
    });
  }

  /** Resolves the waiters whose lines are in the spender's newest journal or at a witness. */
  settleKept(): void {
    const keptSeq = Math.max(this.#options.spender.appliedSeq, this.#witnessedSeq);
    const settled = this.#waiters.filter((waiter) => waiter.seq <= keptSeq);
    this.#waiters = this.#waiters.filter((waiter) => waiter.seq > keptSeq);
    for (const waiter of settled) waiter.settle(Result.ok('kept'));
  }

  /** Closes the log of a sealed holder and fails all waiters: no more lines can be stored. */
  seal(): void {
    if (this.#sealed) return;
    this.#sealed = true;
    this.close();
    for (const waiter of this.#waiters) waiter.settle(Result.err('sealed'));
    this.#waiters = [];
    this.#options.onSealed();
  }

  /** Ends the loops once the waiting lines are stored or an attempt to store them fails. */
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
    const { spender, transport } = this.#options;
    const lines = spender.unapplied.slice(0, MAX_LINES_PER_APPEND);
    const before = spender.appliedSeq;
    const answer = await transport.append(lines);
    if (answer.isErr) {
      if (answer.error === 'sealed') this.seal();
      return false;
    }
    spender.sync(answer.value.state);
    this.#options.onAnswer(answer.value);
    this.settleKept();
    // Without progress this returns false, so that the loop waits before it tries again.
    return spender.appliedSeq > before;
  }

  *#witnessLoop(): Steps<void> {
    while ((yield* take(this.#toWitness)) !== undefined) {
      while (!this.#sealed && this.#waiters.length > 0) {
        if (this.#options.isPlatformUp()) yield* sleep(this.#options.witnessAfterMs);
        if (this.#waiters.length === 0) break;
        const kept = yield* awaitPromise(this.#storeAtWitness());
        if (!kept && this.#toWitness.closed) return;
        if (!kept) yield* sleep(RETRY_MS);
      }
    }
  }

  async #storeAtWitness(): Promise<boolean> {
    const { spender, transport } = this.#options;
    const lines = [...spender.unapplied];
    const last = lines.at(-1)?.seq ?? 0;
    const kept = await transport.storeAtWitness(spender.witnesses, lines);
    // If the holder was found sealed in the meantime, the waiters have already failed.
    if (!kept || this.#sealed) return false;
    this.#witnessedSeq = Math.max(this.#witnessedSeq, last);
    this.settleKept();
    return true;
  }
}
