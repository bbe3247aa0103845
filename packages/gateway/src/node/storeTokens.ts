/** Rights to spend that this instance holds itself, by its reports to the store. */

import type {
  AccountId,
  EpochMs,
  LoanBook,
  PrepaidHolder,
  PrepaidLimits,
  PrepaidPage,
  PrepaidReport,
  PrepaidReservation,
  PrepaidView,
  Tokens,
} from '@flamingocourse/core';
import type { PlatformError as StoreError } from '@flamingocourse/store';
import type { GatewayContext } from '../types/context.js';
import type { FetchOutlook, SourceView } from '../types/tokenSource.js';
import { heldPrepaid, sum, viewOfPage } from '@flamingocourse/core';
import { aborted } from '@flamingocourse/kernel';
import { believedShortMs, reportPeriodMs, withReportJitter } from '../runtime/reportPeriod.js';
import { TokenSource } from '../types/tokenSource.js';
import { PrepaidPages } from './prepaidPages.js';
import { StoreContact } from './storeContact.js';

/**
 * Milliseconds over which instances spread their reports after limits have changed. All hear of it in the
 * same moment; a request that needs the new tokens sooner fetches them itself.
 */
const LIMITS_SPREAD_MS = 500;
/** Milliseconds for which a store that is over its rate is not asked, unless it says for how long. */
const THROTTLED_MS = 500;
/** Milliseconds between tries while the store is away; tokens run out meanwhile. */
const AWAY_RETRY_MS = 200;
/** Exchanges in which an instance that stops tries to leave; its time to stop is bounded. */
const LAST_TRIES = 3;
/** Outcome of one exchange with the store. */
type SyncEnd = 'done' | 'failed';

/** Whether this instance holds rights: not at all, for itself and others, or until all are given back. */
type Phase = 'idle' | 'holding' | 'retiring';

/** What the rights of an instance are created with. */
export interface StoreTokensOptions {
  context: GatewayContext;
  holder: PrepaidHolder;
  /** Limits of the configuration in force; undefined before the first. */
  limits: () => PrepaidLimits | undefined;
  /** Instances of the fleet. */
  fleetSize: () => number;
  /** What is lent of these rights. */
  book: LoanBook;
  /** Called at each exchange that went well. */
  onExchange: () => void;
}

