/** Tokens that this instance obtains from the store with its own reports. */

import type {
  AccountId,
  EpochMs,
  ForwardedReport,
  LoanBook,
  PrepaidHolder,
  PrepaidLimits,
  PrepaidPage,
  PrepaidReport,
  PrepaidReportOutcome,
  PrepaidReservation,
  PrepaidView,
  Tokens,
} from '@flamingocourse/core';
import type { PlatformError as StoreError } from '@flamingocourse/store';
import type { GatewayContext } from '../types/context.js';
import type { ForwardReport } from './prepaidPages.js';
import type { FetchOutlook, SourceView } from '../types/tokenSource.js';
import { heldPrepaid, sum, viewOfPage, entryOf } from '@flamingocourse/core';
import { aborted } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import {
  reportPeriodMs,
  shortageTrustMs,
  unmetTrustMs,
  withReportJitter,
} from '../runtime/reportPeriod.js';
import { TokenSource } from '../types/tokenSource.js';
import { PrepaidPages } from './prepaidPages.js';
import { StoreReachability } from './storeReachability.js';

/**
 * Milliseconds over which instances spread their reports after limits have changed. All are notified at the
 * same time. A request that needs the new tokens sooner fetches them itself.
 */
const LIMITS_JITTER_MS = 500;
/** Milliseconds for which requests do not ask a store that throttled a call, unless its answer states a time. */
const THROTTLED_MS = 500;
/** Milliseconds between attempts while the store is unreachable. Short, because tokens run out meanwhile. */
const UNREACHABLE_RETRY_MS = 200;
/** Maximum exchanges in which a stopping instance tries to leave, because its time to stop is bounded. */
const MAX_STOP_ATTEMPTS = 3;
/** Service that the exchanges belong to, for the log. */
const OWNER = 'prepaid';
/** Outcome of one exchange with the store. */
type SyncOutcome = 'done' | 'failed';

/**
 * `idle`: holds no tokens. `holding`: holds tokens for itself and its borrowers. `retiring`: returns its
 * tokens as they become free.
 */
type Phase = 'idle' | 'holding' | 'retiring';

/** Options of {@link StoreTokens}. */
export interface StoreTokensOptions {
  context: GatewayContext;
  holder: PrepaidHolder;
  /** Limits in the active configuration; undefined before the first configuration. */
  limits: () => PrepaidLimits | undefined;
  /** Number of instances in the fleet. */
  fleetSize: () => number;
  /** The loans made from these tokens. */
  book: LoanBook;
  /** Asks another instance to write a report of this one. */
  forward: ForwardReport;
  /** Called at each successful exchange. */
  onExchange: () => void;
}

/**
 * Tokens of one instance from the store. In each data centre only the lenders report to the store; they
 * hold the tokens that the other instances need.
 *
 * @example
 * tokens.hold();
 * await tokens.fetch('club-7', 9_500, signal);
 * const reservation = tokens.reserve('club-7', 9_500);
 */
export class StoreTokens extends TokenSource {
  override readonly name = 'store';
  readonly #options: StoreTokensOptions;
  readonly #holder: PrepaidHolder;
  readonly #pages: PrepaidPages;
  /** Tracks whether the store answered the last exchange. */
  readonly #reachability: StoreReachability;
  #phase: Phase = 'idle';
  #running: Promise<SyncOutcome> | undefined;
  #timer: NodeJS.Timeout | undefined;
  /** Until this time the store is not asked on behalf of single requests, because it throttled a call. */
  #throttledUntil = -Infinity;
  #stopping = false;
  /** Whether another instance was asked to write a report of this one. */
  #isForwarding = false;

