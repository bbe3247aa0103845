/** Keeps this instance's part of the prepaid budgets: reserves, reports, takes and gives back. */

import type {
  AccountId,
  PrepaidLimits,
  PrepaidPage,
  PrepaidReport,
  PrepaidReservation,
  Refusal,
  RouteTable,
  Tokens,
} from '@flamingocourse/core';
import type { Kernel } from '@flamingocourse/kernel';
import type { PlatformError as StoreError } from '@flamingocourse/store';
import type { GatewayContext } from '../types/context.js';
import { setTimeout as delay } from 'node:timers/promises';
import { isDeepStrictEqual } from 'node:util';
import { PrepaidHolder, PrepaidSizing, heldPrepaid, sum } from '@flamingocourse/core';
import { Service } from '@flamingocourse/kernel';
import { notRun } from '@flamingocourse/router';
import { Result } from 'true-myth';
import { believedShortMs, reportPeriodMs } from '../runtime/reportPeriod.js';
import { BackendLanes } from './backendLanes.js';
import { ConfigurationWatch } from './configurationWatch.js';
import { PrepaidPages } from './prepaidPages.js';
import { StoreContact } from './storeContact.js';

/** Part of the report period by which instances that started together drift apart. */
const REPORT_JITTER = 0.3;
/**
 * Milliseconds over which instances spread their reports after limits have changed. All hear of it in the
 * same moment; a request that needs the new tokens sooner fetches them itself.
 */
const LIMITS_SPREAD_MS = 500;
/** Milliseconds for which a store that is over its rate is not asked, unless it says for how long. */
const THROTTLED_MS = 500;
/** Milliseconds between tries while the store is away; tokens run out meanwhile. */
const AWAY_RETRY_MS = 200;
/** Milliseconds after which a caller that was refused for want of tokens may find some. */
const TOKENS_RETRY_MS = 400;

/**
 * Milliseconds that a request waits for tokens from the store. An exchange takes 4 to 40; one that takes
 * longer meets a store that is cut off, and the caller is served sooner elsewhere.
 */
const FETCH_WAIT_MS = 250;

/**
 * Reports of an idle instance in the time after which a silent one is taken for lost. With five, some may
 * be lost or late; at ten minutes that is a write each two, which costs nothing that shows.
 */
const REPORTS_WITHIN_SILENCE = 5;

/** Exchanges in which an instance that stops tries to leave; its time to stop is bounded. */
const LAST_TRIES = 3;

/** Outcome of one exchange with the store. */
type SyncEnd = 'done' | 'failed';

/** Why a request was refused without its tokens. */
type WhyNot =
  /** The store did not answer the last exchange. */
  | 'away'
  /** All instances together ask the store too often. */
  | 'throttled'
  /** The page showed just now that there are too few. */
  | 'short'
  /** They were asked for and did not come in time. */
  | 'not-had';

/** Registered as `prepaid`. */
export class PrepaidService extends Service {
  override readonly name = 'prepaid';
  override readonly dependsOn = ['configuration', 'lanes'];
  readonly #context: GatewayContext;
  readonly #holder: PrepaidHolder;
  readonly #pages: PrepaidPages;
  #lanes: BackendLanes | undefined;
  #configuration: ConfigurationWatch | undefined;
  #running: Promise<SyncEnd> | undefined;
  #timer: NodeJS.Timeout | undefined;
  #limits: PrepaidLimits | undefined;
  /** Whether the store answered the last exchange. */
  readonly #contact: StoreContact;
  /** Until then the store is not asked for single requests, because it is over its rate. */
  #askAgainAt = -Infinity;
  #stopped = false;
  #left = false;

