/** Tokens that one lender of this data centre has lent to this instance. */

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
import { aborted } from '@flamingocourse/kernel';
import { withReportJitter } from '../runtime/reportPeriod.js';
import { TokenSource } from '../types/tokenSource.js';
import { Contact } from './contact.js';

/** Milliseconds for which a lender that had too few tokens is not asked for as many again. */
const SHORT_MS = 250;
/** Milliseconds until a lender that does not answer is tried again, at first and at most. */
const FIRST_RETRY_MS = 200;
const MAX_RETRY_MS = 1_600;

const LENDER_EVENTS = { lost: 'lender-lost', regained: 'lender-regained' } as const;

const NOTHING_KNOWN: PrepaidAccountView = { remaining: 0, othersRate: 0 };

/** What the tokens of a lender are created with. */
export interface LoanTokensOptions {
  context: GatewayContext;
  lender: FleetInstance;
  calls: LoanCalls;
  /** Creates a holder for one life of the loans. */
  createHolder: (life: string) => PrepaidHolder;
  /** Whether this lender is the one that an account's tokens are asked of. */
  isAskedFor: (account: AccountId) => boolean;
  /** Called when the lender does not answer, or stops. */
  onLost: () => void;
  /** Called when the lender answers again. */
  onRegained: () => void;
}

/** What the lender last said of an account. */
interface KnownAccount extends LoanAccount {
  heardAt: EpochMs;
}

/**
 * Loans of one lender. Each report tells it what was spent, gives back what is not needed and asks for
 * more; the lender's answer says what is held from then on.
 *
 * @example
 * await tokens.fetch('club-7', 9_500, signal);
 * const reservation = tokens.reserve('club-7', 9_500);
 */
