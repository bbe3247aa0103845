/** One incarnation of this router as a holder: its spending, journal lines and tickets. */

import type { AppendAnswer } from '../../types/moneyPorts.js';
import type { Fleet } from '../../types/fleet.js';
import type {
  IncarnationId,
  JournalChange,
  JournalState,
  SlicePolicy,
  TicketId,
  Tokens,
} from '@flamingocourse/core';
import type { WitnessStore } from './witnessStore.js';
import type { AppendFault, JournalWriter, LineTransport } from './lineTransport.js';
import { runInBackground } from '@flamingocourse/kernel';
import { Spender, pool, registerHolder, entryOf } from '@flamingocourse/core';
import { Result } from 'true-myth';
import { delay, withTimeout } from './timing.js';
import { DemandTracker } from './demandTracker.js';
import { LineLog } from './lineLog.js';

/**
 * Number of peers used as witnesses. With each further witness, one more can fail during an outage
 * without loss of lines, but one more must answer before this holder can be sealed and its slices
 * become free.
 */
const WITNESS_COUNT = 2;

/** Fraction of the target below which a slice is refilled. */
const REFILL_BELOW_FRACTION = 0.5;

/** Multiple of the target above which the excess of a slice is returned to the pool. */
const RETURN_ABOVE_FACTOR = 2;

/** Timeout for a line to be kept, in milliseconds. After it the outcome counts as unknown. */
const RECORD_TIMEOUT_MS = 5_000;

/**
 * Interval at which `close` checks whether the journal shows the holder closed, in milliseconds.
 */
const CLOSE_POLL_MS = 10;

/** Options of {@link HolderSession}. */
export interface HolderSessionOptions {
  fleet: Fleet;
  writer: JournalWriter;
  transport: LineTransport;
  witnessAfterMs: number;
  /** Former incarnations of this process. */
  formerIncarnations: IncarnationId[];
  onAnswer: (answer: AppendAnswer) => void;
  onSealed: () => void;
  onFailure: (err: unknown) => void;
}

/**
 * Session of one incarnation, from its registration in the journal until it is closed or sealed.
 */
export class HolderSession {
  readonly spender: Spender;
  readonly log: LineLog;
  readonly demand = new DemandTracker();
  readonly #options: HolderSessionOptions;
  #registered = false;
  #nextTicket = 1;

  constructor(options: HolderSessionOptions) {
    this.#options = options;
    this.spender = new Spender(options.fleet.self.incarnation);
    this.log = new LineLog({
      spender: this.spender,
      transport: options.transport,
      witnessAfterMs: options.witnessAfterMs,
      isPlatformUp: () => options.writer.reachable,
      onAnswer: options.onAnswer,
      onSealed: options.onSealed,
      onFailure: options.onFailure,
    });
  }

  /** Whether this incarnation is registered in the journal and neither sealed nor closed. */
  get open(): boolean {
    return this.#registered && this.spender.isOpen && !this.log.sealed;
  }

  /**
   * Registers this incarnation in the journal. Returns false on failure; the caller then retries.
   */
  async register(now: number): Promise<boolean> {
    const { writer, formerIncarnations } = this.#options;
    const witnesses = this.#chooseWitnesses();
    const written = await writer.change((state) =>
      Result.ok(registerHolder(state, this.spender.holder, witnesses, now, formerIncarnations)),
    );
    if (written.isErr) return false;
    this.#registered = true;
    this.sync(written.value.state);
    return true;
  }

