/** Source of the present time, so that tests and measurements can supply their own. */

/** A clock in milliseconds since the epoch. */
export abstract class Clock {
  abstract now(): number;
}

/** The machine's clock. */
export class SystemClock extends Clock {
  override now(): number {
    return Date.now();
  }
}

/**
 * Milliseconds since the process started, unmoved by changes of the time of day. For processes whose
 * every use of time is a duration.
 */
export class MonotonicClock extends Clock {
  override now(): number {
    return performance.now();
  }
}

/** A clock that moves only when told to. */
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
