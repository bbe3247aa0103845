/** Values that become visible after a delay, like the load and cache events of a model engine. */

/** Stores the most recent values and makes each visible after `lagMs`. */
export class DelayedValues<T> {
  readonly #lagMs: number;
  readonly #capacity: number;
  readonly #entries: { at: number; value: T }[] = [];

  constructor(lagMs: number, capacity: number) {
    this.#lagMs = lagMs;
    this.#capacity = capacity;
  }

  /** Adds a value; removes the oldest one if the capacity is exceeded. */
  add(value: T, now: number): void {
    this.#entries.push({ at: now, value });
    if (this.#entries.length > this.#capacity) this.#entries.shift();
  }

  /** All visible values, oldest first. */
  visible(now: number): T[] {
    const entries = this.#entries.filter((entry) => entry.at <= now - this.#lagMs);
    return entries.map((entry) => entry.value);
  }

  /** The newest visible value. */
  latest(now: number): T | undefined {
    return this.#entries.findLast((entry) => entry.at <= now - this.#lagMs)?.value;
  }

  clear(): void {
    this.#entries.length = 0;
  }
}
