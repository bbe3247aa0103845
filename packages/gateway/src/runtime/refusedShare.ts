/** Share of requests that were refused lately. */

/** Milliseconds of one of the two periods that are counted. */
const PERIOD_MS = 1_500;

interface Period {
  refused: number;
  all: number;
}

/**
 * Counts requests in the present and the previous period, so that the share covers the last 1.5 to 3 s.
 *
 * @example
 * const share = new RefusedShare();
 * share.record(true, now);
 * share.at(now); // 1
 */
export class RefusedShare {
  #current: Period = { refused: 0, all: 0 };
  #previous: Period = { refused: 0, all: 0 };
  #startedAt = -Infinity;

  /** Records a request. */
  record(isRefused: boolean, now: number): void {
    this.#advance(now);
    this.#current.all += 1;
    if (isRefused) this.#current.refused += 1;
  }

  /** Returns the share from 0 to 1; 0 without requests. */
  at(now: number): number {
    this.#advance(now);
    const all = this.#current.all + this.#previous.all;
    return all === 0 ? 0 : (this.#current.refused + this.#previous.refused) / all;
  }

  #advance(now: number): void {
    const elapsedMs = now - this.#startedAt;
    if (elapsedMs < PERIOD_MS) return;
    this.#previous = elapsedMs < 2 * PERIOD_MS ? this.#current : { refused: 0, all: 0 };
    this.#current = { refused: 0, all: 0 };
    this.#startedAt = now;
  }
}
