/**
 * Tokens of prepaid budgets that one process may spend. It does no I/O: it builds reports, and the
 * calling service sends them to the store.
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
import { entryOf, setEntry } from '../../utils/table.js';

/** Tokens reserved for the maximum cost of one request. */
export interface PrepaidReservation {
  readonly account: AccountId;
  readonly amount: Tokens;
  /** Incarnation of the holder from which the tokens were reserved. */
  readonly incarnation: IncarnationId;
  settled: boolean;
}

/** Options of a {@link PrepaidHolder}. */
export interface PrepaidHolderOptions {
  instance: string;
  /** Identifies the process; different for each process of the instance. */
  process: string;
  sizing: PrepaidSizing;
  /** Decides how many tokens to hold for borrowers; absent if this holder does not lend. */
  lendingSizing?: PrepaidSizing;
  /**
   * Milliseconds after which the instance reports even if nothing has changed, so that its group
   * can distinguish it from a failed instance.
   */
  maxReportIntervalMs: number;
  /** Milliseconds that a request waits for tokens. @default until they arrive */
  requestWaitMs?: number;
  /** Whether callers are expected to stay after an account's first request here. @default 'stay' */
  callerAffinity?: CallerAffinity;
}

/**
 * Expected behaviour of callers whose account an instance has not seen before. Where few instances
 * serve the callers, they mostly stay. Where many do, they were probably refused by another
 * instance and move on.
 */
export type CallerAffinity = 'stay' | 'pass-by';

/** State of one account at this process. */
interface Holding {
  /** Unspent tokens that may be spent, including reserved tokens. */
  held: Tokens;
  reserved: Tokens;
  /** Spent tokens that no applied report includes. */
  unreported: Tokens;
  /** Largest amount that a reservation was refused for since the last report. */
  shortfall: Tokens;
  /** Sum of the amounts that waiting requests need. */
  awaited: Tokens;
  demand: DemandEstimate;
  /** Time since which the demand is observed. */
  demandSince: EpochMs;
  /** Demand in the last confirmed report, in tokens per second. */
  reportedRate: number;
  lending: Lending;
}

/** Demand of all borrowers of one account at a lender. */
export interface Lending {
  /** Tokens per second. */
  rate: number;
  /** Tokens that they requested and that were not lent. */
  unmet: Tokens;
}

const NO_LENDING: Lending = { rate: 0, unmet: 0 };

/** Weight of a new request in the moving average of request sizes. */
const TYPICAL_REQUEST_WEIGHT = 0.05;

/** Free tokens that an account should have at this process. */
interface FreeTarget {
  /** Target; a small deviation from it does not cause a report. */
  target: Tokens;
  /** Minimum for requests that wait or were refused. */
  minimum: Tokens;
}

/** Weight of a new exchange in the moving average of their durations. */
const EXCHANGE_WEIGHT = 0.3;
/** Exchanges that a request may have to wait for: the one in flight and the one that asks for its tokens. */
const EXCHANGES_AWAITED = 2;
/** Maximum fraction of its part of the remaining tokens that an instance holds for slow exchanges. */
const MAX_EXCHANGE_FRACTION = 0.5;
const MS_PER_SECOND = 1_000;

/** Relative change of a rate that causes a report even if nothing else has changed. */
const MIN_RATE_CHANGE = 0.25;
/** Relative deviation of the free tokens from their target that does not cause a report. */
const TARGET_TOLERANCE = 0.1;

/**
 * Tracks the tokens that one process holds, by account.
 *
 * @example
 * const reservation = holder.reserve('kirk', 9_270, now);
 * if (reservation) holder.settle(reservation, 9_100);
 */
