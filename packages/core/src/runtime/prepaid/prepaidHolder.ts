/**
 * What one process may spend of prepaid budgets. Does no I/O: reports are built here and carried to
 * the store by the service around it.
 */

import type { AccountId, EpochMs, IncarnationId, Tokens } from '../../types/ids.js';
import type {
  PrepaidAccountView,
  PrepaidOutlook,
  PrepaidPage,
  PrepaidReport,
  PrepaidReportEntry,
  PrepaidView,
} from '../../types/prepaid.js';
import type { DemandEstimate } from '../demand.js';
import type { PrepaidSizing } from './prepaidSizing.js';
import { NO_DEMAND, observeDemand, biasCorrectedDemand } from '../demand.js';
import { sum } from '../../utils/sum.js';
import { viewOfPage } from './prepaidView.js';

/** Tokens set aside for one request, at its maximum. */
export interface PrepaidReservation {
  readonly account: AccountId;
  readonly amount: Tokens;
  /** Process whose rights it is taken from. */
  readonly incarnation: IncarnationId;
  settled: boolean;
}

/** What a holder is created with. */
export interface PrepaidHolderOptions {
  instance: string;
  /** Differs for each process of the instance. */
  process: string;
  sizing: PrepaidSizing;
  /** Sizes what is kept to be lent to others. @default sizing */
  lendingSizing?: PrepaidSizing;
  /**
   * Milliseconds after which the instance reports though it has nothing new to say, so that its group
   * can tell it from one that is lost.
   */
  aliveMs: number;
  /** What callers of an account are expected to do after its first request here. @default 'stay' */
  newcomers?: Newcomers;
}

/**
 * Callers that come to an instance where their account was not seen. At one of few they mostly stay; at one
 * of many they are more likely refused elsewhere, and go on.
 */
export type Newcomers = 'stay' | 'pass-by';

/** State of one account at this process. */
interface Holding {
  /** Tokens that may be spent and are not spent, those set aside included. */
  held: Tokens;
  reserved: Tokens;
  /** Spent and in no report that was taken in. */
  unreported: Tokens;
  /** Lacked by requests since the last report. */
  shortfall: Tokens;
  /** Asked for by requests that wait for the store's answer. */
  awaitedByRequests: Tokens;
  demand: DemandEstimate;
  /** Since when the demand is observed. */
  demandSince: EpochMs;
  /** Rate that the store was last told. */
  reportedRate: number;
  lending: Lending;
}

/** What the borrowers of one account ask a lender for. */
export interface Lending {
  /** Tokens a second of all of them. */
  rate: number;
  /** Wanted by them and not lent. */
  unmet: Tokens;
}

const NO_LENDING: Lending = { rate: 0, unmet: 0 };

/** Weight of one request in the moving average of their sizes. */
const TYPICAL_REQUEST_WEIGHT = 0.05;

/** Free tokens that an account should have here. */
interface FreeTarget {
  /** In general; a little more or less is not worth a report. */
  target: Tokens;
  /** For requests that wait for them or were refused. */
  minimum: Tokens;
}

/** Part by which a rate has to change before it is worth a report of its own. */
const MIN_RATE_CHANGE = 0.25;
/** Part of its level by which an account's rights may differ from it without a report. */
const TARGET_TOLERANCE = 0.1;

/**
 * Holdings of one process.
 *
 * @example
 * const reservation = holder.reserve('kirk', 9_270, now);
 * if (reservation) holder.settle(reservation, 9_100);
 */
export class PrepaidHolder {
  readonly instance: string;
  readonly #process: string;
  readonly #sizing: PrepaidSizing;
  readonly #lendingSizing: PrepaidSizing;
  readonly #aliveMs: number;
  readonly #newcomers: Newcomers;
  readonly #holdings = new Map<AccountId, Holding>();
  #incarnationNumber = 1;
  #nextSeq = 1;
  /** Whether a page has taken in a report of this life. */
  #isKnownToPage = false;
  #reportedAt: EpochMs = -Infinity;
  #pending: PrepaidReport | undefined;
  #typicalRequest: Tokens = 0;
  /** When the first request came, of any account. */
  #observedSince: EpochMs = Infinity;

