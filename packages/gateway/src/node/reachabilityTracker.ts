/** Tracks whether another party answers this instance, and logs each change. */

import type { EventFields, EventName } from '@flamingocourse/kernel';
import type { GatewayContext } from '../types/context.js';

/** Log events for the two changes. */
export interface ReachabilityEvents {
  lost: EventName;
  regained: EventName;
}

/**
 * Tracks whether one party answers.
 *
 * @example
 * const events = { lost: 'lender-lost', regained: 'lender-regained' } as const;
 * const reachability = new ReachabilityTracker(context, events, { lender: 'edge-3' });
 * if (answer.isErr) reachability.recordFailure(answer.error);
 */
export class ReachabilityTracker {
  readonly #context: GatewayContext;
  readonly #events: ReachabilityEvents;
  readonly #fields: EventFields;
  #unreachableSince: number | undefined;
  #answeredAt = -Infinity;

  /** @param fields fields of each log line, such as the name of the party. */
  constructor(context: GatewayContext, events: ReachabilityEvents, fields: EventFields) {
    this.#context = context;
    this.#events = events;
    this.#fields = fields;
  }

  /** Whether the last call to the party failed. */
  get isUnreachable(): boolean {
    return this.#unreachableSince !== undefined;
  }

  /** Milliseconds since the first call that failed after the last answer; 0 if the last call did not fail. */
  unreachableMs(now: number): number {
    return this.#unreachableSince === undefined ? 0 : now - this.#unreachableSince;
  }

  /** Milliseconds since the last answer; infinite before the first one. */
  ageMs(now: number): number {
    return now - this.#answeredAt;
  }

  /**
   * Records an answer; logs `regained` if the party was lost.
   *
   * @param ageMs milliseconds since the party answered, if a peer passed the answer on.
   */
  recordAnswer(fields: EventFields = {}, ageMs = 0): void {
    const now = this.#context.clock.now();
    const silentMs = this.#silentMs(now);
    this.#answeredAt = Math.max(this.#answeredAt, now - ageMs);
    if (this.#unreachableSince === undefined) return;
    const lostMs = Math.round(now - this.#unreachableSince);
    this.#unreachableSince = undefined;
    this.#context.log.write(this.#events.regained, {
      ...this.#fields,
      silentMs,
      lostMs,
      ...fields,
    });
  }

  /** Records a missing or unusable answer; logs `lost` if the party was not lost yet. */
  recordFailure(reason: string, fields: EventFields = {}): void {
    if (this.#unreachableSince !== undefined) return;
    const now = this.#context.clock.now();
    this.#unreachableSince = now;
    const silentMs = this.#silentMs(now);
    this.#context.log.write(this.#events.lost, { ...this.#fields, reason, silentMs, ...fields });
  }

  /** Milliseconds since the last answer, for the log; undefined before the first one. */
  #silentMs(now: number): number | undefined {
    const ageMs = this.ageMs(now);
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
  }
}
