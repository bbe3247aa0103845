/** Lends rights of this instance to the other instances of its data centre. */

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
import { LoanBook, demandSpread } from '@flamingocourse/core';
import { startTimeLimit } from '@flamingocourse/kernel';

/** Milliseconds for which a borrower waits while tokens are fetched for it; its call has a limit of its own. */
const LEND_WAIT_MS = 180;
/**
 * Requests of an account that each instance expects in the time that it may be cut off, on average, above
 * which it holds tokens before the first has come.
 */
const LEAST_EXPECTED = 0.1;

/** What a desk lends by. */
export interface LoanDeskOptions {
  context: GatewayContext;
  holder: PrepaidHolder;
  /** Limit of an account by the configuration in force; infinite where it has none. */
  limitOf: (account: AccountId) => Tokens;
}

/**
 * Answers borrowers.
 *
 * @example
 * const desk = new LoanDesk({ context, holder, limitOf });
 * const answer = await desk.lend(request, tokens);
 */
export class LoanDesk {
  readonly book: LoanBook;
  readonly #options: LoanDeskOptions;

  constructor(options: LoanDeskOptions) {
    this.#options = options;
    this.book = new LoanBook(options.holder);
  }

  /**
   * Lends what is free, and what the store has where requests of the borrower wait for it.
   *
   * @param tokens the rights that are lent of.
   */
  async lend(request: LoanRequest, tokens: StoreTokens): Promise<LoanAnswer> {
    const { report, urgent, lender } = request;
    const { life } = this.book;
    if (lender !== undefined && lender !== life) return { type: 'forgotten', lender: life };
    const end = this.book.take(report, urgent, this.#now());
    this.#logLost();
    if (end === 'forgotten') return { type: 'forgotten', lender: life };
    if (request.typicalRequest > 0) this.#options.holder.observeSize(request.typicalRequest);
    const lacking = this.book.lacking(report, urgent);
    await fetchLacking(lacking, tokens);
    if (this.book.life !== life) return { type: 'forgotten', lender: this.book.life };
    this.book.lendLacking(report, lacking);
    return this.#answer(request, life, tokens);
  }

  /** Gives up the loans of borrowers that were silent for so long that they are lost; returns their names. */
  dropLost(): string[] {
    const { silentMs } = this.#options.context.settings.prepaid;
    const lost = this.book.dropSilent(silentMs, this.#now());
    this.#logLost();
    return lost;
  }

  #answer({ report, interest }: LoanRequest, lender: string, tokens: StoreTokens): LoanAnswer {
    const { outlook, isStopping } = tokens;
    const known = [...Object.keys(report.entries), ...interest];
    const names = new Set([...known, ...this.#widelyUsed(outlook)]);
    const accounts: Record<AccountId, LoanAccount> = {};
    for (const name of names) {
      accounts[name] = this.#accountFor(report.instance, name, outlook, tokens);
    }
    const { instances, fetchers } = outlook;
    return { type: 'lent', lender, instances, fetchers, isStopping, accounts };
  }

  /** Accounts that callers may ask any instance for, though they have not come to it yet. */
  #widelyUsed({ accounts, instances }: PrepaidView): AccountId[] {
    const { context, holder } = this.#options;
    const { rideThroughSeconds } = context.settings.prepaid;
    const least = LEAST_EXPECTED * holder.typicalRequest * instances;
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

  #logLost(): void {
    const { log } = this.#options.context;
    for (const lost of this.book.takeLost()) log.write('prepaid-loans-charged', { ...lost });
  }

  #now(): number {
    return this.#options.context.clock.now();
  }
}

/** Fetches what a borrower lacks where that may help, but no longer than it waits. */
async function fetchLacking(
  lacking: ReadonlyMap<AccountId, Tokens>,
  tokens: StoreTokens,
): Promise<void> {
  const useful = [...lacking].filter(([account, amount]) => {
    return tokens.fetchOutlook(account, amount) === 'may-help';
  });
  if (useful.length === 0) return;
  const limit = startTimeLimit(LEND_WAIT_MS);
  await tokens.fetchAll(new Map(useful), limit.signal).finally(() => {
    limit.end();
  });
}
