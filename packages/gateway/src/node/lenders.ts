/** The instances that lend tokens to this one. */

import type { AccountId, FleetInstance, PrepaidHolder } from '@flamingocourse/core';
import type { GatewayContext } from '../types/context.js';
import type { LoanCalls } from '../types/loans.js';
import { orderSpenders } from '@flamingocourse/core';
import { LoanTokens } from './loanTokens.js';

/** Lenders that an instance turns to one after the other before it takes itself as cut off. */
const MOST_LENDERS = 4;

/** What the lenders of an instance are created with. */
export interface LendersOptions {
  context: GatewayContext;
  calls: LoanCalls;
  /** Creates a holder for one life of the loans of a lender. */
  createHolder: (name: string) => PrepaidHolder;
  /** Called when a lender does not answer, or stops. */
  onLost: () => void;
  /** Called when a lender answers again. */
  onRegained: () => void;
}

/**
 * Lenders in use, and those of which something is held still.
 *
 * @example
 * lenders.use(chooseSpenders(all, dataCentre), rankSpenders(all, dataCentre));
 * const [first] = lenders.inOrder('club-7');
 */
export class Lenders {
  readonly #options: LendersOptions;
  /** By name. */
  readonly #loans = new Map<string, LoanTokens>();
  #used: FleetInstance[] = [];

  constructor(options: LendersOptions) {
    this.#options = options;
  }

  /** All of which something may be held. */
  get all(): LoanTokens[] {
    return [...this.#loans.values()];
  }

  /** Whether none of those in use answers. */
  get areLost(): boolean {
    return this.#used.every(({ name }) => this.#loans.get(name)?.isLost ?? true);
  }

  /** Whom to ask for tokens of an account, in this order. */
  inOrder(account: AccountId): LoanTokens[] {
    return orderSpenders(this.#used, account).flatMap(({ name }) => this.#loans.get(name) ?? []);
  }

  /**
   * Borrows from the spenders, and as long as none of them answers from those that follow them.
   *
   * @param ranked all instances that could be spenders, the likeliest first.
   */
  use(spenders: readonly FleetInstance[], ranked: readonly FleetInstance[]): void {
    const { instance } = this.#options.context.settings;
    const others = ranked.filter(({ name }) => name !== instance).slice(0, MOST_LENDERS);
    const staying = spenders.filter(({ name }) => !this.#loans.get(name)?.isStopping);
    const isReached = staying.some(({ name }) => !this.#loans.get(name)?.isLost);
    const next = isReached ? undefined : others.find((other) => this.#mayAnswer(other));
    this.#used = next ? [...staying, next] : staying;
    for (const lender of this.#used) this.#ensure(lender);
    this.#dropEmpty();
  }

  /** Borrows from nobody any more; what is held is spent or given back. */
  release(): void {
    this.#used = [];
    this.#dropEmpty();
  }

  /** Gives everything back. */
  async stop(): Promise<void> {
    await Promise.all(this.all.map((loans) => loans.stop()));
  }

  #mayAnswer({ name }: FleetInstance): boolean {
    const loans = this.#loans.get(name);
    return !loans || (!loans.isLost && !loans.isStopping);
  }

  #ensure(lender: FleetInstance): void {
    const known = this.#loans.get(lender.name);
    if (known?.url === lender.meshUrl) return;
    // it moved: as another process, it does not know these loans; they are charged there in time.
    void known?.stop();
    const { context, calls, createHolder, onLost, onRegained } = this.#options;
    const loans = new LoanTokens({
      context,
      lender,
      calls,
      createHolder: (life) => createHolder(`${lender.name}-${life}`),
      isAskedFor: (account) => this.#isAskedFor(lender, account),
      onLost,
      onRegained,
    });
    this.#loans.set(lender.name, loans);
    loans.start();
  }

  /** Whether a lender is the one that an account's tokens are asked of. */
  #isAskedFor({ name }: FleetInstance, account: AccountId): boolean {
    const inOrder = this.inOrder(account);
    const first = inOrder.find(({ isLost }) => !isLost) ?? inOrder[0];
    return first?.name === name;
  }

  #dropEmpty(): void {
    for (const [name, loans] of this.#loans) {
      const isUsed = this.#used.some((lender) => lender.name === name);
      if (isUsed || !loans.isEmpty) continue;
      this.#loans.delete(name);
      void loans.stop();
    }
  }
}
