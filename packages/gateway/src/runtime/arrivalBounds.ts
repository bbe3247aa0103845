/** Bounds on how long a request was waiting in the socket before it was read. */

/**
 * Earliest times at which requests can have arrived. The event loop accepts one connection per
 * iteration and reads each connection once, so a request may arrive long before it is read.
 *
 * All times are milliseconds of a monotonic clock.
 *
 * @example
 * bounds.beforePoll(0); // right before the event loop polls for I/O
 * bounds.beforePoll(40);
 * bounds.accepted();
 * bounds.connectionsFrom; // 0: a connection opened earlier was accepted earlier
 */
export class ArrivalBounds {
  #polledAt: number;
  #readUpTo: number;
  #acceptedUpTo: number;
  #accepting = false;

  constructor(now: number) {
    this.#polledAt = now;
    this.#readUpTo = now;
    this.#acceptedUpTo = now;
  }

  /** Lower bound of the arrival time of a request read now on a connection accepted earlier. */
  get requestsFrom(): number {
    return this.#readUpTo;
  }

  /** Lower bound of the time at which a connection accepted now was opened. */
  get connectionsFrom(): number {
    return this.#acceptedUpTo;
  }

  /** Whether more connections may be waiting to be accepted. */
  get isAccepting(): boolean {
    return this.#accepting;
  }

  /** Records that a connection was accepted; more may be waiting behind it. */
  accepted(): void {
    this.#accepting = true;
  }

  /** Records that all connections that waited to be accepted were closed. */
  shed(now: number): void {
    this.#accepting = false;
    this.#acceptedUpTo = now;
  }

  /**
   * Records that the event loop is about to poll. All data present at the previous poll has been
   * read.
   */
  beforePoll(now: number): void {
    if (!this.#accepting) this.#acceptedUpTo = this.#polledAt;
    this.#accepting = false;
    this.#readUpTo = this.#polledAt;
    this.#polledAt = now;
  }
}
