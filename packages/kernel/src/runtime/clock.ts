/** Sources of the current time, so that tests and measurements can supply their own. */

/** A clock in milliseconds; {@link MonotonicClock} has another origin than the epoch. */
export abstract class Clock {
  abstract now(): number;
}

/** The system clock, in milliseconds since the epoch. */
export class SystemClock extends Clock {
  override now(): number {
    return Date.now();
  }
}

/**
 * Milliseconds since the process started, not affected by changes of the system clock. For
 * processes that use time only to measure durations.
 */
export class MonotonicClock extends Clock {
  override now(): number {
    return performance.now();
  }
}

/** A clock that advances only through {@link ManualClock.advance}; for tests. */
export class ManualClock extends Clock {
  #now: number;

  constructor(start = 0) {
    super();
    this.#now = start;
  }

  override now(): number {
    return this.#now;
  }

  /** Moves the clock forward by `ms`. */
  advance(ms: number): void {
    this.#now += ms;
  }
}