  /** Accepts a newer journal. Ends the session when the journal shows the holder as sealed. */
  sync(journal: JournalState): void {
    if (!this.#registered) return;
    this.spender.sync(journal);
    this.log.settleKept();
    // A journal read before the registration does not contain the holder and says nothing about it.
    if (entryOf(journal.holders, this.spender.holder) && !this.spender.isOpen) this.log.seal();
  }

  /** Issues the next ticket. */
  nextTicket(): TicketId {
    const number = this.#nextTicket;
    this.#nextTicket += 1;
    return { issuer: this.spender.holder, number };
  }

  /** Whether lines can be stored, either in the journal or at a witness that is alive. */
  get canRecord(): boolean {
    if (this.#options.writer.reachable) return true;
    return this.spender.witnesses.some((one) => this.#isAlive(one));
  }

  /** Replaces witnesses that are not alive, and adds some when too few are registered. */
  renewWitnesses(): void {
    if (!this.open || this.spender.hasPendingWitnessChange) return;
    const named = this.spender.witnesses.filter((one) => this.#isAlive(one));
    const wanted = this.#chooseWitnesses(named);
    const isSame =
      wanted.length === this.spender.witnesses.length &&
      wanted.every((one) => this.spender.witnesses.includes(one));
    if (!isSame) this.#recordLater({ type: 'witnesses', witnesses: wanted });
  }

  /** Refills the slice of an account when it is low and returns the excess when it is too large. */
  balance(account: string, journal: JournalState, policy: SlicePolicy, now: number): void {
    if (!this.open || this.#isTaking(account)) return;
    const target = this.#sliceTarget(account, journal, policy, now, 0);
    const free = this.spender.free(account);
    if (free < target * REFILL_BELOW_FRACTION) this.#takeFromPool(account, target - free, journal);
    if (free > target * RETURN_ABOVE_FACTOR && target > 0) {
      const { onFailure } = this.#options;
      runInBackground(() => this.returnToPool(account, free - target), onFailure);
    }
  }

  /**
   * Takes tokens from the pool for waiting requests. When the pool has too few, returns the number
   * of tokens that it needs; otherwise returns 0.
   */
  takeForWaiting(
    account: string,
    amount: Tokens,
    journal: JournalState,
    policy: SlicePolicy,
    now: number,
  ): Tokens {
    const shortfall = amount - this.spender.free(account);
    if (shortfall <= 0 || this.#isTaking(account)) return 0;
    const target = this.#sliceTarget(account, journal, policy, now, amount);
    this.#takeFromPool(account, Math.max(shortfall, target - this.spender.free(account)), journal);
    return pool(journal, account) < shortfall ? shortfall : 0;
  }

  /** Returns free tokens to the pool. Resolves with the amount once the line is kept. */
  async returnToPool(account: string, amount: Tokens): Promise<Tokens> {
    const given = Math.floor(Math.min(amount, this.spender.free(account)));
    if (!this.open || given <= 0) return 0;
    const kept = await this.log.record([{ type: 'give', account, amount: given }]);
    return kept.isOk ? given : 0;
  }

  /** Records changes. Resolves with `unreachable` when they are not kept within the timeout. */
  record(changes: JournalChange[]): Promise<Result<'kept', AppendFault>> {
    const late = Result.err<'kept', AppendFault>('unreachable');
    return withTimeout(this.log.record(changes), RECORD_TIMEOUT_MS, late);
  }

  /**
   * Returns all tokens and closes the holder. If requests still have reservations or the witness
   * still stores lines, the holder stays open, and a peer seals it later.
   */
  async close(witness: WitnessStore): Promise<void> {
    const { writer } = this.#options;
    if (!this.open) return;
    await witness.replay(writer);
    await Promise.all(this.spender.accounts.map((one) => this.returnToPool(one, Infinity)));
    // A sealer skips a closed witness, so this one must not store lines of other holders any more.
    if (!witness.isEmpty || this.spender.reservedTokens() > 0) return;
    witness.close();
    await this.log.record([{ type: 'close' }]);
    // With the close line at a witness no tokens are lost. Once it is in the journal, no peer has
    // to seal this holder.
    while (writer.reachable && !this.log.ended) await delay(CLOSE_POLL_MS);
  }

  #takeFromPool(account: string, amount: Tokens, journal: JournalState): void {
    if (amount <= 0 || pool(journal, account) <= 0) return;
    this.#recordLater({ type: 'take', account, amount });
  }

  /** Records a change without waiting until it is kept. */
  #recordLater(change: JournalChange): void {
    runInBackground(() => this.log.record([change]), this.#options.onFailure);
  }

  #isTaking(account: string): boolean {
    return this.spender.unapplied.some(
      ({ change }) => change.type === 'take' && change.account === account,
    );
  }

  #sliceTarget(
    account: string,
    journal: JournalState,
    policy: SlicePolicy,
    now: number,
    shortfall: Tokens,
  ): Tokens {
    return policy.sliceTarget({
      demandPerSecond: this.demand.rate(account, now),
      available: pool(journal, account) + Math.max(0, this.spender.free(account)),
      routers: this.#options.fleet.localPeers().length + 1,
      shortfall,
    });
  }

  #chooseWitnesses(first: string[] = []): string[] {
    const others = this.#options.fleet
      .localPeers()
      .map((peer) => peer.info.incarnation)
      .filter((one) => this.#isAlive(one) && !first.includes(one));
    return [...first, ...others].slice(0, WITNESS_COUNT);
  }

  #isAlive(incarnation: string): boolean {
    return this.#options.fleet.find(incarnation)?.health === 'alive';
  }
}
