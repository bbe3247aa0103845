/** Admits a fraction of requests, evenly spaced. */

/**
 * Admits a request whenever the fractions of the requests since the last admitted one add up to one.
 * So of any run of requests nearly the exact fraction is admitted, which is not the case if each is
 * admitted by chance.
 *
 * @example
 * const admission = new EvenAdmission(random());
 * admission.admits(0.5); // every second time
 */
export class EvenAdmission {
  #sum: number;

  /**
   * @param start from 0 to 1. A random one keeps many instances with few requests each from admitting
   *   all at the same time.
   */
  constructor(start: number) {
    this.#sum = start;
  }

  admits(fraction: number): boolean {
    if (fraction >= 1) return true;
    this.#sum += fraction;
    if (this.#sum < 1) return false;
    this.#sum -= 1;
    return true;
  }
}
