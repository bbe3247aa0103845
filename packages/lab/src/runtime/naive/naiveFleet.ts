/** The naive version: one process that never fails, one ledger, and knowledge of everything. */

import type { Tokens } from '@flamingocourse/core';
import type { FleetEvent, Outcome } from './types.js';
import { WORST_CASE, costOf } from './types.js';

/**
 * Serves each key once and bills it at once.
 *
 * @example
 * new NaiveFleet(100).handle({ type: 'request', router: 0, key: 3, dies: 'none' }); // 'answered'
 */
export class NaiveFleet {
  readonly billed = new Map<number, Tokens>();
  #limit: Tokens;

  constructor(limit: Tokens) {
    this.#limit = limit;
  }

  /** Tokens of all bills. */
  get spent(): Tokens {
    return [...this.billed.values()].reduce((sum, cost) => sum + cost, 0);
  }

  /** Takes one event; faults do not touch it. */
  handle(event: FleetEvent): Outcome | undefined {
    if (event.type === 'top-up') this.#limit += event.amount;
    if (event.type !== 'request') return undefined;
    if (this.billed.has(event.key)) return 'answered';
    if (this.#limit - this.spent < WORST_CASE) return 'not-run';
    this.billed.set(event.key, costOf(event.key));
    return 'answered';
  }
}