/**
 * Rights of one instance. A spender among them holds what the instances of its data centre need, and its
 * reports are the only ones that reach the store.
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
  /** Whether the store answered the last exchange. */
  readonly #contact: StoreContact;
  #phase: Phase = 'idle';
  #running: Promise<SyncEnd> | undefined;
  #timer: NodeJS.Timeout | undefined;
  /** Until then the store is not asked for single requests, because it is over its rate. */
  #askAgainAt = -Infinity;
  #stopping = false;

  constructor(options: StoreTokensOptions) {
    super();
    this.#options = options;
    this.#holder = options.holder;
    this.#pages = new PrepaidPages(options.context);
    this.#contact = new StoreContact(options.context, 'prepaid');
  }

  override get isLost(): boolean {
    return this.#contact.isLost;
  }

  /** Begins to hold rights, unless it does. */
  hold(): void {
    if (this.#phase === 'holding' || this.#stopping) return;
    const wasIdle = this.#phase === 'idle';
    this.#phase = 'holding';
    if (wasIdle) this.#reportIn(0);
  }

  /** Gives back what is not in use, and leaves its group once nothing is. */
  retire(): void {
    if (this.#phase === 'holding') this.#phase = 'retiring';
  }

  /** Reports soon: limits have changed. */
  reportSoon(): void {
    if (this.#phase === 'holding')
      this.#reportIn(this.#options.context.random() * LIMITS_SPREAD_MS);
  }

  /** From now on borrowers are told to turn to others. */
  beginStop(): void {
    this.#stopping = true;
  }

  /** Reports the rest, gives everything back and leaves the group. */
  async stop(): Promise<void> {
    this.beginStop();
    clearTimeout(this.#timer);
    await this.#running;
    // the first exchange may have to end with an earlier report whose fate was not known.
    for (let tries = 0; tries < LAST_TRIES && this.#phase !== 'idle'; tries += 1) {
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
   * Whether the page was seen just now and has too few tokens to deal. Nothing is asked then: callers of an
   * account that is short come back several times a second, and each question would be a write that others
   * of the group conflict with, for tokens that hardly ever turn up so soon.
   */
  override fetchOutlook(account: AccountId, amount: Tokens): FetchOutlook {
    if (this.isLost) return 'away';
    if (this.#now() < this.#askAgainAt) return 'throttled';
    const believedMs = believedShortMs(this.#periodMs, this.#pages.instances);
    if (this.#pages.ageMs(this.#now()) > believedMs) return 'may-help';
    const available = this.#pages.available(account, this.#limit(account));
    return this.free(account) + available < amount ? 'short' : 'may-help';
  }

  override async fetch(account: AccountId, amount: Tokens, signal: AbortSignal): Promise<void> {
    await this.fetchAll(new Map([[account, amount]]), signal);
  }

  override view(account: AccountId, limit: Tokens, now: EpochMs): SourceView {
    // after a lost exchange nothing is known of what is left.
    const isKnown = this.#pages.page !== undefined;
    // what was spent here since the last report is in no page yet.
    const left = this.#pages.left(account, limit) - this.#holder.unreported(account);
    return {
      available: isKnown ? this.#pages.available(account, limit) : undefined,
      left: isKnown ? left : undefined,
      ageMs: this.#pages.ageMs(now),
      inDoubt: this.#pages.page?.accounts[account]?.inDoubt,
    };
  }

  /** What the holder sizes its rights by; one that retires needs none. */
  get outlook(): PrepaidView {
    const limits = this.#options.limits() ?? new Map<AccountId, Tokens>();
    const page = this.#pages.page ?? { accounts: {}, writers: {} };
    const instances = Math.ceil(this.#options.fleetSize() / this.#pages.groups);
    const view = viewOfPage(page, this.#pages.outlook(limits), this.#holder, instances);
    if (this.#phase !== 'retiring') return view;
    const nothing = [...view.accounts.keys()].map((account): [AccountId, typeof NOTHING_LEFT] => {
      return [account, NOTHING_LEFT];
    });
    return { ...view, accounts: new Map(nothing) };
  }

  /** Whether this instance stops, or gives its rights back for another reason. */
  get isStopping(): boolean {
    return this.#stopping;
  }

  /** Waits for an exchange that asks for what several requests lack. */
  async fetchAll(lacking: ReadonlyMap<AccountId, Tokens>, signal: AbortSignal): Promise<void> {
    for (const [account, amount] of lacking) this.#holder.beginWait(account, amount);
    // one exchange may have been under way that did not ask for these tokens yet.
    const exchange = (this.#running ?? Promise.resolve()).then(() => this.#sync());
    await Promise.race([exchange, aborted(signal)]).finally(() => {
      for (const [account, amount] of lacking) this.#holder.endWait(account, amount);
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
    this.#timer = setTimeout(() => {
      void this.#sync().finally(() => {
        if (this.#stopping || this.#phase === 'idle') return;
        this.#reportIn(this.#contact.isLost ? AWAY_RETRY_MS : this.#jitteredPeriodMs);
      });
    }, ms);
  }

  #limit(account: AccountId): Tokens {
    return this.#options.limits()?.get(account) ?? Infinity;
  }

  #sync(last = false): Promise<SyncEnd> {
    this.#running ??= this.#report(last || this.#isDone).finally(() => {
      this.#running = undefined;
    });
    return this.#running;
  }

  /** Whether nothing is in use any more of rights that are to be given back. */
  get #isDone(): boolean {
    return this.#phase === 'retiring' && !this.#holder.hasRights;
  }

  async #report(last: boolean): Promise<SyncEnd> {
    const limits = this.#options.limits();
    if (!limits || this.#phase === 'idle') return 'done';
    const opened = await this.#pages.open(this.#contact.isLost);
    if (opened.isErr) return this.#fail(opened.error);
    // the store answers, whatever becomes of the report: others may be quicker each time.
    this.#contact.heard();
    if (this.#holder.isForgotten(opened.value)) this.#renew(opened.value);
    const report = this.#holder.reportBy(this.outlook, this.#now(), last);
    if (report) {
      const sent = await this.#pages.send(report, limits);
      if (sent.isErr) return this.#fail(sent.error);
      const { page } = this.#pages;
      if (sent.value !== 'taken' || !page) return 'failed';
      this.#confirm(report, page);
    }
    this.#options.onExchange();
    const ended = await (report?.last ? this.#leave() : this.#pages.tend(limits));
    return ended.isOk ? 'done' : this.#fail(ended.error);
  }

  async #leave(): ReturnType<PrepaidPages['leave']> {
    const left = await this.#pages.leave();
    if (left.isErr) return left;
    this.#phase = 'idle';
    // the page has forgotten this process: should it hold rights again, it begins anew.
    this.#holder.renew();
    return left;
  }

  /** Goes on without the rights that were put in doubt while this instance was away. */
  #renew(page: PrepaidPage): void {
    const { log, settings } = this.#options.context;
    const { incarnation } = this.#holder;
    this.#holder.renew();
    log.write('prepaid-rights-lost', {
      incarnation,
      renewed: this.#holder.incarnation,
      group: this.#pages.group,
      version: this.#pages.version,
      writer: page.writers[settings.instance]?.incarnation,
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
      borrowers: book.borrowers,
      lent: book.lent,
      ...pageTotals(page, this.#options.limits()),
    });
    metrics.gauge('prepaid_lent_tokens', 'tokens lent to other instances', book.lent);
    for (const account of accounts) {
      metrics.gauge('prepaid_held_tokens', 'tokens held', this.#holder.held(account), { account });
    }
  }

  // the report stays pending: its write may still take effect, so the same one is sent again.
  #fail({ code, message, retryAfterMs = THROTTLED_MS }: StoreError): SyncEnd {
    if (code === 'throttled') {
      // nothing was done, and the store is there: what is known stays, and nothing is asked for a while.
      this.#askAgainAt = this.#now() + retryAfterMs;
      this.#options.context.log.write('prepaid-throttled', { reason: message, retryAfterMs });
      return 'failed';
    }
    this.#pages.forget();
    this.#contact.lose(message, { seq: this.#holder.pending?.seq });
    return 'failed';
  }

  #now(): number {
    return this.#options.context.clock.now();
  }
}

/** An account of which nothing is to be held. */
const NOTHING_LEFT = { remaining: 0, othersRate: 0 };

/** Totals over all accounts of the group, for the log. */
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