  constructor(context: GatewayContext, incarnation: string) {
    super();
    this.#context = context;
    this.#contact = new StoreContact(context, this.name);
    this.#pages = new PrepaidPages(context);
    const { instance, prepaid } = context.settings;
    this.#holder = new PrepaidHolder({
      instance,
      process: incarnation,
      sizing: new PrepaidSizing({ rideThroughSeconds: prepaid.rideThroughSeconds }),
      aliveMs: prepaid.silentMs / REPORTS_WITHIN_SILENCE,
    });
  }

  override start(kernel: Kernel): void {
    this.#lanes = kernel.get('lanes', BackendLanes);
    this.#configuration = kernel.get('configuration', ConfigurationWatch);
    this.#configuration.onChange((table) => {
      this.#takeLimits(table.prepaid);
    });
  }

  /** Reports the rest, gives everything back and leaves the group. */
  override async stop(): Promise<void> {
    clearTimeout(this.#timer);
    this.#stopped = true;
    await this.#running;
    // the first exchange may have to end with an earlier report whose fate was not known.
    for (let tries = 0; tries < LAST_TRIES && !this.#left; tries += 1) await this.#sync(true);
  }

  /**
   * Sets the most that a request may use aside. What is lacking is fetched from the store, which
   * takes some milliseconds; while the store is away the request is refused at once instead.
   *
   * @param signal ends the wait for the store; the request is refused then.
   */
  async reserve(
    account: AccountId,
    amount: Tokens,
    signal: AbortSignal,
  ): Promise<Result<PrepaidReservation, Refusal>> {
    const { clock } = this.#context;
    this.#holder.observe(account, amount, clock.now());
    const held = this.#holder.reserve(account, amount);
    if (held) return Result.ok(held);
    const unasked = this.#whyNotAsk(account, amount);
    if (unasked) return Result.err(this.#refuse(account, amount, unasked));
    await this.#fetch(account, amount, signal);
    const fetched = this.#holder.reserve(account, amount);
    return fetched ? Result.ok(fetched) : Result.err(this.#refuse(account, amount, 'not-had'));
  }

  /** Why the store is not asked for what a request lacks; undefined where it is. */
  #whyNotAsk(account: AccountId, amount: Tokens): WhyNot | undefined {
    if (this.#contact.isLost) return 'away';
    if (this.#context.clock.now() < this.#askAgainAt) return 'throttled';
    return this.#isShort(account, amount) ? 'short' : undefined;
  }

  /** Waits for an exchange that asks for what is lacking, but no longer than a caller should. */
  async #fetch(account: AccountId, amount: Tokens, signal: AbortSignal): Promise<void> {
    this.#holder.beginWait(account, amount);
    // one exchange may have been under way that did not ask for these tokens yet.
    const exchange = (this.#running ?? Promise.resolve()).then(() => this.#sync());
    const limit = delay(FETCH_WAIT_MS, undefined, { signal, ref: false }).catch((err: unknown) => {
      // the caller left or its time is over: there is nothing to wait for.
      if (!signal.aborted) throw err;
    });
    await Promise.race([exchange, limit]).finally(() => {
      this.#holder.endWait(account, amount);
    });
  }

  /** Ends a reservation with what was used. */
  settle(reservation: PrepaidReservation, used: Tokens): void {
    this.#holder.settle(reservation, used);
  }

  /**
   * Whether the page was seen just now and has too few tokens to deal. Nothing is asked then: callers of an
   * account that is short come back several times a second, and each question would be a write that others
   * of the group conflict with, for tokens that hardly ever turn up so soon.
   */
  #isShort(account: AccountId, amount: Tokens): boolean {
    const believedMs = believedShortMs(this.#periodMs, this.#pages.instances);
    if (this.#pages.ageMs(this.#context.clock.now()) > believedMs) return false;
    const available = this.#pages.available(account, this.#limit(account));
    return this.#holder.free(account) + available < amount;
  }

  get #periodMs(): number {
    const { reportMs } = this.#context.settings.prepaid;
    return reportPeriodMs(reportMs, this.#pages.instances);
  }

  /** Reports at once when the first limits are known, and soon when some have changed. */
  #takeLimits(limits: PrepaidLimits): void {
    const before = this.#limits;
    this.#limits = limits;
    if (!before) this.#reportIn(0);
    else if (!isDeepStrictEqual(before, limits))
      this.#reportIn(this.#context.random() * LIMITS_SPREAD_MS);
  }

  #reportIn(ms: number): void {
    clearTimeout(this.#timer);
    if (this.#stopped) return;
    this.#timer = setTimeout(() => {
      void this.#sync().finally(() => {
        this.#reportIn(this.#contact.isLost ? AWAY_RETRY_MS : this.#jitteredPeriodMs);
      });
    }, ms);
  }

  /** Instances that report in the same moment conflict with each other again and again. */
  get #jitteredPeriodMs(): number {
    const { random } = this.#context;
    return this.#periodMs * (1 - REPORT_JITTER / 2 + REPORT_JITTER * random());
  }

  #refuse(account: AccountId, amount: Tokens, why: WhyNot): Refusal {
    const { clock, log, metrics } = this.#context;
    const usedUp = this.#isUsedUp(account, amount);
    const limit = this.#limit(account);
    // after a lost exchange nothing is known of what is left.
    const isKnown = this.#pages.page !== undefined;
    metrics.prepaidRefused(account, usedUp ? 'used-up' : why);
    log.write('prepaid-refused', {
      account,
      amount,
      why,
      free: this.#holder.free(account),
      held: this.#holder.held(account),
      available: isKnown ? this.#pages.available(account, limit) : undefined,
      left: isKnown ? this.#pages.left(account, limit) : undefined,
      limit: Number.isFinite(limit) ? limit : undefined,
      inDoubt: this.#pages.page?.accounts[account]?.inDoubt,
      pageAgeMs: Math.round(this.#pages.ageMs(clock.now())),
      usedUp,
    });
    if (usedUp) {
      return notRun('budget-exhausted', 'The prepaid budget does not cover this request.');
    }
    const detail = 'The tokens to cover this request cannot be had here now; retry soon.';
    return notRun('budget-unreachable', detail, TOKENS_RETRY_MS);
  }

  /**
   * Whether it is proved that the budget can't cover the amount, whoever holds the rest. What is gone
   * only grows, so an old page proves it as well; but a higher limit may have come that this instance,
   * cut off from the store, does not know.
   */
  #isUsedUp(account: AccountId, amount: Tokens): boolean {
    const isFresh = this.#configuration?.isFresh(this.#context.clock.now()) ?? false;
    if (!isFresh || !this.#pages.page) return false;
    // what was spent here since the last report is in no page yet.
    const left = this.#pages.left(account, this.#limit(account));
    return left - this.#holder.unreported(account) < amount;
  }

  #limit(account: AccountId): Tokens {
    return this.#table?.prepaid.get(account) ?? Infinity;
  }

  get #table(): RouteTable | undefined {
    return this.#configuration?.table;
  }

  #sync(last = false): Promise<SyncEnd> {
    this.#running ??= this.#report(last).finally(() => {
      this.#running = undefined;
    });
    return this.#running;
  }

  async #report(last: boolean): Promise<SyncEnd> {
    const limits = this.#table?.prepaid;
    if (!limits) return 'done';
    const opened = await this.#pages.open(this.#contact.isLost);
    if (opened.isErr) return this.#fail(opened.error);
    // the store answers, whatever becomes of the report: others may be quicker each time.
    this.#contact.heard();
    this.#lanes?.setInstances(this.#pages.instances);
    if (this.#holder.isForgotten(opened.value)) this.#renew(opened.value);
    const outlook = this.#pages.outlook(limits);
    const now = this.#context.clock.now();
    const report = this.#holder.beginReport(opened.value, outlook, now, last);
    if (report) {
      const sent = await this.#pages.send(report, limits);
      if (sent.isErr) return this.#fail(sent.error);
      const { page } = this.#pages;
      if (sent.value !== 'taken' || !page) return 'failed';
      this.#confirm(report, page);
    }
    const ended = await (report?.last ? this.#leave() : this.#pages.tend(limits));
    return ended.isOk ? 'done' : this.#fail(ended.error);
  }

  async #leave(): ReturnType<PrepaidPages['leave']> {
    const left = await this.#pages.leave();
    this.#left = left.isOk;
    return left;
  }

  /** Goes on without the rights that were put in doubt while this instance was away. */
  #renew(page: PrepaidPage): void {
    const { log, settings } = this.#context;
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
    const { log, metrics } = this.#context;
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
      ...pageTotals(page, this.#table),
    });
    for (const account of accounts) {
      metrics.gauge('prepaid_held_tokens', 'tokens held', this.#holder.held(account), { account });
    }
  }

  // the report stays pending: its write may still take effect, so the same one is sent again.
  #fail({ code, message, retryAfterMs = THROTTLED_MS }: StoreError): SyncEnd {
    if (code === 'throttled') {
      // nothing was done, and the store is there: what is known stays, and nothing is asked for a while.
      this.#askAgainAt = this.#context.clock.now() + retryAfterMs;
      this.#context.log.write('prepaid-throttled', { reason: message, retryAfterMs });
      return 'failed';
    }
    this.#pages.forget();
    this.#contact.lose(message, { seq: this.#holder.pending?.seq });
    return 'failed';
  }
}

/** Totals over all accounts of the group, for the log. */
function pageTotals(
  page: PrepaidPage,
  table: RouteTable | undefined,
): { limitAll: Tokens; grantedAll: Tokens; spentAll: Tokens; heldAll: Tokens; inDoubtAll: Tokens } {
  const accounts = Object.values(page.accounts);
  return {
    limitAll: sum([...(table?.prepaid.values() ?? [])]),
    grantedAll: sum(accounts.map((account) => account.granted)),
    spentAll: sum(accounts.map((account) => account.spent)),
    heldAll: sum(accounts.map(heldPrepaid)),
    inDoubtAll: sum(accounts.map((account) => account.inDoubt)),
  };
}
