/** Tokens that one instance has lent to other instances of its data centre. */

import type { AccountId, EpochMs, IncarnationId, Tokens } from '../../types/ids.js';
import type { PrepaidReport, PrepaidReportEntry } from '../../types/prepaid.js';
import type { KnownDemand } from './demandSpread.js';
import type { PrepaidHolder } from './prepaidHolder.js';
import { sum } from '../../utils/sum.js';
import { knownDemand } from './demandSpread.js';
import { entryOf } from '../../utils/table.js';

/**
 * Fraction of the free tokens that is lent ahead of demand if a borrower wants more than is free.
 */
const MAX_SPECULATIVE_FRACTION = 0.5;

/** Tokens of an account that one borrower holds. */
interface Loan {
  held: Tokens;
  /** Demand at the borrower in tokens per second. */
  rate: number;
  /** Tokens requested with its last report and not lent. */
  unmet: Tokens;
}

interface Borrower {
  incarnation: IncarnationId;
  /** Sequence number of the last applied report. */
  seq: number;
  reportedAt: EpochMs;
  loans: Map<AccountId, Loan>;
}

/** Whether a borrower's report was applied, or refused because its loans are not known. */
export type LoanReportOutcome = 'taken' | 'forgotten';

/** Loans that were charged because their borrower was replaced, left, or stopped reporting. */
export interface ChargedLoans {
  borrower: string;
  incarnation: IncarnationId;
  tokens: Tokens;
}

/**
 * Loans of one holder. A loan is reserved in the holder like the tokens of a request, so the store
 * counts it as held until the borrower reports what it spent. If a borrower stops reporting, its
 * loans are charged, because it may have spent them or may still spend them.
 *
 * @example
 * if (book.applyReport(report, urgent, now) === 'taken') answer(book.held(report.instance, 'shop'));
 */
export class LoanBook {
  readonly #holder: PrepaidHolder;
  readonly #borrowers = new Map<string, Borrower>();
  /** Demand at all borrowers, by account. */
  readonly #demand = new Map<AccountId, KnownDemand>();
  /** Incarnation of the holder whose tokens are lent. */
  #incarnation: IncarnationId;
  #charged: ChargedLoans[] = [];

  constructor(holder: PrepaidHolder) {
    this.#holder = holder;
    this.#incarnation = holder.incarnation;
  }

  /**
   * Incarnation of the holder whose tokens are lent. Removes the loans of an earlier incarnation,
   * which are already charged.
   */
  get incarnation(): IncarnationId {
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

  /** Tokens lent of all accounts. */
  get lent(): Tokens {
    return sum([...this.#borrowers.values()].flatMap(({ loans }) => heldOf(loans)));
  }

  /** Tokens of all accounts that borrowers asked for with their last reports and that were not lent. */
  get unmet(): Tokens {
    const loans = [...this.#borrowers.values()].flatMap((borrower) => [...borrower.loans.values()]);
    return sum(loans.map(({ unmet }) => unmet));
  }

  /** Tokens of an account that the borrower holds. */
  held(borrower: string, account: AccountId): Tokens {
    return this.#borrowers.get(borrower)?.loans.get(account)?.held ?? 0;
  }

  /** Demand at the borrower in tokens per second. */
  rate(borrower: string, account: AccountId): number {
    return this.#borrowers.get(borrower)?.loans.get(account)?.rate ?? 0;
  }

  /** Demand for an account at all borrowers. */
  demand(account: AccountId): KnownDemand {
    return this.#demand.get(account) ?? knownDemand([]);
  }

  /** Returns and clears the loans that were charged since the last call, for the log. */
  takeChargedLoans(): ChargedLoans[] {
    const charged = this.#charged;
    this.#charged = [];
    return charged;
  }

  /**
   * Applies a report once, and lends the requested tokens as far as they are free.
   *
   * @param urgent tokens that requests wait for, as part of the requested tokens.
   */
  applyReport(
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
      this.#apply(borrower, account, entry, entryOf(urgent, account) ?? 0);
    }
    // a report leaves out the accounts of which the borrower wants no more tokens.
    this.#clearUnmet(borrower, report.entries);
    if (report.last) this.#chargeBorrower(instance, borrower);
    for (const account of Object.keys(report.entries)) this.#updateLending(account);
    return 'taken';
  }

  /** Tokens that the borrower's waiting requests need beyond what was lent, by account. */
  shortfalls(
    { instance, entries }: PrepaidReport,
    urgent: Readonly<Record<AccountId, Tokens>>,
  ): Map<AccountId, Tokens> {
    const shortfalls = new Map<AccountId, Tokens>();
    for (const [account, needed] of Object.entries(urgent)) {
      const lent = this.held(instance, account) - (entryOf(entries, account)?.keeps ?? 0);
      if (needed > lent) shortfalls.set(account, needed - lent);
    }
    return shortfalls;
  }

  /**
   * Lends the shortfall of each account that can be covered whole now. Lends nothing if the
   * borrower has sent another report since.
   */
  lendShortfalls(
    { instance, incarnation, seq }: PrepaidReport,
    shortfalls: ReadonlyMap<AccountId, Tokens>,
  ): void {
    const borrower = this.#borrowers.get(instance);
    if (borrower?.incarnation !== incarnation || borrower.seq !== seq) return;
    for (const [account, amount] of shortfalls) {
      if (this.#holder.free(account) < amount) continue;
      const loan = this.#loan(borrower, account);
      const lent = this.#holder.lend(account, amount);
      loan.held += lent;
      loan.unmet = Math.max(0, loan.unmet - lent);
      this.#updateLending(account);
    }
  }

  /**
   * Drops the unmet requests of borrowers that have not reported for `silentMs` milliseconds. A borrower
   * repeats them with each report, unless it stopped or asks another lender.
   */
  dropUnmetOfSilent(silentMs: number, now: EpochMs): void {
    for (const borrower of this.#borrowers.values()) {
      if (now - borrower.reportedAt >= silentMs) this.#clearUnmet(borrower, {});
    }
  }

  /**
   * Removes borrowers that have not reported for `silentMs` milliseconds, charges their loans and
   * returns their names.
   */
  chargeSilentBorrowers(silentMs: number, now: EpochMs): string[] {
    const silent = [...this.#borrowers].filter(
      ([, { reportedAt }]) => now - reportedAt >= silentMs,
    );
    for (const [name, borrower] of silent) this.#chargeBorrower(name, borrower);
    return silent.map(([name]) => name);
  }

  /**
   * Whether a report accounts for no more than was lent. Otherwise nothing in it can be trusted.
   */
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

  #clearUnmet({ loans }: Borrower, except: PrepaidReport['entries']): void {
    for (const [account, loan] of loans) {
      if (entryOf(except, account) !== undefined || loan.unmet === 0) continue;
      loan.unmet = 0;
      this.#updateLending(account);
    }
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
