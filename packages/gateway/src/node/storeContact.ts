/** What one user of the store knows of its contact with it, with a line for each change. */

import type { EventFields } from '@flamingocourse/kernel';
import type { GatewayContext } from '../types/context.js';

/**
 * Contact with the store.
 *
 * @example
 * const contact = new StoreContact(context, 'directory');
 * store.watch(servers, { onEvent, onHeard: () => contact.heard(), onBreak: (reason) => contact.lose(reason) });
 */
export class StoreContact {
  readonly #context: GatewayContext;
  readonly #user: string;
  #lostAt: number | undefined;
  #heardAt = -Infinity;

  /** @param user the service that uses the store, for the log. */
  constructor(context: GatewayContext, user: string) {
    this.#context = context;
    this.#user = user;
  }

  /** Whether the last word was that the store is away. */
  get isLost(): boolean {
    return this.#lostAt !== undefined;
  }

  /** Milliseconds since the store was last heard; infinite before the first word. */
  ageMs(now: number): number {
    return now - this.#heardAt;
  }

  /** The store answered. */
  heard(fields: EventFields = {}): void {
    const now = this.#context.clock.now();
    const silentMs = this.#silentMs(now);
    this.#heardAt = now;
    if (this.#lostAt === undefined) return;
    const lostMs = Math.round(now - this.#lostAt);
    this.#lostAt = undefined;
    this.#context.log.write('store-regained', { watch: this.#user, silentMs, lostMs, ...fields });
  }

  /** The store did not answer, or not usefully. */
  lose(reason: string, fields: EventFields = {}): void {
    if (this.#lostAt !== undefined) return;
    const now = this.#context.clock.now();
    this.#lostAt = now;
    const silentMs = this.#silentMs(now);
    this.#context.log.write('store-lost', { watch: this.#user, reason, silentMs, ...fields });
  }

  /** For the log; undefined before the first word. */
  #silentMs(now: number): number | undefined {
    const ageMs = this.ageMs(now);
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
  }
}
