/**
 * Local state of one holder: the tokens that it may spend, the reservations of requests, and its
 * lines that the journal does not include yet. It does no I/O; the calling services send the lines.
 */

import type { AccountId, IncarnationId, Tokens, WorkClassName } from '../types/ids.js';
import type { JournalChange, JournalLine, JournalState } from '../types/journal.js';
import { Result } from 'true-myth';
import { entryOf } from '../utils/table.js';

/** Number of unapplied lines at which a spender counts as full, so callers append no more. */
const MAX_UNAPPLIED_LINES = 1_500;

/** Tokens reserved for one request. */
export interface SpenderReservation {
  readonly id: number;
  readonly account: AccountId;
  readonly workClass: WorkClassName;
  readonly amount: Tokens;
}

/** Budget of an account in the whole fleet, as last read from the ledger. */
export interface BudgetView {
  limit: Tokens;
  /** Tokens spent in all other data centres. */
  spentElsewhere: Tokens;
  /** `spentElsewhere` by class of work. */
  spentElsewhereByClass: Record<WorkClassName, Tokens>;
}

/** Reservation that a request needs, with the limits that apply to its class. */
export interface SpenderRequest {
  account: AccountId;
  workClass: WorkClassName;
  amount: Tokens;
  /** Fraction of the limit that the class may use, from 0 to 1. */
  budgetShare: number;
  /** Tokens of the whole budget that must remain for more important classes. */
  floor: Tokens;
}

/**
 * Why a reservation was refused: with `no-tokens` this holder has too few tokens at the moment; the
 * other values name the limit of the class or of the budget that the request would exceed.
 */
export type ShortageReason = 'no-tokens' | 'class-share' | 'reserved-for-first' | 'budget-spent';

/** A transfer that the sender announced and that the journal does not include yet. */
interface TransferCredit {
  from: IncarnationId;
  seq: number;
  account: AccountId;
  amount: Tokens;
}

/** Parts of the journal that the spender reads. */
export type SpenderJournal = Pick<JournalState, 'accounts' | 'holders'>;