export class PrepaidHolder {
  readonly instance: string;
  readonly #process: string;
  readonly #sizing: PrepaidSizing;
  readonly #lendingSizing: PrepaidSizing | undefined;
  readonly #maxReportIntervalMs: number;
  readonly #requestWaitMs: number;
  readonly #callerAffinity: CallerAffinity;
  readonly #holdings = new Map<AccountId, Holding>();
  #incarnationNumber = 1;
  #nextSeq = 1;
  /** Whether a page has applied a report of this incarnation. */
  #isKnownToPage = false;
  #reportedAt: EpochMs = -Infinity;
  #pending: PrepaidReport | undefined;
  #typicalRequest: Tokens = 0;
  /** Average duration of an exchange with the source of the tokens, in milliseconds. */
  #exchangeMs = 0;
  /** Time of the first request of any account. */
  #observedSince: EpochMs = Infinity;

  constructor(options: PrepaidHolderOptions) {
    const {
      instance,
      process,
      sizing,
      lendingSizing,
      maxReportIntervalMs,
      requestWaitMs = Infinity,
      callerAffinity = 'stay',
    } = options;
    this.instance = instance;
    this.#process = process;
    this.#sizing = sizing;
    this.#lendingSizing = lendingSizing;
    this.#maxReportIntervalMs = maxReportIntervalMs;
    this.#requestWaitMs = requestWaitMs;
    this.#callerAffinity = callerAffinity;
  }

  /** Identifies the holder of the tokens. Changes when the tokens of this process are lost. */
  get incarnation(): IncarnationId {
    return `${this.#process}/${String(this.#incarnationNumber)}`;
  }

  /** Tokens that can be reserved now. */
  free(account: AccountId): Tokens {
    const holding = this.#holdings.get(account);
    return holding ? holding.held - holding.reserved : 0;
  }

  /** Tokens held, including reserved tokens. */
  held(account: AccountId): Tokens {
    return this.#holdings.get(account)?.held ?? 0;
  }

