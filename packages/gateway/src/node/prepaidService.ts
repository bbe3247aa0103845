/** Reserves prepaid tokens for requests, from tokens that this instance holds itself or borrows. */

import type {
  AccountId,
  ForwardedReport,
  LoanAnswer,
  LoanRequest,
  PrepaidHolderOptions,
  PrepaidLimits,
  PrepaidReportOutcome,
  PrepaidReservation,
  Refusal,
  RouteTable,
  Tokens,
} from '@flamingocourse/core';
import type { Kernel } from '@flamingocourse/kernel';
import type { GatewayContext } from '../types/context.js';
import type { TokenRefusalReason } from './tokenRefusals.js';
import type { LoanCalls } from '../types/loans.js';
import type { TokenSource } from '../types/tokenSource.js';
import { isDeepStrictEqual } from 'node:util';
import { PrepaidHolder, PrepaidSizing, chooseLenders, rankLenders } from '@flamingocourse/core';
import { Service, startTimeLimit } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { ConfigurationWatch } from './configurationWatch.js';
import { InstanceDirectory } from './instanceDirectory.js';
import { Lenders } from './lenders.js';
import { LoanRequestHandler } from './loanRequestHandler.js';
import { StoreTokens } from './storeTokens.js';
import { TokenRefusals } from './tokenRefusals.js';

/**
 * Milliseconds that a request waits for tokens. An exchange takes 4 to 40 ms. If it takes longer, one side is
 * usually cut off, and another instance serves the caller sooner.
 */
const FETCH_WAIT_MS = 250;

/**
 * Number of reports that an idle instance sends in the time after which a silent instance counts as lost. With
 * five, some may be lost or late. If that time is ten minutes, this is one write every two minutes, a
 * negligible cost.
 */
const REPORTS_WITHIN_SILENCE = 5;

/**
 * Milliseconds for which an instance that was asked for a loan holds tokens from the store, although its own
 * instance list does not make it a lender.
 */
const ACTING_LENDER_MS = 6_000;
/** Milliseconds between two checks whether this instance should hold tokens from the store. */
const ROLE_CHECK_MS = 5_000;
/** Seconds of the borrowers' demand that a lender holds in reserve for loans. */
const LENDING_RESERVE_SECONDS = 1;
/** Seconds until the store knows a borrower's spending: one report to the lender and one by the lender. */
const LOAN_REPORT_SECONDS = 5;
/**
 * Fraction of the available tokens that lenders hold before any demand is known, so that they can lend
 * to the first callers.
 */
const INITIAL_LENDING_SHARE = 0.2;

/** Service for prepaid budgets. Registered as `prepaid`. */
export class PrepaidService extends Service {
  override readonly name = 'prepaid';
  override readonly dependsOn = ['configuration', 'instances'];
  readonly #context: GatewayContext;
  readonly #store: StoreTokens;
  readonly #loanRequests: LoanRequestHandler;
  readonly #lenders: Lenders;
  #instances: InstanceDirectory | undefined;
  #configuration: ConfigurationWatch | undefined;
  #limits: PrepaidLimits | undefined;
  #isLender = false;
  #actingLenderUntil = -Infinity;
  #timer: NodeJS.Timeout | undefined;
  #stopping = false;
  readonly #refusals: TokenRefusals;

