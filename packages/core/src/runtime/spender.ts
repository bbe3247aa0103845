/**
 * Local state of one holder: what it may spend, what requests have set aside and which of its lines
 * the journal does not show yet. Does no I/O; the services around it carry the lines.
 */

import type { AccountId, IncarnationId, Tokens, WorkClassName } from '../types/ids.js';
import type { JournalChange, JournalLine, JournalState } from '../types/journal.js';
import { Result } from 'true-myth';

/** Lines that may wait for the journal; beyond it nothing new is accepted. */
const MAX_UNAPPLIED_LINES = 1_500;

/** Tokens set aside for one request. */
export interface SpenderReservation {
  readonly id: number;
  readonly account: AccountId;
  readonly workClass: WorkClassName;
  readonly amount: Tokens;
}

/** What the spender knows of an account's whole budget, from the ledger. */
export interface BudgetView {
  limit: Tokens;
  /** Spent in all data centres but this one. */
  spentElsewhere: Tokens;
  /** The same by class of work. */
  spentElsewhereByClass: Record<WorkClassName, Tokens>;
}

/** A request's wish, with the limits that apply to its class. */
export interface SpenderRequest {
  account: AccountId;
  workClass: WorkClassName;
  amount: Tokens;
  /** Part of the limit that the class may draw, from 0 to 1. */
  budgetShare: number;
  /** Remaining tokens of the whole budget that must be left for more important classes. */
  floor: Tokens;
}

/** Why tokens were not set aside: now (`no-tokens`), or by the rules of class and budget. */
export type Shortage = 'no-tokens' | 'class-share' | 'reserved-for-first' | 'budget-spent';

/** A transfer that the receiver was told of before the journal showed it. */
interface Credit {
  from: IncarnationId;
  seq: number;
  account: AccountId;
  amount: Tokens;
}

/** Part of the journal that the spender reads. */
export type SpenderJournal = Pick<JournalState, 'accounts' | 'holders'>;

/**
 * One holder's spending.
 *
 * @example
 * const spender = new Spender('dc-a/router-1/018f');
 * spender.sync(journal);
 * const line = spender.append({ type: 'take', account: 'kirk', amount: 4_096 });
 */
export class Spender {
  readonly holder: IncarnationId;
  #journal: SpenderJournal = { accounts: {}, holders: {} };
  #unapplied: JournalLine[] = [];
  #nextSeq = 1;
  #nextReservation = 1;
  #credits: Credit[] = [];
  readonly #reservations = new Map<number, SpenderReservation>();
  readonly #budgets = new Map<AccountId, BudgetView>();

  constructor(holder: IncarnationId) {
    this.holder = holder;
  }

  /** Lines that the journal, as last seen, does not have; dense and in order. */
  get unapplied(): readonly JournalLine[] {
    return this.#unapplied;
  }

  /** Whether no further line may be appended until the journal has caught up. */
  get full(): boolean {
    return this.#unapplied.length >= MAX_UNAPPLIED_LINES;
  }

  /** Sequence number of the last line that the journal showed. */
  get appliedSeq(): number {
    return this.#journal.holders[this.holder]?.seq ?? 0;
  }

  /** Whether the journal, as last seen, lets this holder write. */
  get open(): boolean {
    return this.#journal.holders[this.holder]?.state === 'open';
  }

  /**
   * Peers whose word that they keep a line can be trusted: those that the journal names now and
   * will name after every unapplied line. A peer named by only one of the two might not be asked
   * when this holder is sealed, and the line would be lost.
   */
  get witnesses(): IncarnationId[] {
    let trusted = this.#journal.holders[this.holder]?.witnesses ?? [];
    for (const { change } of this.#unapplied) {
      if (change.type !== 'witnesses') continue;
      trusted = trusted.filter((witness) => change.witnesses.includes(witness));
    }
    return trusted;
  }

  /** Whether a change of witnesses is still on its way into the journal. */
  get changesWitnesses(): boolean {
    return this.#unapplied.some((line) => line.change.type === 'witnesses');
  }