  constructor(options: PrepaidHolderOptions) {
    const { instance, process, sizing, lendingSizing, aliveMs, newcomers = 'stay' } = options;
    this.instance = instance;
    this.#process = process;
    this.#sizing = sizing;
    this.#lendingSizing = lendingSizing ?? sizing;
    this.#aliveMs = aliveMs;
    this.#newcomers = newcomers;
  }

  /** Names the rights of this process; changes when they are lost. */
  get incarnation(): IncarnationId {
    return `${this.#process}/${String(this.#incarnationNumber)}`;
  }

  /** Tokens that may be set aside now. */
  free(account: AccountId): Tokens {
    const holding = this.#holdings.get(account);
    return holding ? holding.held - holding.reserved : 0;
  }

  /** Tokens held in all, with those set aside. */
  held(account: AccountId): Tokens {
    return this.#holdings.get(account)?.held ?? 0;
  }

  /** Tokens held of all accounts. */
  get heldInAll(): Tokens {
    return sum([...this.#holdings.values()].map(({ held: rights }) => rights));
  }

  /** Whether anything is held or set aside. */
  get hasRights(): boolean {
    return [...this.#holdings.values()].some(({ held: rights, reserved }) => rights > 0 || reserved > 0);
  }

  /** Whether anything was spent that no report has told yet, or a report is on its way. */
  get hasNews(): boolean {
    const unreported = [...this.#holdings.values()].some((holding) => holding.unreported > 0);
    return unreported || this.#pending !== undefined;
  }

  /** Accounts that were asked for here or of which anything is held. */
  get accounts(): AccountId[] {
    return [...this.#holdings.keys()];
  }

  /** Tokens that a request asks for on average; 0 before the first. */
  get typicalRequest(): Tokens {
    return this.#typicalRequest;
  }

  /** Tokens that requests wait for beyond what is free. */
  awaited(account: AccountId): Tokens {
    return Math.max(0, (this.#holdings.get(account)?.awaitedByRequests ?? 0) - this.free(account));
  }

  /** Tokens a second that are asked for here and by borrowers. */
  rate(account: AccountId, now: EpochMs): number {
    const holding = this.#holdings.get(account);
    if (!holding) return 0;
    return biasCorrectedDemand(holding.demand, holding.demandSince, now) + holding.lending.rate;
  }

  /** Tokens spent here that no page shows yet. */
  unreported(account: AccountId): Tokens {
    return this.#holdings.get(account)?.unreported ?? 0;
  }

  /** Notes that a request came, so that the levels follow the demand. */
  observe(account: AccountId, amount: Tokens, now: EpochMs): void {
    this.observeSize(amount);
    const holding = this.#holding(account);
    this.#observedSince = Math.min(this.#observedSince, now);
    const since = this.#newcomers === 'stay' ? now : this.#observedSince;
    holding.demandSince = Math.min(holding.demandSince, since);
    holding.demand = observeDemand(holding.demand, amount, now);
  }

  /** Notes the size of a request, here or at a borrower. */
  observeSize(amount: Tokens): void {
    const weight = this.#typicalRequest === 0 ? 1 : TYPICAL_REQUEST_WEIGHT;
    this.#typicalRequest += weight * (amount - this.#typicalRequest);
  }

  /** Sets the most that a request may use aside; undefined when that much isn't held. */
  reserve(account: AccountId, amount: Tokens): PrepaidReservation | undefined {
    const holding = this.#holding(account);
    if (holding.held - holding.reserved < amount) {
      holding.shortfall = Math.max(holding.shortfall, amount);
      return undefined;
    }
    holding.reserved += amount;
    return { account, amount, incarnation: this.incarnation, settled: false };
  }

  /**
   * Keeps tokens for a request that waits for them, until {@link endWait}. A report that is built between
   * their coming and the request's next try would give back all beyond the level, and the request would be
   * refused for want of them.
   */
  beginWait(account: AccountId, amount: Tokens): void {
    this.#holding(account).awaitedByRequests += amount;
  }

  /** Ends what {@link beginWait} began. */
  endWait(account: AccountId, amount: Tokens): void {
    this.#holding(account).awaitedByRequests -= amount;
  }

  /** Ends a reservation with what was used; a second time changes nothing. */
  settle(reservation: PrepaidReservation, used: Tokens): void {
    if (reservation.settled) return;
    reservation.settled = true;
    // of rights that were lost all is charged already.
    if (reservation.incarnation !== this.incarnation) return;
    const holding = this.#holding(reservation.account);
    const spent = Math.min(reservation.amount, Math.max(0, Math.ceil(used)));
    holding.reserved -= reservation.amount;
    holding.held -= spent;
    holding.unreported += spent;
  }

  /** Sets tokens aside for another instance, as far as any are free; returns how many. */
  lend(account: AccountId, amount: Tokens): Tokens {
    const holding = this.#holding(account);
    const lent = Math.max(0, Math.min(Math.floor(amount), holding.held - holding.reserved));
    holding.reserved += lent;
    return lent;
  }

  /** Takes back what {@link lend} set aside; what was spent of it is charged. */
  endLoan(account: AccountId, amount: Tokens, spent: Tokens): void {
    const holding = this.#holding(account);
    holding.reserved -= amount;
    holding.held -= spent;
    holding.unreported += spent;
  }

  /** Notes what the borrowers of an account ask for. */
  setLending(account: AccountId, lending: Lending): void {
    this.#holding(account).lending = lending;
  }

  /** Whether a page no longer knows this process, though it took its reports in. */
  isForgotten(page: PrepaidPage): boolean {
    return this.#isKnownToPage && page.writers[this.instance]?.incarnation !== this.incarnation;
  }

  /**
   * Starts anew without rights, after the page has put them in doubt: this instance was away for long.
   * What requests in progress use of them is charged already.
   */
  renew(): void {
    this.#incarnationNumber += 1;
    this.#nextSeq = 1;
    this.#isKnownToPage = false;
    this.#pending = undefined;
    for (const holding of this.#holdings.values()) {
      holding.held = 0;
      holding.reserved = 0;
      holding.unreported = 0;
      holding.lending = NO_LENDING;
    }
  }

  /** Whether a report is on its way whose fate is not known. */
  get pending(): PrepaidReport | undefined {
    return this.#pending;
  }

  /**
   * Builds the next report to a group's page, see {@link reportBy}.
   *
   * @param outlook the limited accounts, with what the page does not show of each.
   */
  beginReport(
    page: PrepaidPage,
    outlook: ReadonlyMap<AccountId, PrepaidOutlook>,
    now: EpochMs,
    last = false,
  ): PrepaidReport | undefined {
    return this.reportBy(viewOfPage(page, outlook, this), now, last);
  }

  /**
   * Builds the next report; undefined when it would say nothing new. What it gives back can't be
   * spent from now on, so it is never promised twice.
   */
  reportBy(view: PrepaidView, now: EpochMs, last = false): PrepaidReport | undefined {
    if (this.#pending) return this.#pending;
    const entries: Record<AccountId, PrepaidReportEntry> = {};
    const given = new Map<AccountId, Tokens>();
    for (const [account, accountView] of view.accounts) {
      const holding = this.#holding(account);
      const ownRate = biasCorrectedDemand(holding.demand, holding.demandSince, now);
      const level = last ? 0 : this.#target(holding, ownRate, accountView, view);
      const least = Math.max(holding.shortfall, holding.awaitedByRequests);
      const rate = ownRate + holding.lending.rate;
      const entry = this.#entry(account, holding, { target: Math.max(level, least), minimum: least }, rate);
      if (!entry) continue;
      entries[account] = entry;
      given.set(account, holding.held - entry.keeps);
    }
    const isDue = last || now - this.#reportedAt >= this.#aliveMs;
    if (given.size === 0 && view.isRegistered && !isDue) return undefined;
    this.#reportedAt = now;
    return this.#begin(entries, given, last);
  }

  /** Takes in a page that has the pending report. */
  confirm(page: PrepaidPage): void {
    this.confirmHeld((account) => page.accounts[account]?.shares[this.instance]?.held);
  }

  /**
   * Takes in what the pending report led to.
   *
   * @param heldOf tokens of an account that are held now; undefined where the report's word stands.
   */
  confirmHeld(heldOf: (account: AccountId) => Tokens | undefined): void {
    const pending = this.#pending;
    if (!pending) return;
    this.#pending = undefined;
    this.#isKnownToPage = true;
    for (const [account, entry] of Object.entries(pending.entries)) {
      const holding = this.#holding(account);
      holding.held += (heldOf(account) ?? entry.keeps) - entry.keeps;
      holding.unreported -= entry.spent;
      holding.reportedRate = entry.rate;
    }
  }

  #target(
    { lending }: Holding,
    ownRate: number,
    { remaining, othersRate, spread }: PrepaidAccountView,
    { instances, fetchers }: PrepaidView,
  ): Tokens {
    const situation = {
      fleetRate: othersRate + ownRate + lending.rate,
      remaining,
      instances,
      fetchers,
      typicalRequest: this.#typicalRequest,
    };
    const own = this.#sizing.level({ ...situation, rate: ownRate, spread });
    if (fetchers >= instances) return own + lending.unmet;
    const lender = { ...situation, rate: lending.rate, instances: fetchers };
    return own + this.#lendingSizing.level(lender) + lending.unmet;
  }

  #entry(
    account: AccountId,
    holding: Holding,
    { target: level, minimum: least }: FreeTarget,
    rate: number,
  ): PrepaidReportEntry | undefined {
    const free = holding.held - holding.reserved;
    const gives = free > level * (1 + TARGET_TOLERANCE) ? Math.floor(free - level) : 0;
    // a request that waits is refused for a single token that is lacking, so its amount has no slack.
    const isShort = free < Math.max(least, level * (1 - TARGET_TOLERANCE));
    const wants = isShort ? Math.ceil(level - free) : 0;
    const rateNews = Math.abs(rate - holding.reportedRate) > MIN_RATE_CHANGE * Math.max(rate, 1);
    if (gives === 0 && wants === 0 && holding.unreported === 0 && !rateNews) return undefined;
    holding.shortfall = 0;
    const keeps = holding.held - gives;
    return { spent: holding.unreported, keeps, wants, rate: Math.round(rate) };
  }

  #begin(
    entries: Record<AccountId, PrepaidReportEntry>,
    given: Map<AccountId, Tokens>,
    last: boolean,
  ): PrepaidReport {
    for (const [account, amount] of given) this.#holding(account).held -= amount;
    const { instance, incarnation } = this;
    const report = { instance, incarnation, seq: this.#nextSeq, last, entries };
    this.#nextSeq += 1;
    this.#pending = report;
    return report;
  }

  #holding(account: AccountId): Holding {
    let holding = this.#holdings.get(account);
    if (!holding) {
      holding = {
        held: 0,
        reserved: 0,
        unreported: 0,
        shortfall: 0,
        awaitedByRequests: 0,
        demand: NO_DEMAND,
        demandSince: Infinity,
        reportedRate: 0,
        lending: NO_LENDING,
      };
      this.#holdings.set(account, holding);
    }
    return holding;
  }
}
