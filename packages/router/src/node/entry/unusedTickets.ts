/** Tickets of this incarnation that name a request which has not been started. */

/** Beyond this the oldest are forgotten; a retry under one of them gets `outcome-unknown`. */
const MAX_UNUSED = 65_536;

/**
 * Remembers which tickets may still be started. A ticket that is not in here was started, or cannot
 * be told from one that was, and must not run.
 */
export class UnusedTickets {
  readonly #numbers = new Set<number>();

  /** Adds a ticket that was issued, or whose request was refused as not run. */
  add(number: number): void {
    this.#numbers.add(number);
    if (this.#numbers.size <= MAX_UNUSED) return;
    const [oldest] = this.#numbers;
    if (oldest !== undefined) this.#numbers.delete(oldest);
  }

  /** Takes a ticket to start it; true for exactly one caller. */
  take(number: number): boolean {
    return this.#numbers.delete(number);
  }

  /** Forgets all; the incarnation that issued them has ended. */
  clear(): void {
    this.#numbers.clear();
  }
}
