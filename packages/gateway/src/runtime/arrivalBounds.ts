/** Since when a request that is read now may have lain unread. */

/**
 * Earliest times at which requests can have arrived. The event loop accepts one connection in each of its turns, and
 * reads each connection once, so a request may have arrived long before it is read.
 *
 * All times are milliseconds of a steady clock.
 *
 * @example
 * bounds.looks(0); // right before the event loop looks for news
 * bounds.looks(40);
 * bounds.accepted();
 * bounds.connectionsFrom; // 0: a connection that came before was accepted before
 */
export class ArrivalBounds {
  #lookedAt: number;
  #readUpTo: number;
  #acceptedUpTo: number;
  #accepting = false;

  constructor(now: number) {
    this.#lookedAt = now;
    this.#readUpTo = now;
    this.#acceptedUpTo = now;
  }

  /** What is read now has arrived after this, if its connection was accepted before. */
  get requestsFrom(): number {
    return this.#readUpTo;
  }

  /** A connection that is accepted now was opened after this. */
  get connectionsFrom(): number {
    return this.#acceptedUpTo;
  }

  /** Whether connections may still wait to be accepted. */
  get isAccepting(): boolean {
    return this.#accepting;
  }

  /** A connection was accepted; others may wait behind it. */
  accepted(): void {
    this.#accepting = true;
  }

  /** The event loop is about to look for news; what had arrived at its last look was read since. */
  looks(now: number): void {
    if (!this.#accepting) this.#acceptedUpTo = this.#lookedAt;
    this.#accepting = false;
    this.#readUpTo = this.#lookedAt;
    this.#lookedAt = now;
  }
}
