/** What one instance has lent to others of its data centre. */

import type { AccountId, EpochMs, IncarnationId, Tokens } from '../../types/ids.js';
import type { PrepaidReport, PrepaidReportEntry } from '../../types/prepaid.js';
import type { KnownDemand } from './demandSpread.js';
import type { PrepaidHolder } from './prepaidHolder.js';
import { sum } from '../../utils/sum.js';
import { knownDemand } from './demandSpread.js';

/** Part of the free tokens that is lent ahead of requests while some want more. */
const MAX_SPECULATIVE_FRACTION = 0.5;

/** What one borrower holds of an account. */
interface Loan {
  held: Tokens;
  /** Tokens a second that it is asked for. */
  rate: number;
  /** Wanted with its last report and not lent. */
  unmet: Tokens;
}

interface Borrower {
  incarnation: IncarnationId;
  /** Number of the last report that was taken in. */
  seq: number;
  reportedAt: EpochMs;
  loans: Map<AccountId, Loan>;
}

/** What became of a borrower's report. */
export type LoanReportOutcome = 'taken' | 'forgotten';

/** Loans that were given up, because their borrower was replaced or silent for long. */
export interface ChargedLoans {
  borrower: string;
  incarnation: IncarnationId;
  tokens: Tokens;
}

/**
 * Loans of one holder. A loan is set aside in the holder like a request, so the store shows it as held
 * until the borrower says what it spent. A borrower that is never heard again has its loans charged: it
 * may have spent them, or may yet.
 *
 * @example
 * if (book.take(report, urgent, now) === 'taken') answer(book.held(report.instance, 'shop'));
 */
export class LoanBook {
  readonly #holder: PrepaidHolder;
  readonly #borrowers = new Map<string, Borrower>();
  /** Of all borrowers, by account. */
  readonly #demand = new Map<AccountId, KnownDemand>();
  /** Life of the holder whose rights are lent. */
  #incarnation: IncarnationId;
  #charged: ChargedLoans[] = [];

  constructor(holder: PrepaidHolder) {
    this.#holder = holder;
    this.#incarnation = holder.incarnation;
  }

  /** Names the rights that are lent; loans of another life are charged already. */
  get life(): IncarnationId {
    if (this.#incarnation !== this.#holder.incarnation) {
      this.#incarnation = this.#holder.incarnation;
      this.#borrowers.clear();
      this.#demand.clear();
    }
    return this.#incarnation;
  }

  get borrowers(): number {
    return this.#borrowers.size;
  }