/**
 * Tracks the tokens and reservations of one holder.
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
  #credits: TransferCredit[] = [];
  readonly #reservations = new Map<number, SpenderReservation>();
  readonly #budgets = new Map<AccountId, BudgetView>();

  constructor(holder: IncarnationId) {
    this.holder = holder;
  }

  /** Lines that the last read journal does not include, in order and without gaps. */
  get unapplied(): readonly JournalLine[] {
    return this.#unapplied;
  }

  /** Whether callers must not append further lines until the journal has caught up. */
  get isFull(): boolean {
    return this.#unapplied.length >= MAX_UNAPPLIED_LINES;
  }

  /** Sequence number of the last line that the last read journal includes. */
  get appliedSeq(): number {
    return entryOf(this.#journal.holders, this.holder)?.seq ?? 0;
  }

  /** Whether the last read journal accepts lines of this holder. */
  get isOpen(): boolean {
    return entryOf(this.#journal.holders, this.holder)?.state === 'open';
  }

  /**
   * Peers whose confirmation that they stored a line counts: those that the journal lists now and
   * after every unapplied line. A peer missing from either list might not be asked when this holder
   * is sealed, and the line would be lost.
   */
  get witnesses(): IncarnationId[] {
    let trusted = entryOf(this.#journal.holders, this.holder)?.witnesses ?? [];
    for (const { change } of this.#unapplied) {
      if (change.type !== 'witnesses') continue;
      trusted = trusted.filter((witness) => change.witnesses.includes(witness));
    }
    return trusted;
  }

  /** Whether a change of witnesses is not applied to the journal yet. */
  get hasPendingWitnessChange(): boolean {
    return this.#unapplied.some((line) => line.change.type === 'witnesses');
  }

  /** Accounts in the last read journal. */
  get accounts(): AccountId[] {
    return Object.keys(this.#journal.accounts);
  }

  /**
   * Applies a newer journal. An older journal is ignored and `false` is returned: it does not
   * include lines that were already removed here, so spent tokens would appear as available.
   */
  sync(journal: SpenderJournal): boolean {
    const seq = entryOf(journal.holders, this.holder)?.seq ?? 0;
    if (seq < this.appliedSeq) return false;
    this.#journal = journal;
    this.#unapplied = this.#unapplied.filter((line) => line.seq > seq);
    this.#credits = this.#credits.filter((credit) => !this.#includes(credit));
    return true;
  }

  /** Stores the ledger's view of an account. */
  setBudget(account: AccountId, view: BudgetView): void {
    this.#budgets.set(account, view);
  }

  /** Returns the last stored ledger view of an account. */
  budget(account: AccountId): BudgetView | undefined {
    return this.#budgets.get(account);
  }

  /** Assigns the next sequence number to a change and queues it as an unapplied line. */
  append(change: JournalChange): JournalLine {
    const line: JournalLine = { holder: this.holder, seq: this.#nextSeq, change };
    this.#nextSeq += 1;
    this.#unapplied.push(line);
    return line;
  }

  /** Credits tokens that a peer transferred by a stored line. A repeated call has no effect. */
  credit(from: IncarnationId, seq: number, account: AccountId, amount: Tokens): void {
    const credit = { from, seq, account, amount };
    if (this.#includes(credit)) return;
    if (this.#credits.some((known) => known.from === from && known.seq === seq)) return;
    this.#credits.push(credit);
  }

  /** Tokens that can be reserved now. */
  free(account: AccountId): Tokens {
    return this.held(account) - this.#reserved(account);
  }

  /** Tokens that this holder has, including reserved tokens. */
  held(account: AccountId): Tokens {
    const slice = entryOf(entryOf(this.#journal.holders, this.holder)?.slices, account) ?? 0;
    const credits = sum(this.#credits.filter((credit) => credit.account === account));
    return slice + credits - this.#unappliedDebit(account);
  }

  /** Reserves the maximum cost of a request. */
  reserve(request: SpenderRequest): Result<SpenderReservation, ShortageReason> {
    const shortage = this.#shortageReason(request);
    if (shortage) return Result.err(shortage);
    const { account, workClass, amount } = request;
    const reservation = { id: this.#nextReservation, account, workClass, amount };
    this.#nextReservation += 1;
    this.#reservations.set(reservation.id, reservation);
    return Result.ok(reservation);
  }

  /** Whether a reservation has not been released. */
  isReserved(reservation: SpenderReservation): boolean {
    return this.#reservations.get(reservation.id) === reservation;
  }

  /** Releases a reservation. Returns `false` if it was released before. */
  release(reservation: SpenderReservation): boolean {
    if (!this.isReserved(reservation)) return false;
    return this.#reservations.delete(reservation.id);
  }

  /** Tokens reserved by requests in progress, of one account or of all accounts. */
  reservedTokens(account?: AccountId): Tokens {
    return this.#reserved(account);
  }

  /** Free tokens above a target, which can be returned. */
  idle(account: AccountId, target: Tokens): Tokens {
    return Math.max(0, this.free(account) - target);
  }

  #shortageReason(request: SpenderRequest): ShortageReason | undefined {
    if (request.amount === 0) return undefined;
    const isShort = this.free(request.account) < request.amount;
    const budget = this.#budgets.get(request.account);
    if (!budget) return isShort ? 'no-tokens' : undefined;
    const remaining = budget.limit - budget.spentElsewhere - this.#drawnLocally(request.account);
    // The limit may have been raised since it was read, so held tokens are never refused because of
    // it.
    if (isShort && remaining < request.amount) return 'budget-spent';
    if (request.floor > 0 && remaining - request.amount < request.floor) {
      return 'reserved-for-first';
    }
    const drawn = this.#classDrawn(request, budget);
    if (request.budgetShare < 1 && drawn + request.amount > budget.limit * request.budgetShare) {
      return 'class-share';
    }
    return isShort ? 'no-tokens' : undefined;
  }

  /** Tokens spent in this data centre, or billed or reserved by this holder. */
  #drawnLocally(account: AccountId): Tokens {
    const spent = entryOf(this.#journal.accounts, account)?.spent ?? 0;
    return spent + this.#unappliedBills(account) + this.#reserved(account);
  }

  #classDrawn(request: SpenderRequest, budget: BudgetView): Tokens {
    const { account, workClass } = request;
    const here = entryOf(entryOf(this.#journal.accounts, account)?.spentByClass, workClass) ?? 0;
    const elsewhere = entryOf(budget.spentElsewhereByClass, workClass) ?? 0;
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

  /**
   * Tokens that unapplied lines remove from the slice. An unapplied `take` does not add any yet.
   */
  #unappliedDebit(account: AccountId): Tokens {
    let total = this.#unappliedBills(account);
    for (const { change } of this.#unapplied) {
      if (change.type !== 'give' && change.type !== 'transfer') continue;
      if (change.account === account) total += change.amount;
    }
    return total;
  }

  /**
   * Whether the journal includes a transfer. All lines of a sender that the journal no longer lists
   * were applied.
   */
  #includes(credit: TransferCredit): boolean {
    const sender = entryOf(this.#journal.holders, credit.from);
    return sender === undefined || sender.seq >= credit.seq;
  }
}

function sum(entries: { amount: Tokens }[]): Tokens {
  return entries.reduce((total, entry) => total + entry.amount, 0);
}
