/** Listeners of one kind of event. */

import type { Kernel } from './kernel.js';

/**
 * Calls listeners in the order in which they were added. One that throws is reported, and the others get
 * their turn all the same: they are parts of the process that do not know of each other.
 *
 * @example
 * readonly #onChange = new Listeners<Server[]>('directory');
 * this.#onChange.reportTo(kernel);
 * this.#onChange.notify(servers);
 */
export class Listeners<T = void> {
  readonly #owner: string;
  readonly #listeners: ((event: T) => void)[] = [];
  #kernel: Kernel | undefined;

  /** @param owner service that calls the listeners, for the report. */
  constructor(owner: string) {
    this.#owner = owner;
  }

  /** Sets where it is reported what a listener throws. Until then `notify` throws it at its end. */
  reportTo(kernel: Kernel): void {
    this.#kernel = kernel;
  }

  add(listener: (event: T) => void): void {
    this.#listeners.push(listener);
  }

  notify(event: T): void {
    const thrown: unknown[] = [];
    for (const listener of this.#listeners) {
      try {
        listener(event);
      } catch (err) {
        thrown.push(err);
      }
    }
    if (thrown.length > 0 && !this.#kernel) throw new AggregateError(thrown, this.#owner);
    for (const err of thrown) this.#kernel?.reportFailure(err, this.#owner);
  }
}