  /** Tokens lent in all. */
  get lent(): Tokens {
    return sum([...this.#borrowers.values()].flatMap(({ loans }) => heldOf(loans)));
  }

  /** Tokens of an account that a borrower holds. */
  held(borrower: string, account: AccountId): Tokens {
    return this.#borrowers.get(borrower)?.loans.get(account)?.held ?? 0;
  }

  /** Tokens a second that a borrower is asked for. */
  rate(borrower: string, account: AccountId): number {
    return this.#borrowers.get(borrower)?.loans.get(account)?.rate ?? 0;
  }

  /** What the borrowers are asked for of an account. */
  demand(account: AccountId): KnownDemand {
    return this.#demand.get(account) ?? knownDemand([]);
  }

  /** Loans given up since this was last asked, for the log. */
  takeLost(): ChargedLoans[] {
    const lost = this.#charged;
    this.#charged = [];
    return lost;
  }

  /**
   * Takes a report in, once, and lends what it wants as far as tokens are free.
   *
   * @param urgent part of what it wants that requests wait for.
   */
  take(
    report: PrepaidReport,
    urgent: Readonly<Record<AccountId, Tokens>>,
    now: EpochMs,
  ): LoanReportOutcome {
    const { instance, incarnation, seq } = report;
    const known = this.#borrowers.get(instance);
    if (known?.incarnation === incarnation && known.seq >= seq) return 'taken';
    if (seq > 1 && known?.incarnation !== incarnation) return 'forgotten';
    if (known && known.incarnation !== incarnation) this.#chargeBorrower(instance, known);
    if (!this.#isCoveredByLoans(report)) {
      if (known) this.#chargeBorrower(instance, known);
      return 'forgotten';
    }
    const isSame = known?.incarnation === incarnation;
    const borrower: Borrower = isSame
      ? known
      : { incarnation, seq, reportedAt: now, loans: new Map() };
    borrower.seq = seq;
    borrower.reportedAt = now;
    this.#borrowers.set(instance, borrower);
    for (const [account, entry] of Object.entries(report.entries)) {
      this.#apply(borrower, account, entry, urgent[account] ?? 0);
    }
    if (report.last) this.#chargeBorrower(instance, borrower);
    for (const account of Object.keys(report.entries)) this.#updateLending(account);
    return 'taken';
  }

  /** What a borrower's waiting requests lack, by account. */
  lacking(
    { instance, entries }: PrepaidReport,
    urgent: Readonly<Record<AccountId, Tokens>>,
  ): Map<AccountId, Tokens> {
    const lacking = new Map<AccountId, Tokens>();
    for (const [account, needed] of Object.entries(urgent)) {
      const got = this.held(instance, account) - (entries[account]?.keeps ?? 0);
      if (needed > got) lacking.set(account, needed - got);
    }
    return lacking;
  }

  /** Lends what was lacking, as far as it is free now; nothing if the borrower has reported since. */
  lendLacking(
    { instance, incarnation, seq }: PrepaidReport,
    lacking: ReadonlyMap<AccountId, Tokens>,
  ): void {
    const borrower = this.#borrowers.get(instance);
    if (borrower?.incarnation !== incarnation || borrower.seq !== seq) return;
    for (const [account, amount] of lacking) {
      if (this.#holder.free(account) < amount) continue;
      const loan = this.#loan(borrower, account);
      const lent = this.#holder.lend(account, amount);
      loan.held += lent;
      loan.unmet = Math.max(0, loan.unmet - lent);
      this.#updateLending(account);
    }
  }

  /** Gives up the loans of borrowers that were not heard for long; returns their names. */
  dropSilent(silentMs: number, now: EpochMs): string[] {
    const silent = [...this.#borrowers].filter(([, { reportedAt: heardAt }]) => now - heardAt >= silentMs);
    for (const [name, borrower] of silent) this.#chargeBorrower(name, borrower);
    return silent.map(([name]) => name);
  }

  /** Whether a report says no more than what was lent; otherwise nothing it says can be relied on. */
  #isCoveredByLoans({ instance, entries }: PrepaidReport): boolean {
    return Object.entries(entries).every(([account, { spent, keeps }]) => {
      return spent >= 0 && keeps >= 0 && spent + keeps <= this.held(instance, account);
    });
  }

  #apply(
    borrower: Borrower,
    account: AccountId,
    { spent, keeps, wants, rate }: PrepaidReportEntry,
    urgent: Tokens,
  ): void {
    const loan = this.#loan(borrower, account);
    this.#holder.endLoan(account, loan.held - keeps, spent);
    const free = this.#holder.free(account);
    const ahead = free >= wants ? wants : Math.min(wants, MAX_SPECULATIVE_FRACTION * free);
    const lent = this.#holder.lend(account, Math.max(ahead, Math.min(urgent, free)));
    loan.held = keeps + lent;
    loan.rate = rate;
    loan.unmet = Math.max(0, wants - lent);
  }

  #loan({ loans }: Borrower, account: AccountId): Loan {
    const known = loans.get(account);
    if (known) return known;
    const loan = { held: 0, rate: 0, unmet: 0 };
    loans.set(account, loan);
    return loan;
  }

  #chargeBorrower(name: string, { incarnation, loans }: Borrower): void {
    this.#borrowers.delete(name);
    const tokens = sum(heldOf(loans));
    if (tokens > 0) this.#charged.push({ borrower: name, incarnation, tokens });
    for (const [account, { held }] of loans) {
      this.#holder.endLoan(account, held, held);
      this.#updateLending(account);
    }
  }

  #updateLending(account: AccountId): void {
    const loans = [...this.#borrowers.values()].flatMap(({ loans }) => loans.get(account) ?? []);
    const demand = knownDemand(loans.map(({ rate }) => rate));
    this.#demand.set(account, demand);
    this.#holder.setLending(account, {
      rate: demand.rate,
      unmet: sum(loans.map(({ unmet }) => unmet)),
    });
  }
}

function heldOf(loans: ReadonlyMap<AccountId, Loan>): Tokens[] {
  return [...loans.values()].map(({ held }) => held);
}
