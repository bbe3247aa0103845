/**
 * This instance's share of the retries that the whole fleet may send to a service. Each instance
 * stays within its own share, so the fleet's limit holds even while instances are partitioned. An
 * instance that does not know how many share the slack retries within a part of its own requests.
 */

/** Retry limits of the whole fleet. */
export interface RetryBounds {
  /** Retries, as a fraction of the requests in the window. */
  ratio: number;
  /** Additional retries in a window, for the whole fleet. */
  slack: number;
  /** Length of the sliding window, in milliseconds. */
  windowMs: number;
}

/** Options of a retry allowance. */
export interface RetryAllowanceOptions extends RetryBounds {
  /** Parts into which the slack is divided; undefined if this instance has none. */
  divisor: (now: number) => number | undefined;
}

/**
 * Fraction of the limit that is used. The window of an instance and the window in which the whole
 * fleet is measured start and end at different times.
 */
const SAFETY_FACTOR = 0.8;

/**
 * Counts requests and retries in a sliding window.
 *
 * @example
 * allowance.request(now);
 * if (allowance.take(now)) sendAgain();
 */
export class RetryAllowance {
  #bounds: RetryBounds;
  readonly #divisor: RetryAllowanceOptions['divisor'];
  readonly #requests: number[] = [];
  readonly #taken: number[] = [];

  constructor(options: RetryAllowanceOptions) {
    this.#bounds = options;
    this.#divisor = options.divisor;
  }

  setBounds(bounds: RetryBounds): void {
    this.#bounds = bounds;
  }

  /** Number of timestamps in memory. Bounded by the window, even if no retry is ever requested. */
  get timestampCount(): number {
    return this.#requests.length + this.#taken.length;
  }

  /** Counts a request to the service. */
  request(now: number): void {
    this.#dropExpired(now);
    this.#requests.push(now);
  }

  /** Takes one retry from the allowance. Returns false if none is left in the window. */
  take(now: number): boolean {
    this.#dropExpired(now);
    if (this.#taken.length >= this.#maxRetries(now)) return false;
    this.#taken.push(now);
    return true;
  }

  #dropExpired(now: number): void {
    const from = now - this.#bounds.windowMs;
    dropUntil(this.#requests, from);
    dropUntil(this.#taken, from);
  }

  #maxRetries(now: number): number {
    const { ratio, slack } = this.#bounds;
    const ownSlack = slack / (this.#divisor(now) ?? Infinity);
    return Math.floor(SAFETY_FACTOR * (ratio * this.#requests.length + ownSlack));
  }
}

/** Removes the timestamps up to and including `until`. `times` is in ascending order. */
function dropUntil(times: number[], until: number): void {
  const kept = times.findIndex((time) => time > until);
  times.splice(0, kept < 0 ? times.length : kept);
}
