/** Learns from measured response times how far reported speeds can be relied on. */

/** Weight of the assumption (that of the service, or that reports are right), in squared deviations. */
const ASSUMPTION_WEIGHT = 2;
/** Factor by which earlier measurements lose weight with each new one. */
const FORGETTING = 0.99;
/** Maximum measured deviation; a single response may be late for other reasons. */
const MAX_DEVIATION = 3;

/**
 * The fraction of a reported deviation from the mean that response times show as well, from 0 to 1.
 * It falls if reports are outdated when they arrive, incorrect or unrelated to the work.
 *
 * @example
 * const trust = new SpeedTrust();
 * trust.record({ expected: 1.3, measured: 0 }); // the server was not slower
 * trust.value; // below 1
 */
export class SpeedTrust {
  readonly #service: SpeedTrust | undefined;
  #together = 0;
  #expected = 0;

  /** @param service trust in all servers of the service, which is assumed until this one is known. */
  constructor(service?: SpeedTrust) {
    this.#service = service;
  }

  /** Fraction of an expected deviation that is used. */
  get value(): number {
    const assumed = this.#service?.value ?? 1;
    const together = this.#together + ASSUMPTION_WEIGHT * assumed;
    const value = together / (this.#expected + ASSUMPTION_WEIGHT);
    return Math.min(1, Math.max(0, value));
  }

  /** Records the expected and measured deviation of a response time, as multiples of the mean. */
  record(deviations: { expected: number; measured: number }): void {
    const { expected, measured } = deviations;
    this.#service?.record(deviations);
    const bounded = Math.min(MAX_DEVIATION, measured);
    this.#together = this.#together * FORGETTING + expected * bounded;
    this.#expected = this.#expected * FORGETTING + expected * expected;
  }
}