  /** Tokens held of all accounts, including reserved tokens. */
  get totalHeld(): Tokens {
    return sum([...this.#holdings.values()].map(({ held }) => held));
  }

  /** Whether any tokens are held or reserved. */
  get hasTokens(): boolean {
    return [...this.#holdings.values()].some(({ held, reserved }) => held > 0 || reserved > 0);
  }

  /** Whether any spending is not reported yet, or a report is in flight. */
  get hasUnreported(): boolean {
    const unreported = [...this.#holdings.values()].some((holding) => holding.unreported > 0);
    return unreported || this.#pending !== undefined;
  }

  /** Accounts that this process tracks, including all that it has built a report for. */
  get accounts(): AccountId[] {
    return [...this.#holdings.keys()];
  }

  /** Average request size in tokens; 0 before the first request. */
  get typicalRequest(): Tokens {
    return this.#typicalRequest;
  }

  /** Tokens that waiting requests need beyond the free tokens. */
  awaited(account: AccountId): Tokens {
    return Math.max(0, (this.#holdings.get(account)?.awaited ?? 0) - this.free(account));
  }

  /** Demand here and at borrowers, in tokens per second. */
  rate(account: AccountId, now: EpochMs): number {
    const holding = this.#holdings.get(account);
    if (!holding) return 0;
    return biasCorrectedDemand(holding.demand, holding.demandSince, now) + holding.lending.rate;
  }

  /** Tokens spent here that no page includes yet. */
  unreported(account: AccountId): Tokens {
    return this.#holdings.get(account)?.unreported ?? 0;
  }

  /** Records a request, so that the targets follow the demand. */
  observe(account: AccountId, amount: Tokens, now: EpochMs): void {
    this.observeSize(amount);
    const holding = this.#holding(account);
    this.#observedSince = Math.min(this.#observedSince, now);
    const since = this.#callerAffinity === 'stay' ? now : this.#observedSince;
    holding.demandSince = Math.min(holding.demandSince, since);
    holding.demand = observeDemand(holding.demand, amount, now);
  }

  /** Records the size of a request, here or at a borrower. */
  observeSize(amount: Tokens): void {
    const weight = this.#typicalRequest === 0 ? 1 : TYPICAL_REQUEST_WEIGHT;
    this.#typicalRequest += weight * (amount - this.#typicalRequest);
  }

  /** Records how long an exchange with the source of the tokens took, in milliseconds. */
  recordExchange(ms: number): void {
    this.#exchangeMs += EXCHANGE_WEIGHT * (ms - this.#exchangeMs);
  }

  /** Reserves the maximum cost of a request; returns `undefined` if fewer tokens are free. */
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
   * Keeps tokens for a waiting request until {@link endWait}. Without this, a report that is built
   * after the tokens arrive and before the request's next attempt would return all tokens above the
   * target, and the request would be refused.
   */
  beginWait(account: AccountId, amount: Tokens): void {
    this.#holding(account).awaited += amount;
  }

  /** Ends a wait that {@link beginWait} started, with the same amount. */
  endWait(account: AccountId, amount: Tokens): void {
    this.#holding(account).awaited -= amount;
  }

  /** Ends a reservation and charges the used tokens. A second call changes nothing. */
  settle(reservation: PrepaidReservation, used: Tokens): void {
    if (reservation.settled) return;
    reservation.settled = true;
    // All tokens of an earlier incarnation are charged already.
    if (reservation.incarnation !== this.incarnation) return;
    const holding = this.#holding(reservation.account);
    const spent = Math.min(reservation.amount, Math.max(0, Math.ceil(used)));
    holding.reserved -= reservation.amount;
    holding.held -= spent;
    holding.unreported += spent;
  }

  /** Reserves up to `amount` free tokens for another instance; returns how many. */
  lend(account: AccountId, amount: Tokens): Tokens {
    const holding = this.#holding(account);
    const lent = Math.max(0, Math.min(Math.floor(amount), holding.held - holding.reserved));
    holding.reserved += lent;
    return lent;
  }

  /** Releases `amount` tokens that {@link lend} reserved, and charges those that were spent. */
  endLoan(account: AccountId, amount: Tokens, spent: Tokens): void {
    const holding = this.#holding(account);
    holding.reserved -= amount;
    holding.held -= spent;
    holding.unreported += spent;
  }

  /** Sets the demand of an account's borrowers. */
  setLending(account: AccountId, lending: Lending): void {
    this.#holding(account).lending = lending;
  }

  /** Whether the page no longer lists this process although it has applied a report of it. */
  isForgotten(page: PrepaidPage): boolean {
    return (
      this.#isKnownToPage && entryOf(page.writers, this.instance)?.incarnation !== this.incarnation
    );
  }

  /**
   * Starts a new incarnation without tokens. Called after the page has moved the tokens of this
   * instance to `inDoubt` because it had not reported for a long time. Tokens that requests in
   * progress use are already charged.
   */
  startNewIncarnation(): void {
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

  /** The report in flight whose result is not known yet, if any. */
  get pending(): PrepaidReport | undefined {
    return this.#pending;
  }

  /**
   * Builds the next report to a group's page; see {@link buildReport}.
   *
   * @param outlook the limited accounts, with the data that the page does not contain.
   */
  beginReport(
    page: PrepaidPage,
    outlook: ReadonlyMap<AccountId, PrepaidOutlook>,
    now: EpochMs,
    last = false,
  ): PrepaidReport | undefined {
    return this.buildReport(viewOfPage(page, outlook, this), now, last);
  }

  /**
   * Builds the next report, or returns `undefined` if nothing has changed. Tokens that it returns
   * can no longer be spent here, so they are never available in two places.
   */
  buildReport(view: PrepaidView, now: EpochMs, last = false): PrepaidReport | undefined {
    if (this.#pending) return this.#pending;
    const entries: Record<AccountId, PrepaidReportEntry> = {};
    const returned = new Map<AccountId, Tokens>();
    for (const [account, accountView] of view.accounts) {
      const holding = this.#holding(account);
      const ownRate = biasCorrectedDemand(holding.demand, holding.demandSince, now);
      const target = last ? 0 : this.#target(holding, ownRate, accountView, view);
      const minimum = Math.max(holding.shortfall, holding.awaited);
      const rate = ownRate + holding.lending.rate;
      const entry = this.#entry(
        account,
        holding,
        { target: Math.max(target, minimum), minimum },
        rate,
      );
      if (!entry) continue;
      setEntry(entries, account, entry);
      returned.set(account, holding.held - entry.keeps);
    }
    const isDue = last || now - this.#reportedAt >= this.#maxReportIntervalMs;
    if (returned.size === 0 && view.isRegistered && !isDue) return undefined;
    this.#reportedAt = now;
    return this.#begin(entries, returned, last);
  }

  /** Applies a page that includes the pending report. */
  confirm(page: PrepaidPage): void {
    this.confirmHeld(
      (account) => entryOf(entryOf(page.accounts, account)?.shares, this.instance)?.held,
    );
  }

  /**
   * Applies the result of the pending report.
   *
   * @param heldOf returns the tokens of an account that are held now, or `undefined` if they are as
   *   reported in `keeps`.
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
    holding: Holding,
    ownRate: number,
    accountView: PrepaidAccountView,
    view: PrepaidView,
  ): Tokens {
    const sized = this.#sizedTarget(holding, ownRate, accountView, view);
    return Math.max(sized, this.#exchangeTarget(ownRate + holding.lending.rate, accountView));
  }

  /**
   * Tokens that are spent while the next ones are requested, if a request can't wait that long. However
   * little of the budget may be allocated, an instance with slow exchanges would refuse requests without
   * them.
   */
  #exchangeTarget(rate: number, { remaining, othersRate }: PrepaidAccountView): Tokens {
    const awaitedMs = EXCHANGES_AWAITED * this.#exchangeMs;
    if (rate <= 0 || awaitedMs <= this.#requestWaitMs) return 0;
    const spent = (rate * awaitedMs) / MS_PER_SECOND;
    const needed = this.#sizing.withMargin(spent, this.#typicalRequest);
    const part = (remaining * rate) / (rate + othersRate);
    return Math.floor(Math.min(needed, MAX_EXCHANGE_FRACTION * part));
  }

  #sizedTarget(
    { lending }: Holding,
    ownRate: number,
    { remaining, othersRate, spread }: PrepaidAccountView,
    { instances, fetchers }: PrepaidView,
  ): Tokens {
    const input = {
      fleetRate: othersRate + ownRate + lending.rate,
      remaining,
      instances,
      fetchers,
      typicalRequest: this.#typicalRequest,
    };
    const own = this.#sizing.target({ ...input, rate: ownRate, spread });
    if (!this.#lendingSizing || fetchers >= instances) return own + lending.unmet;
    const lender = { ...input, rate: lending.rate, instances: fetchers };
    return own + this.#lendingSizing.target(lender) + lending.unmet;
  }

  #entry(
    account: AccountId,
    holding: Holding,
    { target, minimum }: FreeTarget,
    rate: number,
  ): PrepaidReportEntry | undefined {
    const free = holding.held - holding.reserved;
    const returned = free > target * (1 + TARGET_TOLERANCE) ? Math.floor(free - target) : 0;
    // A waiting request is refused if a single token is missing, so its amount has no tolerance.
    const isShort = free < Math.max(minimum, target * (1 - TARGET_TOLERANCE));
    const wants = isShort ? Math.ceil(target - free) : 0;
    const hasRateChanged =
      Math.abs(rate - holding.reportedRate) > MIN_RATE_CHANGE * Math.max(rate, 1);
    if (returned === 0 && wants === 0 && holding.unreported === 0 && !hasRateChanged)
      return undefined;
    holding.shortfall = 0;
    const keeps = holding.held - returned;
    return { spent: holding.unreported, keeps, wants, rate: Math.round(rate) };
  }

  #begin(
    entries: Record<AccountId, PrepaidReportEntry>,
    returned: Map<AccountId, Tokens>,
    last: boolean,
  ): PrepaidReport {
    for (const [account, amount] of returned) this.#holding(account).held -= amount;
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
        awaited: 0,
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
