/** Reserves prepaid tokens for requests: of rights that this instance holds itself, or that others lend it. */

import type {
  AccountId,
  LoanAnswer,
  LoanRequest,
  Newcomers,
  PrepaidLimits,
  PrepaidReservation,
  Refusal,
  RouteTable,
  Tokens,
} from '@flamingocourse/core';
import type { Kernel } from '@flamingocourse/kernel';
import type { GatewayContext } from '../types/context.js';
import type { LoanCalls } from '../types/loans.js';
import type { TokenSource } from '../types/tokenSource.js';
import { isDeepStrictEqual } from 'node:util';
import { PrepaidHolder, PrepaidSizing, chooseSpenders, rankSpenders } from '@flamingocourse/core';
import { Service, startTimeLimit } from '@flamingocourse/kernel';
import { notRun } from '@flamingocourse/router';
import { Result } from 'true-myth';
import { BackendLanes } from './backendLanes.js';
import { ConfigurationWatch } from './configurationWatch.js';
import { InstanceDirectory } from './instanceDirectory.js';
import { Lenders } from './lenders.js';
import { LoanDesk } from './loanDesk.js';
import { StoreTokens } from './storeTokens.js';

/** Milliseconds after which a caller that was refused for want of tokens may find some. */
const TOKENS_RETRY_MS = 400;

/**
 * Milliseconds that a request waits for tokens. An exchange takes 4 to 40; one that takes longer meets
 * somebody who is cut off, and the caller is served sooner elsewhere.
 */
const FETCH_WAIT_MS = 250;

/**
 * Reports of an idle instance in the time after which a silent one is taken for lost. With five, some may
 * be lost or late; at ten minutes that is a write each two, which costs nothing that shows.
 */
const REPORTS_WITHIN_SILENCE = 5;

/** Milliseconds for which an instance that was asked to lend holds rights, though it is no spender by its own list. */
const ACTING_MS = 6_000;
/** Milliseconds between looks at whether this instance should hold rights. */
const ROLE_LOOK_MS = 5_000;
/** Seconds of the borrowers' demand that a spender keeps to be lent. */
const LENDING_SECONDS = 1;
/** Seconds until the store knows what a borrower has spent: a report to its lender, and one of the lender. */
const LOAN_REPORT_SECONDS = 5;
/** Part of what may be dealt that spenders hold before any demand is known, to be lent to the first callers. */
const LENT_BEFORE_DEMAND = 0.2;

/**
 * Milliseconds after a request was refused for want of tokens that are out of reach in which callers are sent
 * elsewhere. A balancer that asks each second and needs two misses has turned away by then.
 */
const DRY_MS = 3_000;

/** Why a request was refused without its tokens. */
type WhyNot =
  /** Nobody who could give them answered lately. */
  | 'away'
  /** The store is asked too often by all instances together. */
  | 'throttled'
  /** It was said just now that there are too few. */
  | 'short'
  /** They were asked for and did not come in time. */
  | 'not-had'
  /** The other instances are not known yet. */
  | 'unknown-fleet';

/** Registered as `prepaid`. */
export class PrepaidService extends Service {
  override readonly name = 'prepaid';
  override readonly dependsOn = ['configuration', 'lanes', 'instances'];
  readonly #context: GatewayContext;
  readonly #store: StoreTokens;
  readonly #desk: LoanDesk;
  readonly #lenders: Lenders;
  #instances: InstanceDirectory | undefined;
  #configuration: ConfigurationWatch | undefined;
  #limits: PrepaidLimits | undefined;
  #isSpender = false;
  #actingUntil = -Infinity;
  #timer: NodeJS.Timeout | undefined;
  #stopping = false;
  /** When a request was last refused because nobody who could give its tokens answers. */
  #dryAt = -Infinity;

