/** Shares reads between callers that each need one that began after they asked. */

/**
 * Runs one read at a time. Callers that ask during a read share the next one, because the running read may have
 * been answered before they asked.
 *
 * @example
 * const reads = new SharedReads(() => store.get(collection, 'main'));
 * const value = await reads.read();
 */
export class SharedReads<T> {
  readonly #start: () => Promise<T>;
  #running: Promise<T> | undefined;
  #next: Promise<T> | undefined;

  /** @param start starts a read; must not reject. */
  constructor(start: () => Promise<T>) {
    this.#start = start;
  }

  /** Returns the result of a read that begins after this call. */
  read(): Promise<T> {
    if (!this.#running) return this.#run();
    this.#next ??= this.#running.then(() => {
      this.#next = undefined;
      return this.#run();
    });
    return this.#next;
  }

  #run(): Promise<T> {
    const running = this.#start().finally(() => {
      this.#running = undefined;
    });
    this.#running = running;
    return running;
  }
}
