/** Tokens that one lender of the same data centre has lent to this instance. */

import type {
  AccountId,
  EpochMs,
  FleetInstance,
  IncarnationId,
  LoanAccount,
  LoanAnswer,
  PrepaidAccountView,
  PrepaidHolder,
  PrepaidReport,
  PrepaidReservation,
  PrepaidView,
  Tokens,
} from '@flamingocourse/core';
import type { GatewayContext } from '../types/context.js';
import type { LoanCalls } from '../types/loans.js';
import type { FetchOutlook, SourceView } from '../types/tokenSource.js';
import { entryOf, setEntry } from '@flamingocourse/core';
import { aborted } from '@flamingocourse/kernel';
import { withReportJitter } from '../runtime/reportPeriod.js';
import { TokenSource } from '../types/tokenSource.js';
import { ReachabilityTracker } from './reachabilityTracker.js';

/** Milliseconds for which an answer with too few tokens is trusted; the lender is not asked again meanwhile. */
const SHORTAGE_TRUST_MS = 250;
/**
 * Milliseconds without an answer after the first failed call, after which another instance is asked to lend. A
 * lender that is only slow for a moment answers sooner.
 */
const LOST_AFTER_MS = 400;
/** First and longest delay in milliseconds before an unresponsive lender is retried. */
const FIRST_RETRY_MS = 200;
const MAX_RETRY_MS = 1_600;

const LENDER_EVENTS = { lost: 'lender-lost', regained: 'lender-regained' } as const;

/** Service that the loans belong to, for the log. */
const OWNER = 'prepaid';
const NOTHING_KNOWN: PrepaidAccountView = { remaining: 0, othersRate: 0 };

/** Options of {@link LoanTokens}. */
export interface LoanTokensOptions {
  context: GatewayContext;
  lender: FleetInstance;
  calls: LoanCalls;
  /** Creates a holder for the loans of one lender process. */
  createHolder: (generation: string) => PrepaidHolder;
  /** Whether this lender is the one to ask for tokens of an account. */
  isPreferredFor: (account: AccountId) => boolean;
  /** Called when the lender does not answer or is stopping. */
  onUnavailable: () => void;
  /** Called when the lender answers again. */
  onReachable: () => void;
}

/** The lender's last statement about an account. */
interface KnownAccount extends LoanAccount {
  receivedAt: EpochMs;
}

/**
 * Loans of one lender. Each report contains the spent tokens, returns unneeded tokens and asks for more. The
 * lender's answer says which tokens this instance holds from then on.
 *
 * @example
 * await tokens.fetch('club-7', 9_500, signal);
 * const reservation = tokens.reserve('club-7', 9_500);
 */
export class LoanTokens extends TokenSource {
  readonly #options: LoanTokensOptions;
  readonly #reachability: ReachabilityTracker;
  readonly #accounts = new Map<AccountId, KnownAccount>();
  #holder: PrepaidHolder;
  /** Loans that an earlier process of the lender made. They are charged to the budget, so they can be spent. */
  #forgottenLoans: PrepaidHolder[] = [];
  #generation = 1;
  #lenderIncarnation: IncarnationId | undefined;
  #instances = 1;
  #fetchers = 1;
  #isStopping = false;
  #running: Promise<void> | undefined;
  #timer: NodeJS.Timeout | undefined;
  #failures = 0;
  #stopped = false;

  constructor(options: LoanTokensOptions) {
    super();
    this.#options = options;
    const { context, lender, createHolder } = options;
    this.#reachability = new ReachabilityTracker(context, LENDER_EVENTS, { lender: lender.name });
    this.#holder = createHolder('1');
  }

  override get name(): string {
    return this.#options.lender.name;
  }

  /** Address of the lender at the time of these loans. */
  get url(): string | undefined {
    return this.#options.lender.meshUrl;
  }

  override get isUnreachable(): boolean {
    return this.#reachability.isUnreachable;
  }