  constructor(context: GatewayContext, incarnation: string, calls: LoanCalls) {
    super();
    this.#context = context;
    const { rideThroughSeconds } = context.settings.prepaid;
    const sizing = new PrepaidSizing({ rideThroughSeconds });
    const holder = this.#createHolder(incarnation, sizing, 'stay');
    const keptSeconds = rideThroughSeconds + LOAN_REPORT_SECONDS;
    const loanSizing = new PrepaidSizing({ rideThroughSeconds, keptSeconds });
    this.#lenders = new Lenders({
      context,
      calls,
      createHolder: (name) => {
        return this.#createHolder(`${incarnation}-${name}`, loanSizing, 'pass-by');
      },
      onLost: () => {
        this.#instances?.lookSoon();
        this.#assumeRole();
      },
      onRegained: () => {
        this.#assumeRole();
      },
    });
    this.#desk = new LoanDesk({ context, holder, limitOf: (account) => this.#limit(account) });
    this.#store = new StoreTokens({
      context,
      holder,
      book: this.#desk.book,
      limits: () => this.#table?.prepaid,
      fleetSize: () => this.#instances?.count ?? 1,
      onExchange: () => {
        this.#dropLostBorrowers();
      },
    });
  }

  /**
   * Whether callers are better served elsewhere: nobody who could give tokens answers, and some were refused
   * for want of them. Where every instance is cut off, all say so, and a balancer uses them as before.
   */
  get isDry(): boolean {
    return this.#now() - this.#dryAt < DRY_MS && this.#isOutOfReach;
  }

  get #isOutOfReach(): boolean {
    return this.#isSpender ? this.#store.isLost : this.#lenders.areLost;
  }

  override start(kernel: Kernel): void {
    const lanes = kernel.get('lanes', BackendLanes);
    this.#instances = kernel.get('instances', InstanceDirectory);
    this.#configuration = kernel.get('configuration', ConfigurationWatch);
    this.#instances.onChange(() => {
      lanes.setInstances(this.#instances?.count ?? 1);
      this.#assumeRole();
    });
    this.#configuration.onChange((table) => {
      this.#takeLimits(table.prepaid);
    });
    this.#timer = setInterval(() => {
      this.#assumeRole();
    }, ROLE_LOOK_MS);
  }

  /** Others are told to borrow elsewhere; requests in progress go on. */
  beginStop(): void {
    this.#stopping = true;
    this.#store.beginStop();
  }

  /** Reports the rest and gives everything back. */
  override async stop(): Promise<void> {
    this.beginStop();
    clearInterval(this.#timer);
    await this.#lenders.stop();
    await this.#store.stop();
  }

  /**
   * Sets the most that a request may use aside. What is lacking is asked of a lender or the store, which
   * takes some milliseconds; while they are out of reach the request is refused at once instead.
   *
   * @param signal ends the wait; the request is refused then.
   */
  async reserve(
    account: AccountId,
    amount: Tokens,
    signal: AbortSignal,
  ): Promise<Result<PrepaidReservation, Refusal>> {
    const sources = this.#sources(account);
    sources[0]?.observe(account, amount, this.#now());
    const held = this.#take(account, amount);
    if (held) return Result.ok(held);
    const why = await this.#fetch(sources, account, amount, signal);
    const fetched = this.#take(account, amount);
    return fetched ? Result.ok(fetched) : Result.err(this.#refuse(account, amount, why));
  }

  /** Ends a reservation with what was used. */
  settle(reservation: PrepaidReservation, used: Tokens): void {
    const sources: TokenSource[] = [this.#store, ...this.#lenders.all];
    sources.find((source) => source.settle(reservation, used));
  }

  /** Lends to another instance. One that is asked takes the place of spenders that do not answer. */
  async lend(request: LoanRequest): Promise<LoanAnswer> {
    if (asksForTokens(request)) this.#actingUntil = this.#now() + ACTING_MS;
    if (!this.#isSpender) this.#assumeRole();
    return this.#desk.lend(request, this.#store);
  }

  #dropLostBorrowers(): void {
    const lost = this.#desk.dropLost();
    if (lost.length > 0) void this.#instances?.remove(lost);
  }

  /** Takes tokens that are here, from whomever they are. */
  #take(account: AccountId, amount: Tokens): PrepaidReservation | undefined {
    const holding: TokenSource[] = [...this.#lenders.all, this.#store];
    const [first] = this.#sources(account);
    const source = holding.find((other) => other.free(account) >= amount) ?? first;
    return source?.reserve(account, amount);
  }

  /** Asks one source after the other until one has the tokens or answers that it has not. */
  async #fetch(
    sources: readonly TokenSource[],
    account: AccountId,
    amount: Tokens,
    signal: AbortSignal,
  ): Promise<WhyNot> {
    if (sources.length === 0) return 'unknown-fleet';
    const limit = startTimeLimit(FETCH_WAIT_MS, signal);
    try {
      return await this.#fetchWithin(limit.signal, sources, account, amount);
    } finally {
      limit.end();
    }
  }

  async #fetchWithin(
    signal: AbortSignal,
    sources: readonly TokenSource[],
    account: AccountId,
    amount: Tokens,
  ): Promise<WhyNot> {
    for (const source of sources) {
      const outlook = source.fetchOutlook(account, amount);
      if (outlook === 'away') continue;
      if (outlook !== 'may-help') return outlook;
      await source.fetch(account, amount, signal);
      if (!source.isLost) return 'not-had';
      if (signal.aborted) return 'away';
    }
    return 'away';
  }

  /** Whom to ask for tokens of an account, in this order. */
  #sources(account: AccountId): TokenSource[] {
    return this.#isSpender ? [this.#store] : this.#lenders.inOrder(account);
  }

  /** Holds rights or borrows, by what is known of the fleet. */
  #assumeRole(): void {
    const all = this.#instances?.all ?? [];
    if (all.length === 0 || this.#stopping || !this.#limits) return;
    if (!this.#instances?.isSettled) return;
    const { instance, dataCentre, listen } = this.#context.settings;
    const spenders = chooseSpenders(all, dataCentre);
    const isListed = spenders.length === 0 || spenders.some(({ name }) => name === instance);
    this.#isSpender = isListed || !listen.mesh || this.#now() < this.#actingUntil;
    if (this.#isSpender) {
      this.#lenders.release();
      this.#store.hold();
    } else {
      this.#lenders.use(spenders, rankSpenders(all, dataCentre));
      this.#store.retire();
    }
  }

  #createHolder(process: string, sizing: PrepaidSizing, newcomers: Newcomers): PrepaidHolder {
    const { instance, prepaid } = this.#context.settings;
    return new PrepaidHolder({
      instance,
      process,
      sizing,
      lendingSizing: new PrepaidSizing({
        rideThroughSeconds: LENDING_SECONDS,
        evenPart: LENT_BEFORE_DEMAND,
      }),
      aliveMs: prepaid.silentMs / REPORTS_WITHIN_SILENCE,
      newcomers,
    });
  }

  /** Rights are held from the first limits on, and reported soon when some have changed. */
  #takeLimits(limits: PrepaidLimits): void {
    const before = this.#limits;
    this.#limits = limits;
    if (!before) this.#assumeRole();
    else if (!isDeepStrictEqual(before, limits)) this.#store.reportSoon();
  }

  #refuse(account: AccountId, amount: Tokens, why: WhyNot): Refusal {
    const [source = this.#store] = this.#sources(account);
    const limit = this.#limit(account);
    const { available, left, ageMs, inDoubt } = source.view(account, limit, this.#now());
    const usedUp = this.#isUsedUp(left, amount);
    if (why === 'away' && !usedUp) this.#dryAt = this.#now();
    this.#context.metrics.prepaidRefused(account, usedUp ? 'used-up' : why);
    this.#context.log.write('prepaid-refused', {
      account,
      amount,
      why,
      source: source.name,
      free: source.free(account),
      held: source.held(account),
      available,
      left,
      limit: Number.isFinite(limit) ? limit : undefined,
      inDoubt,
      pageAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
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
   * only grows, so what was known earlier proves it as well; but a higher limit may have come that this
   * instance, cut off from the store, does not know.
   */
  #isUsedUp(left: Tokens | undefined, amount: Tokens): boolean {
    const isFresh = this.#configuration?.isFresh(this.#now()) ?? false;
    return isFresh && left !== undefined && left < amount;
  }

  #limit(account: AccountId): Tokens {
    return this.#table?.prepaid.get(account) ?? Infinity;
  }

  get #table(): RouteTable | undefined {
    return this.#configuration?.table;
  }

  #now(): number {
    return this.#context.clock.now();
  }
}

/** Whether a borrower wants more than to give back what it has. */
function asksForTokens({ report }: LoanRequest): boolean {
  return Object.values(report.entries).some(({ wants }) => wants > 0);
}