  constructor(context: GatewayContext, incarnation: string, calls: LoanCalls) {
    super();
    this.#context = context;
    this.#refusals = new TokenRefusals(context);
    const { rideThroughSeconds } = context.settings.prepaid;
    const sizing = new PrepaidSizing({ rideThroughSeconds });
    const lendingSizing = new PrepaidSizing({
      rideThroughSeconds: LENDING_RESERVE_SECONDS,
      evenFraction: INITIAL_LENDING_SHARE,
    });
    const holder = this.#createHolder({ process: incarnation, sizing, lendingSizing });
    const unallocatedSeconds = rideThroughSeconds + LOAN_REPORT_SECONDS;
    const loanSizing = new PrepaidSizing({ rideThroughSeconds, unallocatedSeconds });
    this.#lenders = new Lenders({
      context,
      calls,
      createHolder: (name) => {
        return this.#createHolder({
          process: `${incarnation}-${name}`,
          sizing: loanSizing,
          callerAffinity: 'pass-by',
        });
      },
      onUnavailable: () => {
        this.#instances?.readSoon();
        this.#updateRole();
      },
      onReachable: () => {
        this.#updateRole();
      },
    });
    this.#loanRequests = new LoanRequestHandler({
      context,
      holder,
      limitOf: (account) => this.#limit(account),
    });
    this.#store = new StoreTokens({
      context,
      holder,
      book: this.#loanRequests.book,
      limits: () => this.#table?.prepaid,
      fleetSize: () => this.#instances?.count ?? 1,
      forward: (writer, forwarded) => this.#forward(calls, writer, forwarded),
      onExchange: () => {
        this.#dropLostBorrowers();
      },
    });
  }

  /**
   * Whether callers are better served by other instances: no source of tokens is reachable, and a request was
   * recently refused for this reason. If every instance is cut off, all report this, and a load balancer
   * uses them as before.
   */
  get shouldDivertCallers(): boolean {
    return this.#areSourcesUnreachable && this.#refusals.callForDiversion(this.#now());
  }

  get #areSourcesUnreachable(): boolean {
    return this.#isLender ? this.#store.isUnreachable : this.#lenders.areUnreachable;
  }

  override start(kernel: Kernel): void {
    this.#instances = kernel.get('instances', InstanceDirectory);
    this.#configuration = kernel.get('configuration', ConfigurationWatch);
    this.#instances.onChange(() => {
      this.#updateRole();
    });
    this.#configuration.onChange((table) => {
      this.#applyLimits(table.prepaid);
    });
    this.#timer = this.#context.background.every(ROLE_CHECK_MS, this.name, () => {
      this.#updateRole();
    });
  }

  /** Tells borrowers to use other lenders. Requests in progress continue. */
  beginStop(): void {
    this.#stopping = true;
    this.#store.beginStop();
  }

  /** Sends the last reports and returns all tokens. */
  override async stop(): Promise<void> {
    this.beginStop();
    clearInterval(this.#timer);
    await this.#lenders.stop();
    await this.#store.stop();
  }

  /**
   * Reserves the maximum number of tokens that a request may use. Missing tokens are fetched from a lender
   * or the store, which takes some milliseconds. While none of them is reachable, the request is refused
   * at once.
   *
   * @param signal ends the wait for tokens; the request is then refused.
   * @param endsAt when the caller stops waiting for its answer; decides when it should come back.
   */
  async reserve(
    account: AccountId,
    amount: Tokens,
    signal: AbortSignal,
    endsAt?: number,
  ): Promise<Result<PrepaidReservation, Refusal>> {
    // as demand it would take the account's tokens from requests that can be served.
    if (amount > this.#limit(account)) {
      return Result.err(this.#refuse(account, amount, 'short', endsAt));
    }
    const sources = this.#sources(account);
    sources[0]?.observe(account, amount, this.#now());
    const reserved = await this.#holdOrFetch(sources, account, amount, signal);
    this.#refusals.recordOutcome(reserved.isErr ? reserved.error : undefined, this.#now());
    return reserved.mapErr((why) => this.#refuse(account, amount, why, endsAt));
  }

  async #holdOrFetch(
    sources: readonly TokenSource[],
    account: AccountId,
    amount: Tokens,
    signal: AbortSignal,
  ): Promise<Result<PrepaidReservation, TokenRefusalReason>> {
    const held = this.#reserveHeld(account, amount);
    if (held) return Result.ok(held);
    const why = await this.#fetch(sources, account, amount, signal);
    const fetched = this.#reserveHeld(account, amount);
    return fetched ? Result.ok(fetched) : Result.err(why);
  }

  /** Ends a reservation with the number of used tokens. */
  settle(reservation: PrepaidReservation, used: Tokens): void {
    const sources: TokenSource[] = [this.#store, ...this.#lenders.all];
    sources.find((source) => source.settle(reservation, used));
  }

  /** Lends to another instance. An instance that is asked for a loan stands in for unreachable lenders. */
  async lend(request: LoanRequest): Promise<LoanAnswer> {
    if (this.#isNeededAsLender(request)) {
      this.#actingLenderUntil = this.#now() + ACTING_LENDER_MS;
    }
    if (!this.#isLender) this.#updateRole();
    return this.#loanRequests.lend(request, this.#store);
  }

  /**
   * Whether a borrower needs this instance to hold tokens. An instance begins to do so only for requests that wait,
   * because each instance that does adds a writer to the stored page.
   */
  #isNeededAsLender({ report, urgent }: LoanRequest): boolean {
    if (Object.keys(urgent).length > 0) return true;
    const isActing = this.#now() < this.#actingLenderUntil;
    return isActing && Object.values(report.entries).some(({ wants }) => wants > 0);
  }

  /** Writes a report for another instance of the group. */
  writeFor(forwarded: ForwardedReport): Promise<Result<PrepaidReportOutcome, string>> {
    return this.#store.writeFor(forwarded);
  }

  async #forward(
    calls: LoanCalls,
    name: string,
    forwarded: ForwardedReport,
  ): Promise<PrepaidReportOutcome | undefined> {
    const writer = this.#instances?.all.find((instance) => instance.name === name);
    if (!writer) return undefined;
    const outcome = await calls.write(writer, forwarded);
    return outcome.unwrapOr(undefined);
  }

  #dropLostBorrowers(): void {
    const lost = this.#loanRequests.dropLostBorrowers();
    if (lost.length === 0) return;
    this.#context.background.run(this.name, () => this.#instances?.remove(lost));
  }

  /** Reserves tokens that this instance already holds, from any source. */
  #reserveHeld(account: AccountId, amount: Tokens): PrepaidReservation | undefined {
    const holding: TokenSource[] = [...this.#lenders.all, this.#store];
    const [first] = this.#sources(account);
    const source = holding.find((other) => other.free(account) >= amount) ?? first;
    return source?.reserve(account, amount);
  }

  /** Asks the sources in order until one supplies the tokens or answers without them. */
  async #fetch(
    sources: readonly TokenSource[],
    account: AccountId,
    amount: Tokens,
    signal: AbortSignal,
  ): Promise<TokenRefusalReason> {
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
  ): Promise<TokenRefusalReason> {
    for (const source of sources) {
      const outlook = source.fetchOutlook(account, amount);
      if (outlook === 'away') continue;
      if (outlook !== 'may-help') return outlook;
      await source.fetch(account, amount, signal);
      if (!source.isUnreachable) return 'not-had';
      if (signal.aborted) return 'away';
    }
    return 'away';
  }

  /** The sources to ask for tokens of an account, in this order. */
  #sources(account: AccountId): TokenSource[] {
    return this.#isLender ? [this.#store] : this.#lenders.inOrder(account);
  }

  /** Decides from the instance list whether this instance holds tokens from the store or borrows. */
  #updateRole(): void {
    const all = this.#instances?.all ?? [];
    if (all.length === 0 || this.#stopping || !this.#limits) return;
    if (!this.#instances?.isSettled) return;
    const { instance, dataCentre, listen } = this.#context.settings;
    const lenders = chooseLenders(all, dataCentre);
    const isListed = lenders.length === 0 || lenders.some(({ name }) => name === instance);
    this.#isLender = isListed || !listen.mesh || this.#now() < this.#actingLenderUntil;
    if (this.#isLender) {
      this.#lenders.release();
      this.#store.hold();
    } else {
      this.#lenders.use(lenders, rankLenders(all, dataCentre));
      this.#store.retire();
    }
  }

  #createHolder(
    options: Omit<PrepaidHolderOptions, 'instance' | 'maxReportIntervalMs' | 'requestWaitMs'>,
  ): PrepaidHolder {
    const { instance, prepaid } = this.#context.settings;
    const maxReportIntervalMs = prepaid.silentMs / REPORTS_WITHIN_SILENCE;
    const requestWaitMs = FETCH_WAIT_MS;
    return new PrepaidHolder({ ...options, instance, maxReportIntervalMs, requestWaitMs });
  }

  /** Starts to hold tokens at the first limits, and reports soon after limits have changed. */
  #applyLimits(limits: PrepaidLimits): void {
    const before = this.#limits;
    this.#limits = limits;
    if (!before) this.#updateRole();
    else if (!isDeepStrictEqual(before, limits)) this.#store.reportSoon();
  }

  #refuse(account: AccountId, amount: Tokens, why: TokenRefusalReason, endsAt?: number): Refusal {
    const [source = this.#store] = this.#sources(account);
    const limit = this.#limit(account);
    const isLimitFresh = this.#configuration?.isFresh(this.#now()) ?? false;
    return this.#refusals.refuse({ account, amount, why, source, limit, isLimitFresh, endsAt });
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
