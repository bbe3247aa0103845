/** Tickets of this incarnation whose request has not been started. */

/** Maximum number of tickets. The oldest are dropped; requests with them get `outcome-unknown`. */
const MAX_UNUSED = 65_536;

/**
 * Tracks the tickets that may still be started. A ticket that is not in this set was started, or
 * cannot be distinguished from a started one, and must not run.
 */
export class UnusedTickets {
  readonly #numbers = new Set<number>();

  /** Adds a ticket that was just issued, or whose request was refused without running. */
  add(number: number): void {
    this.#numbers.add(number);
    if (this.#numbers.size <= MAX_UNUSED) return;
    const [oldest] = this.#numbers;
    if (oldest !== undefined) this.#numbers.delete(oldest);
  }

  /** Removes a ticket in order to start it; true only for the first call. */
  take(number: number): boolean {
    return this.#numbers.delete(number);
  }

  /** Removes all tickets when the incarnation that issued them ends. */
  clear(): void {
    this.#numbers.clear();
  }
}
