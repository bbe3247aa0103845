/** What this instance knows of its contact with another party, with a line for each change. */

import type { EventFields, EventName } from '@flamingocourse/kernel';
import type { GatewayContext } from '../types/context.js';

/** Events that tell of a contact. */
export interface ContactEvents {
  lost: EventName;
  regained: EventName;
}

/**
 * Contact with one party.
 *
 * @example
 * const events = { lost: 'lender-lost', regained: 'lender-regained' } as const;
 * const contact = new Contact(context, events, { lender: 'edge-3' });
 * if (answer.isErr) contact.lose(answer.error);
 */
export class Contact {
  readonly #context: GatewayContext;
  readonly #events: ContactEvents;
  readonly #fields: EventFields;
  #lostAt: number | undefined;
  #heardAt = -Infinity;

  /** @param fields of each line, such as the name of the party. */
  constructor(context: GatewayContext, events: ContactEvents, fields: EventFields) {
    this.#context = context;
    this.#events = events;
    this.#fields = fields;
  }

  /** Whether the last word was that the party does not answer. */
  get isLost(): boolean {
    return this.#lostAt !== undefined;
  }

  /** Milliseconds since it was last heard; infinite before the first word. */
  ageMs(now: number): number {
    return now - this.#heardAt;
  }

  /** It answered. */
  heard(fields: EventFields = {}): void {
    const now = this.#context.clock.now();
    const silentMs = this.#silentMs(now);
    this.#heardAt = now;
    if (this.#lostAt === undefined) return;
    const lostMs = Math.round(now - this.#lostAt);
    this.#lostAt = undefined;
    this.#context.log.write(this.#events.regained, {
      ...this.#fields,
      silentMs,
      lostMs,
      ...fields,
    });
  }

  /** It did not answer, or not usefully. */
  lose(reason: string, fields: EventFields = {}): void {
    if (this.#lostAt !== undefined) return;
    const now = this.#context.clock.now();
    this.#lostAt = now;
    const silentMs = this.#silentMs(now);
    this.#context.log.write(this.#events.lost, { ...this.#fields, reason, silentMs, ...fields });
  }

  /** For the log; undefined before the first word. */
  #silentMs(now: number): number | undefined {
    const ageMs = this.ageMs(now);
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
  }
}