export class LoanTokens extends TokenSource {
  readonly #options: LoanTokensOptions;
  readonly #contact: Contact;
  readonly #accounts = new Map<AccountId, KnownAccount>();
  #holder: PrepaidHolder;
  /** Loans of earlier lives of the lender: charged there, so they may be spent here. */
  #charged: PrepaidHolder[] = [];
  #lives = 1;
  #life: IncarnationId | undefined;
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
    this.#contact = new Contact(context, LENDER_EVENTS, { lender: lender.name });
    this.#holder = createHolder('1');
  }

  override get name(): string {
    return this.#options.lender.name;
  }

  /** Where the lender was when these loans were made. */
  get url(): string | undefined {
    return this.#options.lender.meshUrl;
  }

  override get isLost(): boolean {
    return this.#contact.isLost;
  }

  /** Whether the lender said that it stops. */
  get isStopping(): boolean {
    return this.#isStopping;
  }

  /** Whether nothing is held and nothing is under way. */
  get isEmpty(): boolean {
    const { hasRights, hasNews } = this.#holder;
    return !hasRights && !hasNews && this.#charged.length === 0;
  }

  /** Begins to report at regular times. */
  start(): void {
    this.#syncIn(0);
  }

  /** Gives everything back; what the lender does not hear of stays charged. */
  async stop(): Promise<void> {
    this.#stopped = true;
    clearTimeout(this.#timer);
    await this.#running;
    if (!this.#contact.isLost) await this.#exchange(true);
  }

  override observe(account: AccountId, amount: Tokens, now: EpochMs): void {
    this.#holder.observe(account, amount, now);
  }

  override reserve(account: AccountId, amount: Tokens): PrepaidReservation | undefined {
    for (const holder of this.#charged) {
      if (holder.free(account) >= amount) return holder.reserve(account, amount);
    }
    return this.#holder.reserve(account, amount);
  }

  override settle(reservation: PrepaidReservation, used: Tokens): boolean {
    const holders = [this.#holder, ...this.#charged];
    const holder = holders.find(({ incarnation }) => incarnation === reservation.incarnation);
    holder?.settle(reservation, used);
    this.#charged = this.#charged.filter(({ hasRights }) => hasRights);
    return holder !== undefined;
  }

  override free(account: AccountId): Tokens {
    const holders = [this.#holder, ...this.#charged];
    return Math.max(...holders.map((holder) => holder.free(account)));
  }

  override held(account: AccountId): Tokens {
    return this.#holder.held(account);
  }

  override fetchOutlook(account: AccountId, amount: Tokens): FetchOutlook {
    if (this.isLost) return 'away';
    const known = this.#accounts.get(account);
    if (!known || this.#now() - known.heardAt > SHORT_MS) return 'may-help';
    return this.free(account) + known.available < amount ? 'short' : 'may-help';
  }

  override async fetch(account: AccountId, amount: Tokens, signal: AbortSignal): Promise<void> {
    const holder = this.#holder;
    holder.beginWait(account, amount);
    // an exchange that is under way did not ask for these tokens yet.
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
      ageMs: now - known.heardAt,
      inDoubt: undefined,
    };
  }

  #syncIn(ms: number): void {
    clearTimeout(this.#timer);
    if (this.#stopped) return;
    this.#timer = setTimeout(() => {
      void this.#sync().finally(() => {
        this.#syncIn(this.#pauseMs);
      });
    }, ms);
  }

  get #pauseMs(): number {
    const { random, settings } = this.#options.context;
    if (!this.isLost) return withReportJitter(settings.prepaid.reportMs, random);
    const retryMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** (this.#failures - 1));
    return withReportJitter(retryMs, random);
  }

  #sync(): Promise<void> {
    this.#running ??= this.#exchange(false).finally(() => {
      this.#running = undefined;
    });
    return this.#running;
  }

  async #exchange(last: boolean): Promise<void> {
    const { calls, lender } = this.#options;
    const holder = this.#holder;
    const report = holder.reportBy(this.#view(), this.#now(), last);
    if (!report) return;
    const answer = await calls.ask(lender, {
      lender: this.#life,
      report,
      urgent: urgentOf(holder, report),
      typicalRequest: holder.typicalRequest,
      interest: holder.accounts,
    });
    // the report stays pending: it may have been taken in, so the same one is sent again.
    if (answer.isErr) this.#fail(answer.error, report);
    else this.#take(answer.value, report);
  }

  #view(): PrepaidView {
    const { isAskedFor } = this.#options;
    const accounts = new Map<AccountId, PrepaidAccountView>();
    for (const account of new Set([...this.#holder.accounts, ...this.#accounts.keys()])) {
      const isWanted = !this.#isStopping && isAskedFor(account);
      accounts.set(account, (isWanted ? this.#accounts.get(account) : undefined) ?? NOTHING_KNOWN);
    }
    const isRegistered = this.#life !== undefined;
    return { isRegistered, instances: this.#instances, fetchers: this.#fetchers, accounts };
  }

  #take(answer: LoanAnswer, report: PrepaidReport): void {
    this.#failures = 0;
    const wasLost = this.#contact.isLost;
    this.#contact.heard();
    if (wasLost) this.#options.onRegained();
    if (answer.type === 'forgotten') {
      this.#renew(answer.lender);
      return;
    }
    const now = this.#now();
    this.#holder.confirmHeld((account) => answer.accounts[account]?.held);
    for (const [account, known] of Object.entries(answer.accounts)) {
      this.#accounts.set(account, { ...known, heardAt: now });
    }
    this.#life = answer.lender;
    this.#instances = answer.instances;
    this.#fetchers = answer.fetchers;
    if (answer.isStopping && !this.#isStopping) this.#leave();
    this.#options.context.log.write('prepaid-borrowed', {
      lender: this.name,
      seq: report.seq,
      accounts: Object.keys(report.entries).length,
      held: this.#holder.heldInAll,
    });
  }

  /** Goes back to the beginning with a lender that does not know the loans. */
  #renew(life: IncarnationId): void {
    const { context, createHolder } = this.#options;
    const { heldInAll } = this.#holder;
    context.log.write('prepaid-loans-forgotten', { lender: this.name, life, held: heldInAll });
    if (this.#holder.hasRights) this.#charged.push(this.#holder);
    this.#lives += 1;
    this.#holder = createHolder(String(this.#lives));
    this.#life = undefined;
    this.#accounts.clear();
    this.#isStopping = false;
  }

  /** The lender stops: what it lent goes back while it can still be taken in. */
  #leave(): void {
    this.#isStopping = true;
    this.#syncIn(0);
    this.#options.onLost();
  }

  #fail(reason: string, { seq }: PrepaidReport): void {
    this.#failures += 1;
    this.#contact.lose(reason, { seq });
    this.#options.onLost();
  }

  #now(): number {
    return this.#options.context.clock.now();
  }
}

function urgentOf(holder: PrepaidHolder, { entries }: PrepaidReport): Record<AccountId, Tokens> {
  const urgent: Record<AccountId, Tokens> = {};
  for (const [account, { wants }] of Object.entries(entries)) {
    const awaited = Math.min(wants, holder.awaited(account));
    if (awaited > 0) urgent[account] = awaited;
  }
  return urgent;
}
