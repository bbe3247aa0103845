/** One incarnation of this router as a holder: its spending, its lines and its tickets. */

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
import type { AppendFault, JournalWriter, LineRoutes } from './lineRoutes.js';
import { Spender, pool, registerHolder } from '@flamingocourse/core';
import { Result } from 'true-myth';
import { delay, within } from './timing.js';
import { DemandBook } from './demandBook.js';
import { LineLog } from './lineLog.js';

/**
 * Peers named as witnesses. Each more lets one more die in an outage, and one more must answer
 * before this holder's slices are free again.
 */
const WITNESSES = 2;

/** Part of the level below which a slice is refilled. */
const REFILL_BELOW = 0.5;

/** Times the level above which a slice is given back in part. */
const GIVE_ABOVE = 2;

/** Longest wait for a line to be kept; beyond it the caller is told that it is not known. */
const KEEP_TIMEOUT_MS = 5_000;

/** Time between two looks at what the journal has while leaving, in milliseconds. */
const LEAVE_POLL_MS = 10;

/** What a session is created with. */
export interface HolderSessionOptions {
  fleet: Fleet;
  writer: JournalWriter;
  routes: LineRoutes;
  witnessAfterMs: number;
  /** Earlier incarnations of this process. */
  formerly: IncarnationId[];
  onAnswer: (answer: AppendAnswer) => void;
  onSealed: () => void;
  onFailure: (err: unknown) => void;
}

/** Rights of one incarnation. */
export class HolderSession {
  readonly spender: Spender;
  readonly log: LineLog;
  readonly demand = new DemandBook();
  readonly #options: HolderSessionOptions;
  #registered = false;
  #nextTicket = 1;

  constructor(options: HolderSessionOptions) {
    this.#options = options;
    this.spender = new Spender(options.fleet.self.incarnation);
    this.log = new LineLog({
      spender: this.spender,
      routes: options.routes,
      witnessAfterMs: options.witnessAfterMs,
      isPlatformUp: () => options.writer.reachable,
      onAnswer: options.onAnswer,
      onSealed: options.onSealed,
      onFailure: options.onFailure,
    });
  }

  /** Whether the journal knows this incarnation and has not refused it. */
  get open(): boolean {
    return this.#registered && this.spender.open && !this.log.sealed;
  }

  /** Writes this incarnation into the journal; repeated until it succeeds. */
  async register(now: number): Promise<boolean> {
    const { writer, formerly } = this.#options;
    const witnesses = this.#wantedWitnesses();
    const written = await writer.change((state) =>
      Result.ok(registerHolder(state, this.spender.holder, witnesses, now, formerly)),
    );
    if (written.isErr) return false;
    this.#registered = true;
    this.sync(written.value.state);
    return true;
  }

  /** Takes in a newer journal; ends the session when the journal shows it sealed. */
  sync(journal: JournalState): void {
    if (!this.#registered) return;
    this.spender.sync(journal);
    this.log.settleKept();
    // a journal read before the registration lacks the holder; one after it says how it stands.
    if (journal.holders[this.spender.holder] && !this.spender.open) this.log.seal();
  }

  /** Issues the next ticket. */
  nextTicket(): TicketId {
    const number = this.#nextTicket;
    this.#nextTicket += 1;
    return { issuer: this.spender.holder, number };
  }

  /** Whether a line can be kept: in the journal, or at a witness that answers. */
  get canKeep(): boolean {
    if (this.#options.writer.reachable) return true;
    return this.spender.witnesses.some((one) => this.#isAlive(one));
  }

  /** Names other witnesses when one of them is gone or more can be had. */
  renewWitnesses(): void {
    if (!this.open || this.spender.changesWitnesses) return;
    const named = this.spender.witnesses.filter((one) => this.#isAlive(one));
    const wanted = this.#wantedWitnesses(named);
    const isSame =
      wanted.length === this.spender.witnesses.length &&
      wanted.every((one) => this.spender.witnesses.includes(one));
    if (!isSame) void this.log.record([{ type: 'witnesses', witnesses: wanted }]);
  }

  /** Takes tokens for an account when few are left, and gives back what lies idle. */
  balance(account: string, journal: JournalState, policy: SlicePolicy, now: number): void {
    if (!this.open || this.#isTaking(account)) return;
    const level = this.#level(account, journal, policy, now, 0);
    const free = this.spender.free(account);
    if (free < level * REFILL_BELOW) this.#take(account, level - free, journal);
    if (free > level * GIVE_ABOVE && level > 0) void this.give(account, free - level);
  }

  /**
   * Takes tokens that a waiting request lacks. Gives how many the pool would need to have, when it
   * has fewer.
   */
  takeFor(
    account: string,
    amount: Tokens,
    journal: JournalState,
    policy: SlicePolicy,
    now: number,
  ): Tokens {
    const lacking = amount - this.spender.free(account);
    if (lacking <= 0 || this.#isTaking(account)) return 0;
    const level = this.#level(account, journal, policy, now, amount);
    this.#take(account, Math.max(lacking, level - this.spender.free(account)), journal);
    return pool(journal, account) < lacking ? lacking : 0;
  }

  /** Gives free tokens back to the pool; resolves with the amount once the line is kept. */
  async give(account: string, amount: Tokens): Promise<Tokens> {
    const given = Math.floor(Math.min(amount, this.spender.free(account)));
    if (!this.open || given <= 0) return 0;
    const kept = await this.log.record([{ type: 'give', account, amount: given }]);
    return kept.isOk ? given : 0;
  }

  /** Records changes; after a time the answer is that it is not known whether they are kept. */
  record(changes: JournalChange[]): Promise<Result<'kept', AppendFault>> {
    const late = Result.err<'kept', AppendFault>('unreachable');
    return within(this.log.record(changes), KEEP_TIMEOUT_MS, late);
  }

  /** Gives everything back and closes the holder, unless the sealing of it has to do that. */
  async leave(witness: WitnessStore): Promise<void> {
    const { writer } = this.#options;
    if (!this.open) return;
    await witness.replay(writer);
    await Promise.all(this.spender.accounts.map((one) => this.give(one, Infinity)));
    // a closed witness is not asked for lines, so none of other holders may be left here.
    if (!witness.empty || this.spender.reservedTokens() > 0) return;
    witness.close();
    await this.log.record([{ type: 'close' }]);
    // kept at a witness is enough for the money; in the journal, peers need not seal this holder.
    while (writer.reachable && !this.log.ended) await delay(LEAVE_POLL_MS);
  }

  #take(account: string, amount: Tokens, journal: JournalState): void {
    if (amount <= 0 || pool(journal, account) <= 0) return;
    void this.log.record([{ type: 'take', account, amount }]);
  }

  #isTaking(account: string): boolean {
    return this.spender.unapplied.some(
      ({ change }) => change.type === 'take' && change.account === account,
    );
  }

  #level(
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

  #wantedWitnesses(first: string[] = []): string[] {
    const others = this.#options.fleet
      .localPeers()
      .map((peer) => peer.info.incarnation)
      .filter((one) => this.#isAlive(one) && !first.includes(one));
    return [...first, ...others].slice(0, WITNESSES);
  }

  #isAlive(incarnation: string): boolean {
    return this.#options.fleet.find(incarnation)?.health === 'alive';
  }
}
