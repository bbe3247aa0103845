/** Reference model: one process that never fails, with one ledger and full knowledge. */

import type { Tokens } from '@flamingocourse/core';
import type { FleetEvent, Outcome } from './types.js';
import { WORST_CASE, costOf } from './types.js';

/**
 * Answers each key once and bills it immediately.
 *
 * @example
 * new NaiveFleet(100).handle({ type: 'request', router: 0, key: 3, crashPoint: 'none' }); // 'answered'
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

  /** Handles one event; faults have no effect. */
  handle(event: FleetEvent): Outcome | undefined {
    if (event.type === 'top-up') this.#limit += event.amount;
    if (event.type !== 'request') return undefined;
    if (this.billed.has(event.key)) return 'answered';
    if (this.#limit - this.spent < WORST_CASE) return 'not-run';
    this.billed.set(event.key, costOf(event.key));
    return 'answered';
  }
}
