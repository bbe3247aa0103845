/** Reports that become visible late, as an engine's load and cache events do. */

/** Keeps values until they are old enough to be seen. */
export class LateReport<T> {
  readonly #lagMs: number;
  readonly #capacity: number;
  readonly #entries: { at: number; value: T }[] = [];

  constructor(lagMs: number, capacity: number) {
    this.#lagMs = lagMs;
    this.#capacity = capacity;
  }

  /** Adds a value; the oldest goes when there is no room. */
  add(value: T, now: number): void {
    this.#entries.push({ at: now, value });
    if (this.#entries.length > this.#capacity) this.#entries.shift();
  }

  /** All values that are old enough, oldest first. */
  visible(now: number): T[] {
    const entries = this.#entries.filter((entry) => entry.at <= now - this.#lagMs);
    return entries.map((entry) => entry.value);
  }

  /** Newest value that is old enough. */
  latest(now: number): T | undefined {
    return this.#entries.findLast((entry) => entry.at <= now - this.#lagMs)?.value;
  }

  clear(): void {
    this.#entries.length = 0;
  }
}
