/**
 * This instance's part of the attempts beyond the first that all instances together may make at a
 * service. Each instance keeps within its own part, so the sum holds also while none sees another.
 */

/** Bounds of the whole fleet. */
export interface RetryBounds {
  /** Attempts beyond the first, as a part of the requests of the window. */
  ratio: number;
  /** Further attempts in a window, for the whole fleet. */
  slack: number;
  windowMs: number;
}

/** What an allowance is created with. */
export interface RetryAllowanceOptions extends RetryBounds {
  /** Instances that share the slack. */
  instances: number;
}

/**
 * Part of the bound that is used. What one instance counts in its window and what all are judged by
 * begins and ends at different moments.
 */
const SAFE_PART = 0.8;

/**
 * Sliding count of requests and further attempts.
 *
 * @example
 * allowance.request(now);
 * if (allowance.take(now)) sendAgain();
 */
export class RetryAllowance {
  #bounds: RetryBounds;
  #instances: number;
  readonly #requests: number[] = [];
  readonly #taken: number[] = [];

  constructor(options: RetryAllowanceOptions) {
    this.#bounds = options;
    this.#instances = options.instances;
  }

  setBounds(bounds: RetryBounds): void {
    this.#bounds = bounds;
  }

  setInstances(count: number): void {
    this.#instances = count;
  }

  /** Moments kept in memory; those of one window, whether further attempts are asked for or not. */
  get kept(): number {
    return this.#requests.length + this.#taken.length;
  }

  /** Counts a request for the service. */
  request(now: number): void {
    this.#forget(now);
    this.#requests.push(now);
  }

  /** Takes one further attempt, if the window has one left. */
  take(now: number): boolean {
    this.#forget(now);
    if (this.#taken.length >= this.#most()) return false;
    this.#taken.push(now);
    return true;
  }

  #forget(now: number): void {
    const from = now - this.#bounds.windowMs;
    dropUntil(this.#requests, from);
    dropUntil(this.#taken, from);
  }

  #most(): number {
    const { ratio, slack } = this.#bounds;
    return Math.floor(SAFE_PART * (ratio * this.#requests.length + slack / this.#instances));
  }
}

/** Drops the moments up to and including `until`; they are in order. */
function dropUntil(times: number[], until: number): void {
  const kept = times.findIndex((time) => time > until);
  times.splice(0, kept < 0 ? times.length : kept);
}