  constructor(options: StoreTokensOptions) {
    super();
    this.#options = options;
    this.#holder = options.holder;
    this.#pages = new PrepaidPages(options.context, (writer, forwarded) => {
      return this.#forward(writer, forwarded);
    });
    this.#reachability = new StoreReachability(options.context, 'prepaid');
  }

  override get isUnreachable(): boolean {
    return this.#reachability.isUnreachable;
  }

  /** Starts to hold tokens, unless this instance already does. */
  hold(): void {
    if (this.#phase === 'holding' || this.#stopping) return;
    const wasIdle = this.#phase === 'idle';
    this.#phase = 'holding';
    if (wasIdle) this.#reportIn(0);
  }

  /** Returns unused tokens, and leaves the group once no tokens are in use. */
  retire(): void {
    if (this.#phase === 'holding') this.#phase = 'retiring';
  }

  /** Reports within a short random time, because limits have changed. */
  reportSoon(): void {
    if (this.#phase === 'holding')
      this.#reportIn(this.#options.context.random() * LIMITS_JITTER_MS);
  }

  /** From now on, answers tell borrowers to use other lenders. */
  beginStop(): void {
    this.#stopping = true;
  }

  /** Sends the last report, returns all tokens and leaves the group. */
  async stop(): Promise<void> {
    this.beginStop();
    clearTimeout(this.#timer);
    await this.#running;
    // the first exchange may have to repeat an earlier report with an unknown outcome.
    for (let tries = 0; tries < MAX_STOP_ATTEMPTS && this.#phase !== 'idle'; tries += 1) {
      await this.#sync(true);
    }
  }

  override observe(account: AccountId, amount: Tokens, now: EpochMs): void {
    this.#holder.observe(account, amount, now);
  }

  override reserve(account: AccountId, amount: Tokens): PrepaidReservation | undefined {
    return this.#holder.reserve(account, amount);
  }

  override settle(reservation: PrepaidReservation, used: Tokens): boolean {
    if (reservation.incarnation !== this.#holder.incarnation) return false;
    this.#holder.settle(reservation, used);
    return true;
  }

  override free(account: AccountId): Tokens {
    return this.#holder.free(account);
  }

  override held(account: AccountId): Tokens {
    return this.#holder.held(account);
  }

  /**
   * Returns `short` if the page was read recently and has too few tokens. Callers of such an account retry
   * several times a second. Each fetch would be a write that conflicts with others of the group, for tokens that
   * rarely become available so soon.
   */
  override fetchOutlook(account: AccountId, amount: Tokens): FetchOutlook {
    if (this.isUnreachable) return 'away';
    if (this.#now() < this.#throttledUntil) return 'throttled';
    const trustMs = shortageTrustMs(this.#periodMs, this.#pages.instances);
    if (this.#pages.ageMs(this.#now()) > trustMs) return 'may-help';
    const available = this.#pages.available(account, this.#limit(account));
    return this.free(account) + available < amount ? 'short' : 'may-help';
  }

  override async fetch(account: AccountId, amount: Tokens, signal: AbortSignal): Promise<void> {
    await this.fetchAll(new Map([[account, amount]]), signal);
  }

  override view(account: AccountId, limit: Tokens, now: EpochMs): SourceView {
    const isKnown = this.#pages.page !== undefined;
    // tokens spent since the last report are not in the page yet.
    const left = this.#pages.left(account, limit) - this.#holder.unreported(account);
    return {
      available: this.#pages.isCurrent ? this.#pages.available(account, limit) : undefined,
      left: isKnown ? left : undefined,
      ageMs: this.#pages.ageMs(now),
      inDoubt: entryOf(this.#pages.page?.accounts, account)?.inDoubt,
    };
  }

  /** Input for sizing the tokens to hold; an instance that is retiring needs none. */
  get outlook(): PrepaidView {
    const limits = this.#options.limits() ?? new Map<AccountId, Tokens>();
    const page = this.#pages.page ?? { accounts: {}, writers: {} };
    const view = viewOfPage(
      page,
      this.#pages.outlook(limits),
      this.#holder,
      this.#options.fleetSize(),
      this.#pages.instancesElsewhere,
    );
    if (this.#phase !== 'retiring') return view;
    const nothing = [...view.accounts.keys()].map(
      (account): [AccountId, typeof EMPTY_ACCOUNT_VIEW] => {
        return [account, EMPTY_ACCOUNT_VIEW];
      },
    );
    return { ...view, accounts: new Map(nothing) };
  }

  /** Writes a report for another instance of the group. The error says why it was not tried. */
  async writeFor(forwarded: ForwardedReport): Promise<Result<PrepaidReportOutcome, string>> {
    // two instances that ask each other would both wait for their timeout.
    if (this.#isForwarding) return Result.err('this instance asks another one itself');
    while (this.#running) await this.#running;
    const limits = this.#options.limits();
    if (!limits || this.#phase === 'idle' || forwarded.group !== this.#pages.group) {
      return Result.err('this instance does not write that page');
    }
    let outcome: PrepaidReportOutcome = 'busy';
    this.#running = this.#pages.sendFor(forwarded, limits).then((sent) => {
      if (sent.isErr) return this.#fail(sent.error);
      outcome = sent.value;
      return 'done';
    });
    await this.#running.finally(() => {
      this.#running = undefined;
    });
    return Result.ok(outcome);
  }

  async #forward(
    writer: string,
    forwarded: ForwardedReport,
  ): Promise<PrepaidReportOutcome | undefined> {
    this.#isForwarding = true;
    return this.#options.forward(writer, forwarded).finally(() => {
      this.#isForwarding = false;
    });
  }

  /** Whether this instance is stopping. */
  get isStopping(): boolean {
    return this.#stopping;
  }

  /** Waits for an exchange that asks for the tokens missing for several requests. */
  async fetchAll(shortfalls: ReadonlyMap<AccountId, Tokens>, signal: AbortSignal): Promise<void> {
    for (const [account, amount] of shortfalls) this.#holder.beginWait(account, amount);
    // a running exchange has not asked for these tokens yet, so another one follows it.
    const exchange = (this.#running ?? Promise.resolve()).then(() => this.#sync());
    await Promise.race([exchange, aborted(signal)]).finally(() => {
      for (const [account, amount] of shortfalls) this.#holder.endWait(account, amount);
    });
  }

  get #periodMs(): number {
    const { reportMs } = this.#options.context.settings.prepaid;
    return reportPeriodMs(reportMs, this.#pages.instances);
  }

  get #jitteredPeriodMs(): number {
    return withReportJitter(this.#periodMs, this.#options.context.random);
  }

  #reportIn(ms: number): void {
    clearTimeout(this.#timer);
    this.#timer = this.#options.context.background.after(ms, OWNER, () => {
      return this.#sync().finally(() => {
        if (this.#stopping || this.#phase === 'idle') return;
        this.#reportIn(
          this.#reachability.isUnreachable ? UNREACHABLE_RETRY_MS : this.#jitteredPeriodMs,
        );
      });
    });
  }

  #limit(account: AccountId): Tokens {
    return this.#options.limits()?.get(account) ?? Infinity;
  }

  #sync(last = false): Promise<SyncOutcome> {
    this.#running ??= this.#report(last || this.#isDone)
      // requests that wait for tokens are refused as if the store had none.
      .catch((err: unknown): SyncOutcome => {
        this.#options.context.background.report(err, OWNER);
        return 'failed';
      })
      .finally(() => {
        this.#running = undefined;
      });
    return this.#running;
  }

  /** Whether this instance is retiring and none of its tokens is in use. */
  get #isDone(): boolean {
    return this.#phase === 'retiring' && !this.#holder.hasTokens;
  }

  async #report(last: boolean): Promise<SyncOutcome> {
    const limits = this.#options.limits();
    if (!limits || this.#phase === 'idle') return 'done';
    const startedAt = this.#now();
    const opened = await this.#pages.open(this.#reachability.isUnreachable);
    if (opened.isErr) return this.#fail(opened.error);
    // the store is reachable, even if the report fails because of conflicts with other writers.
    this.#reachability.recordAnswer();
    if (this.#holder.isForgotten(opened.value)) this.#renew(opened.value);
    const { book, context } = this.#options;
    book.dropUnmetOfSilent(unmetTrustMs(context.settings.prepaid.reportMs), this.#now());
    const report = this.#holder.buildReport(this.outlook, this.#now(), last);
    if (report) {
      const sent = await this.#pages.send(report, limits);
      if (sent.isErr) return this.#fail(sent.error);
      const { page } = this.#pages;
      if (sent.value !== 'taken' || !page) return 'failed';
      this.#holder.recordExchange(this.#now() - startedAt);
      this.#confirm(report, page);
    }
    this.#options.onExchange();
    const ended = await (report?.last ? this.#leave() : this.#pages.maintain(limits));
    return ended.isOk ? 'done' : this.#fail(ended.error);
  }

  async #leave(): ReturnType<PrepaidPages['leave']> {
    const left = await this.#pages.leave();
    if (left.isErr) return left;
    this.#phase = 'idle';
    // the page no longer knows this process, so it needs a new incarnation to hold tokens again.
    this.#holder.startNewIncarnation();
    return left;
  }

  /** Continues under a new incarnation, without the tokens that were marked as in doubt meanwhile. */
  #renew(page: PrepaidPage): void {
    const { log, settings } = this.#options.context;
    const { incarnation } = this.#holder;
    this.#holder.startNewIncarnation();
    log.write('prepaid-rights-lost', {
      incarnation,
      renewed: this.#holder.incarnation,
      group: this.#pages.group,
      version: this.#pages.version,
      writer: entryOf(page.writers, settings.instance)?.incarnation,
    });
  }

  #confirm(report: PrepaidReport, page: PrepaidPage): void {
    const { book, context } = this.#options;
    const { log, metrics } = context;
    this.#holder.confirm(page);
    const accounts = Object.keys(report.entries);
    log.write('prepaid-reported', {
      group: this.#pages.group,
      version: this.#pages.version,
      seq: report.seq,
      conflicts: this.#pages.takeConflicts(),
      accounts: accounts.length,
      spent: sum(Object.values(report.entries).map((entry) => entry.spent)),
      held: sum(accounts.map((account) => this.#holder.held(account))),
      rate: Math.round(sum(accounts.map((account) => this.#holder.rate(account, this.#now())))),
      borrowers: book.borrowers,
      lent: book.lent,
      unmet: book.unmet,
      ...pageTotals(page, this.#options.limits()),
    });
    metrics.gauge('prepaid_lent_tokens', 'tokens lent to other instances', book.lent);
    for (const account of accounts) {
      metrics.gauge('prepaid_held_tokens', 'tokens held', this.#holder.held(account), { account });
    }
  }

  // the report stays pending and is sent again unchanged, because its write may still take effect.
  #fail({ code, message, retryAfterMs = THROTTLED_MS }: StoreError): SyncOutcome {
    if (code === 'throttled') {
      // the call had no effect and the store is reachable, so the copies stay valid. Single requests do not
      // ask the store for a while.
      this.#throttledUntil = this.#now() + retryAfterMs;
      this.#options.context.log.write('prepaid-throttled', { reason: message, retryAfterMs });
      return 'failed';
    }
    this.#pages.forget();
    this.#reachability.recordFailure(message, { seq: this.#holder.pending?.seq });
    return 'failed';
  }

  #now(): number {
    return this.#options.context.clock.now();
  }
}

/** View of an account for which no tokens are to be held. */
const EMPTY_ACCOUNT_VIEW = { remaining: 0, othersRate: 0 };

/** Totals of all accounts of the group, for the log. */
function pageTotals(
  page: PrepaidPage,
  limits: PrepaidLimits | undefined,
): { limitAll: Tokens; grantedAll: Tokens; spentAll: Tokens; heldAll: Tokens; inDoubtAll: Tokens } {
  const accounts = Object.values(page.accounts);
  return {
    limitAll: sum([...(limits?.values() ?? [])]),
    grantedAll: sum(accounts.map((account) => account.granted)),
    spentAll: sum(accounts.map((account) => account.spent)),
    heldAll: sum(accounts.map(heldPrepaid)),
    inDoubtAll: sum(accounts.map((account) => account.inDoubt)),
  };
}
