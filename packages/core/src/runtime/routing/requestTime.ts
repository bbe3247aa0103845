/** How long a request takes at a server on average, from the measured response times. */

/** Measurements of one server that count as much as the mean of the service. */
const PRIOR_COUNT = 4;
/** Minimum weight of a new measurement. */
const MIN_WEIGHT = 0.05;

/**
 * Running mean of the time of a request without waiting, in milliseconds.
 *
 * @example
 * const ofService = new RequestTime();
 * const time = new RequestTime(ofService);
 * time.record(43);
 * time.ms; // 43
 */
export class RequestTime {
  readonly #service: RequestTime | undefined;
  #mean: number | undefined;
  #count = 0;

  /** @param service time for all servers of the service, which a few measurements don't override. */
  constructor(service?: RequestTime) {
    this.#service = service;
  }

  /** Milliseconds; undefined before the first measurement of the service. */
  get ms(): number | undefined {
    return this.#mean ?? this.#service?.ms;
  }

  /** Records a response time without the waiting time. */
  record(ms: number): void {
    const prior = this.#service?.ms;
    this.#count += 1;
    const weight = Math.max(
      MIN_WEIGHT,
      1 / (this.#count + (prior === undefined ? 0 : PRIOR_COUNT)),
    );
    const before = this.#mean ?? prior ?? ms;
    this.#mean = before + weight * (ms - before);
    this.#service?.record(ms);
  }
}