  /** Whether the lender has been unreachable for so long that another one should be asked. */
  get isLost(): boolean {
    return this.#reachability.unreachableMs(this.#now()) >= LOST_AFTER_MS;
  }

  /** Whether the lender announced that it is stopping. */
  get isStopping(): boolean {
    return this.#isStopping;
  }

  /** Whether nothing is held and nothing remains to be reported. */
  get isEmpty(): boolean {
    const { hasTokens, hasUnreported } = this.#holder;
    return !hasTokens && !hasUnreported && this.#forgottenLoans.length === 0;
  }

  /** Starts to report at regular intervals. */
  start(): void {
    this.#syncIn(0);
  }

  /** Returns all tokens. Tokens whose return does not reach the lender stay charged. */
  async stop(): Promise<void> {
    this.#stopped = true;
    clearTimeout(this.#timer);
    await this.#running;
    if (!this.#reachability.isUnreachable) await this.#exchange(true);
  }

  override observe(account: AccountId, amount: Tokens, now: EpochMs): void {
    this.#holder.observe(account, amount, now);
  }

  override reserve(account: AccountId, amount: Tokens): PrepaidReservation | undefined {
    for (const holder of this.#forgottenLoans) {
      if (holder.free(account) >= amount) return holder.reserve(account, amount);
    }
    return this.#holder.reserve(account, amount);
  }

  override settle(reservation: PrepaidReservation, used: Tokens): boolean {
    const holders = [this.#holder, ...this.#forgottenLoans];
    const holder = holders.find(({ incarnation }) => incarnation === reservation.incarnation);
    holder?.settle(reservation, used);
    this.#forgottenLoans = this.#forgottenLoans.filter(({ hasTokens }) => hasTokens);
    return holder !== undefined;
  }

  override free(account: AccountId): Tokens {
    const holders = [this.#holder, ...this.#forgottenLoans];
    return Math.max(...holders.map((holder) => holder.free(account)));
  }

  override held(account: AccountId): Tokens {
    return this.#holder.held(account);
  }

  override fetchOutlook(account: AccountId, amount: Tokens): FetchOutlook {
    if (this.isUnreachable) return 'away';
    const known = this.#accounts.get(account);
    if (!known || this.#now() - known.receivedAt > SHORTAGE_TRUST_MS) return 'may-help';
    return this.free(account) + known.available < amount ? 'short' : 'may-help';
  }

  override async fetch(account: AccountId, amount: Tokens, signal: AbortSignal): Promise<void> {
    const holder = this.#holder;
    holder.beginWait(account, amount);
    // a running exchange has not asked for these tokens yet, so another one follows it.
    const exchange = (this.#running ?? Promise.resolve()).then(() => this.#sync());
    await Promise.race([exchange, aborted(signal)]).finally(() => {
      holder.endWait(account, amount);
    });
  }

  override view(account: AccountId, limit: Tokens, now: EpochMs): SourceView {
    const known = this.#accounts.get(account);
    if (!known)
      return { available: undefined, left: undefined, ageMs: Infinity, inDoubt: undefined };
    return {
      available: known.available,
      left: limit - known.gone - this.#holder.unreported(account),
      ageMs: now - known.receivedAt,
      inDoubt: undefined,
    };
  }

  #syncIn(ms: number): void {
    clearTimeout(this.#timer);
    if (this.#stopped) return;
    this.#timer = this.#options.context.background.after(ms, OWNER, () => {
      return this.#sync().finally(() => {
        this.#syncIn(this.#pauseMs);
      });
    });
  }

  get #pauseMs(): number {
    const { random, settings } = this.#options.context;
    if (!this.isUnreachable) return withReportJitter(settings.prepaid.reportMs, random);
    const retryMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** (this.#failures - 1));
    return withReportJitter(retryMs, random);
  }

  #sync(): Promise<void> {
    this.#running ??= this.#exchange(false)
      // requests that wait for tokens are refused as if the lender had none.
      .catch((err: unknown) => {
        this.#options.context.background.report(err, OWNER);
      })
      .finally(() => {
        this.#running = undefined;
      });
    return this.#running;
  }

  async #exchange(last: boolean): Promise<void> {
    const { calls, lender } = this.#options;
    const holder = this.#holder;
    const startedAt = this.#now();
    const report = holder.buildReport(this.#view(), startedAt, last);
    if (!report) return;
    const answer = await calls.ask(lender, {
      lender: this.#lenderIncarnation,
      report,
      urgent: urgentOf(holder, report),
      typicalRequest: holder.typicalRequest,
      interest: holder.accounts,
    });
    // the report stays pending and is sent again unchanged, because the lender may have received it.
    if (answer.isErr) {
      this.#fail(answer.error, report);
      return;
    }
    holder.recordExchange(this.#now() - startedAt);
    this.#applyAnswer(answer.value, report);
  }

  #view(): PrepaidView {
    const { isPreferredFor: isAskedFor } = this.#options;
    const accounts = new Map<AccountId, PrepaidAccountView>();
    for (const account of new Set([...this.#holder.accounts, ...this.#accounts.keys()])) {
      const isWanted = !this.#isStopping && isAskedFor(account);
      accounts.set(account, (isWanted ? this.#accounts.get(account) : undefined) ?? NOTHING_KNOWN);
    }
    const isRegistered = this.#lenderIncarnation !== undefined;
    return { isRegistered, instances: this.#instances, fetchers: this.#fetchers, accounts };
  }

  #applyAnswer(answer: LoanAnswer, report: PrepaidReport): void {
    this.#failures = 0;
    const wasLost = this.#reachability.isUnreachable;
    this.#reachability.recordAnswer();
    if (wasLost) this.#options.onReachable();
    if (answer.type === 'forgotten') {
      this.#renew(answer.lender);
      return;
    }
    const now = this.#now();
    this.#holder.confirmHeld((account) => entryOf(answer.accounts, account)?.held);
    for (const [account, known] of Object.entries(answer.accounts)) {
      this.#accounts.set(account, { ...known, receivedAt: now });
    }
    this.#lenderIncarnation = answer.lender;
    this.#instances = answer.instances;
    this.#fetchers = answer.fetchers;
    if (answer.isStopping && !this.#isStopping) this.#returnLoans();
    this.#options.context.log.write('prepaid-borrowed', {
      lender: this.name,
      seq: report.seq,
      accounts: Object.keys(report.entries).length,
      held: this.#holder.totalHeld,
    });
  }

  /** Starts again with an empty holder, because the lender's process does not know the loans. */
  #renew(lenderIncarnation: IncarnationId): void {
    const { context, createHolder } = this.#options;
    const { totalHeld } = this.#holder;
    context.log.write('prepaid-loans-forgotten', {
      lender: this.name,
      life: lenderIncarnation,
      held: totalHeld,
    });
    if (this.#holder.hasTokens) this.#forgottenLoans.push(this.#holder);
    this.#generation += 1;
    this.#holder = createHolder(String(this.#generation));
    this.#lenderIncarnation = undefined;
    this.#accounts.clear();
    this.#isStopping = false;
  }

  /** The lender is stopping: returns its loans while it can still receive them. */
  #returnLoans(): void {
    this.#isStopping = true;
    this.#syncIn(0);
    this.#options.onUnavailable();
  }

  #fail(reason: string, { seq }: PrepaidReport): void {
    this.#failures += 1;
    this.#reachability.recordFailure(reason, { seq });
    this.#options.onUnavailable();
  }

  #now(): number {
    return this.#options.context.clock.now();
  }
}

function urgentOf(holder: PrepaidHolder, { entries }: PrepaidReport): Record<AccountId, Tokens> {
  const urgent: Record<AccountId, Tokens> = {};
  for (const [account, { wants }] of Object.entries(entries)) {
    const awaited = Math.min(wants, holder.awaited(account));
    if (awaited > 0) setEntry(urgent, account, awaited);
  }
  return urgent;
}
