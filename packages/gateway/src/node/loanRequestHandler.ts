/** Lends tokens of this instance to the other instances of its data centre. */

import type {
  AccountId,
  LoanAccount,
  LoanAnswer,
  LoanRequest,
  PrepaidHolder,
  PrepaidView,
  Tokens,
} from '@flamingocourse/core';
import type { GatewayContext } from '../types/context.js';
import type { StoreTokens } from './storeTokens.js';
import { LoanBook, demandSpread, setEntry } from '@flamingocourse/core';
import { startTimeLimit } from '@flamingocourse/kernel';

/** Milliseconds that a borrower waits while tokens are fetched for it; its call has its own timeout. */
const LEND_WAIT_MS = 180;
/**
 * Average number of requests of an account that each instance expects during `rideThroughSeconds`. Above
 * this number, an instance holds tokens for the account before its first request.
 */
const MIN_EXPECTED_REQUESTS = 0.1;

/** Options of {@link LoanRequestHandler}. */
export interface LoanRequestHandlerOptions {
  context: GatewayContext;
  holder: PrepaidHolder;
  /** Limit of an account in the active configuration; infinite if it has none. */
  limitOf: (account: AccountId) => Tokens;
}

/**
 * Answers the loan requests of borrowers.
 *
 * @example
 * const handler = new LoanRequestHandler({ context, holder, limitOf });
 * const answer = await handler.lend(request, tokens);
 */
export class LoanRequestHandler {
  readonly book: LoanBook;
  readonly #options: LoanRequestHandlerOptions;

  constructor(options: LoanRequestHandlerOptions) {
    this.#options = options;
    this.book = new LoanBook(options.holder);
  }

  /**
   * Lends free tokens, and fetches more from the store if requests at the borrower wait for them.
   *
   * @param tokens the tokens of this instance.
   */
  async lend(request: LoanRequest, tokens: StoreTokens): Promise<LoanAnswer> {
    const { report, urgent, lender } = request;
    const { incarnation: lenderIncarnation } = this.book;
    if (lender !== undefined && lender !== lenderIncarnation)
      return { type: 'forgotten', lender: lenderIncarnation };
    const outcome = this.book.applyReport(report, urgent, this.#now());
    this.#logChargedLoans();
    if (outcome === 'forgotten') return { type: 'forgotten', lender: lenderIncarnation };
    if (request.typicalRequest > 0) this.#options.holder.observeSize(request.typicalRequest);
    const shortfalls = this.book.shortfalls(report, urgent);
    await fetchShortfalls(shortfalls, tokens);
    if (this.book.incarnation !== lenderIncarnation)
      return { type: 'forgotten', lender: this.book.incarnation };
    this.book.lendShortfalls(report, shortfalls);
    return this.#answer(request, lenderIncarnation, tokens);
  }

  /**
   * Drops borrowers that have not reported for `silentMs` and charges their loans. Returns their names.
   */
  dropLostBorrowers(): string[] {
    const { silentMs } = this.#options.context.settings.prepaid;
    const lost = this.book.chargeSilentBorrowers(silentMs, this.#now());
    this.#logChargedLoans();
    return lost;
  }

  #answer({ report, interest }: LoanRequest, lender: string, tokens: StoreTokens): LoanAnswer {
    const { outlook, isStopping } = tokens;
    const known = [...Object.keys(report.entries), ...interest];
    const names = new Set([...known, ...this.#widelyUsed(outlook)]);
    const accounts: Record<AccountId, LoanAccount> = {};
    for (const name of names) {
      setEntry(accounts, name, this.#accountFor(report.instance, name, outlook, tokens));
    }
    const { instances, fetchers } = outlook;
    return { type: 'lent', lender, instances, fetchers, isStopping, accounts };
  }

  /** Accounts whose requests may arrive at any instance, even if the borrower has had none yet. */
  #widelyUsed({ accounts, instances }: PrepaidView): AccountId[] {
    const { context, holder } = this.#options;
    const { rideThroughSeconds } = context.settings.prepaid;
    const least = MIN_EXPECTED_REQUESTS * holder.typicalRequest * instances;
    const now = this.#now();
    return [...accounts].flatMap(([account, { othersRate }]) => {
      const fleetRate = othersRate + holder.rate(account, now);
      return fleetRate > 0 && fleetRate * rideThroughSeconds >= least ? [account] : [];
    });
  }

  #accountFor(
    borrower: string,
    account: AccountId,
    outlook: PrepaidView,
    tokens: StoreTokens,
  ): LoanAccount {
    const { holder, limitOf } = this.#options;
    const limit = limitOf(account);
    const now = this.#now();
    const { available = 0, left = limit } = tokens.view(account, limit, now);
    const { remaining = 0, othersRate = 0 } = outlook.accounts.get(account) ?? {};
    const { instances } = outlook;
    const fleetRate = othersRate + holder.rate(account, now);
    return {
      held: this.book.held(borrower, account),
      remaining,
      othersRate: Math.max(0, fleetRate - this.book.rate(borrower, account)),
      spread: demandSpread(this.book.demand(account), fleetRate, instances),
      available: holder.free(account) + available,
      gone: Number.isFinite(limit) ? limit - left : 0,
    };
  }

  #logChargedLoans(): void {
    const { log } = this.#options.context;
    for (const lost of this.book.takeChargedLoans())
      log.write('prepaid-loans-charged', { ...lost });
  }

  #now(): number {
    return this.#options.context.clock.now();
  }
}

/** Fetches missing tokens for a borrower if the store may have some, for no longer than the borrower waits. */
async function fetchShortfalls(
  shortfalls: ReadonlyMap<AccountId, Tokens>,
  tokens: StoreTokens,
): Promise<void> {
  const useful = [...shortfalls].filter(([account, amount]) => {
    return tokens.fetchOutlook(account, amount) === 'may-help';
  });
  if (useful.length === 0) return;
  const limit = startTimeLimit(LEND_WAIT_MS);
  await tokens.fetchAll(new Map(useful), limit.signal).finally(() => {
    limit.end();
  });
}