  /** Accounts of which this holder has or had tokens. */
  get accounts(): AccountId[] {
    return Object.keys(this.#journal.accounts);
  }

  /**
   * Takes in a newer journal. An older one is left aside: lines that it lacks were dropped here
   * already, so it would show tokens that have been spent.
   */
  sync(journal: SpenderJournal): boolean {
    const seq = journal.holders[this.holder]?.seq ?? 0;
    if (seq < this.appliedSeq) return false;
    this.#journal = journal;
    this.#unapplied = this.#unapplied.filter((line) => line.seq > seq);
    this.#credits = this.#credits.filter((credit) => !this.#shows(credit));
    return true;
  }

  /** Takes in what the ledger says of an account. */
  setBudget(account: AccountId, view: BudgetView): void {
    this.#budgets.set(account, view);
  }

  /** What the ledger last said of an account. */
  budget(account: AccountId): BudgetView | undefined {
    return this.#budgets.get(account);
  }

  /** Gives a change its place in the sequence. */
  append(change: JournalChange): JournalLine {
    const line: JournalLine = { holder: this.holder, seq: this.#nextSeq, change };
    this.#nextSeq += 1;
    this.#unapplied.push(line);
    return line;
  }

  /** Counts tokens that a peer has transferred by a line that is kept; twice counts once. */
  credit(from: IncarnationId, seq: number, account: AccountId, amount: Tokens): void {
    const credit = { from, seq, account, amount };
    if (this.#shows(credit)) return;
    if (this.#credits.some((known) => known.from === from && known.seq === seq)) return;
    this.#credits.push(credit);
  }

  /** Tokens that may be set aside now. */
  free(account: AccountId): Tokens {
    return this.held(account) - this.#reserved(account);
  }

  /** Tokens that this holder has, those set aside included. */
  held(account: AccountId): Tokens {
    const slice = this.#journal.holders[this.holder]?.slices[account] ?? 0;
    const credits = sum(this.#credits.filter((credit) => credit.account === account));
    return slice + credits - this.#unappliedDebit(account);
  }

  /** Sets the worst case of a request aside. */
  reserve(request: SpenderRequest): Result<SpenderReservation, Shortage> {
    const shortage = this.#shortage(request);
    if (shortage) return Result.err(shortage);
    const { account, workClass, amount } = request;
    const reservation = { id: this.#nextReservation, account, workClass, amount };
    this.#nextReservation += 1;
    this.#reservations.set(reservation.id, reservation);
    return Result.ok(reservation);
  }

  /** Whether a reservation is still set aside. */
  isReserved(reservation: SpenderReservation): boolean {
    return this.#reservations.get(reservation.id) === reservation;
  }

  /** Ends a reservation; a second time changes nothing. */
  release(reservation: SpenderReservation): boolean {
    if (!this.isReserved(reservation)) return false;
    return this.#reservations.delete(reservation.id);
  }

  /** Tokens set aside by requests in progress, in all or of one account. */
  reservedTokens(account?: AccountId): Tokens {
    return this.#reserved(account);
  }

  /** Free tokens beyond a level, to be given back. */
  idle(account: AccountId, level: Tokens): Tokens {
    return Math.max(0, this.free(account) - level);
  }

  #shortage(request: SpenderRequest): Shortage | undefined {
    if (request.amount === 0) return undefined;
    const lacking = this.free(request.account) < request.amount;
    const budget = this.#budgets.get(request.account);
    if (!budget) return lacking ? 'no-tokens' : undefined;
    const remaining = budget.limit - budget.spentElsewhere - this.#drawnHere(request.account);
    // the limit may have been raised since it was read, so tokens in hand are never refused for it.
    if (lacking && remaining < request.amount) return 'budget-spent';
    if (request.floor > 0 && remaining - request.amount < request.floor) {
      return 'reserved-for-first';
    }
    const drawn = this.#classDrawn(request, budget);
    if (request.budgetShare < 1 && drawn + request.amount > budget.limit * request.budgetShare) {
      return 'class-share';
    }
    return lacking ? 'no-tokens' : undefined;
  }

  /** Spent in this data centre or set aside here. */
  #drawnHere(account: AccountId): Tokens {
    const spent = this.#journal.accounts[account]?.spent ?? 0;
    return spent + this.#unappliedBills(account) + this.#reserved(account);
  }

  #classDrawn(request: SpenderRequest, budget: BudgetView): Tokens {
    const { account, workClass } = request;
    const here = this.#journal.accounts[account]?.spentByClass?.[workClass] ?? 0;
    const elsewhere = budget.spentElsewhereByClass[workClass] ?? 0;
    const unapplied = this.#unappliedBills(account, workClass);
    return here + elsewhere + unapplied + this.#reserved(account, workClass);
  }

  #reserved(account?: AccountId, workClass?: WorkClassName): Tokens {
    const counted = [...this.#reservations.values()].filter(
      (one) =>
        (account === undefined || one.account === account) &&
        (workClass === undefined || one.workClass === workClass),
    );
    return sum(counted);
  }

  #unappliedBills(account: AccountId, workClass?: WorkClassName): Tokens {
    let total = 0;
    for (const { change } of this.#unapplied) {
      if (change.type !== 'bill' || change.bill.account !== account) continue;
      if (workClass === undefined || change.bill.workClass === workClass) total += change.bill.cost;
    }
    return total;
  }

  /** What unapplied lines take from the slice; an unapplied `take` adds nothing yet. */
  #unappliedDebit(account: AccountId): Tokens {
    let total = this.#unappliedBills(account);
    for (const { change } of this.#unapplied) {
      if (change.type !== 'give' && change.type !== 'transfer') continue;
      if (change.account === account) total += change.amount;
    }
    return total;
  }

  /** Whether the journal includes a transfer; a sender that is gone from it was applied whole. */
  #shows(credit: Credit): boolean {
    const sender = this.#journal.holders[credit.from];
    return sender === undefined || sender.seq >= credit.seq;
  }
}

function sum(entries: { amount: Tokens }[]): Tokens {
  return entries.reduce((total, entry) => total + entry.amount, 0);
}
