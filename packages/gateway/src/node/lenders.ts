/** The instances that lend tokens to this instance. */

import type { AccountId, FleetInstance, PrepaidHolder } from '@flamingocourse/core';
import type { GatewayContext } from '../types/context.js';
import type { LoanCalls } from '../types/loans.js';
import { orderLenders } from '@flamingocourse/core';
import { LoanTokens } from './loanTokens.js';

/** Number of lenders that an instance tries in turn before it considers itself cut off. */
const MAX_LENDERS = 4;

/** Options of {@link Lenders}. */
export interface LendersOptions {
  context: GatewayContext;
  calls: LoanCalls;
  /** Creates a holder for the loans of one lender process. */
  createHolder: (name: string) => PrepaidHolder;
  /** Called when a lender does not answer or is stopping. */
  onUnavailable: () => void;
  /** Called when a lender answers again. */
  onReachable: () => void;
}

/**
 * Lenders in use, and former lenders whose tokens are still held.
 *
 * @example
 * lenders.use(chooseLenders(all, dataCentre), rankLenders(all, dataCentre));
 * const [first] = lenders.inOrder('club-7');
 */
export class Lenders {
  readonly #options: LendersOptions;
  /** Loans by the name of the lender. */
  readonly #loans = new Map<string, LoanTokens>();
  #inUse: FleetInstance[] = [];

  constructor(options: LendersOptions) {
    this.#options = options;
  }

  /** The loans of all lenders, including lenders no longer in use. */
  get all(): LoanTokens[] {
    return [...this.#loans.values()];
  }

  /** Whether none of the lenders in use answers. */
  get areUnreachable(): boolean {
    return this.#inUse.every(({ name }) => this.#loans.get(name)?.isUnreachable ?? true);
  }

  /** The lenders to ask for tokens of an account, in this order. */
  inOrder(account: AccountId): LoanTokens[] {
    return orderLenders(this.#inUse, account).flatMap(({ name }) => this.#loans.get(name) ?? []);
  }

  /**
   * Borrows from the listed lenders. While all of them are lost, also borrows from the next instance in the
   * ranking.
   *
   * @param ranked all instances that could be lenders, the most preferred first.
   */
  use(listed: readonly FleetInstance[], ranked: readonly FleetInstance[]): void {
    const { instance } = this.#options.context.settings;
    const others = ranked.filter(({ name }) => name !== instance).slice(0, MAX_LENDERS);
    const staying = listed.filter(({ name }) => !this.#loans.get(name)?.isStopping);
    const isAnyLeft = staying.some(({ name }) => !this.#loans.get(name)?.isLost);
    const next = isAnyLeft ? undefined : others.find((other) => this.#mayAnswer(other));
    this.#inUse = next ? [...staying, next] : staying;
    for (const lender of this.#inUse) this.#startLoans(lender);
    this.#dropEmpty();
  }

  /** Stops borrowing. Tokens that are still held are spent or returned. */
  release(): void {
    this.#inUse = [];
    this.#dropEmpty();
  }

  /** Returns all tokens. */
  async stop(): Promise<void> {
    await Promise.all(this.all.map((loans) => loans.stop()));
  }

  #mayAnswer({ name }: FleetInstance): boolean {
    const loans = this.#loans.get(name);
    return !loans || (!loans.isUnreachable && !loans.isStopping);
  }

  #startLoans(lender: FleetInstance): void {
    const known = this.#loans.get(lender.name);
    if (known?.url === lender.meshUrl) return;
    // the address changed, so this is another process that does not know these loans. The lender's side
    // charges them to the budget after a while.
    if (known) this.#stopLoans(known);
    const {
      context,
      calls,
      createHolder,
      onUnavailable: onLost,
      onReachable: onRegained,
    } = this.#options;
    const loans = new LoanTokens({
      context,
      lender,
      calls,
      createHolder: (generation) => createHolder(`${lender.name}-${generation}`),
      isPreferredFor: (account) => this.#isPreferredFor(lender, account),
      onUnavailable: onLost,
      onReachable: onRegained,
    });
    this.#loans.set(lender.name, loans);
    loans.start();
  }

  /** Whether a lender is the one to ask for tokens of an account. */
  #isPreferredFor({ name }: FleetInstance, account: AccountId): boolean {
    const inOrder = this.inOrder(account);
    const first = inOrder.find(({ isUnreachable: isLost }) => !isLost) ?? inOrder[0];
    return first?.name === name;
  }

  #dropEmpty(): void {
    for (const [name, loans] of this.#loans) {
      const isUsed = this.#inUse.some((lender) => lender.name === name);
      if (isUsed || !loans.isEmpty) continue;
      this.#loans.delete(name);
      this.#stopLoans(loans);
    }
  }

  #stopLoans(loans: LoanTokens): void {
    this.#options.context.background.run('prepaid', () => loans.stop());
  }
}
