/** Times that requests of a service take at servers without a queue. */

/** Weights of a time below, and above, the known one. */
const LOWER_WEIGHT = 0.3;
const HIGHER_WEIGHT = 0.02;
const SLOT_WEIGHT = 0.1;

/**
 * Learns usual times from answers. They follow low values quickly and high values slowly, because a
 * queue at the servers must not raise the time by which the queue is judged.
 *
 * @example
 * times.record('chat', 80, 400);
 * times.firstMs('chat'); // 80
 * times.slotMs; // 400
 */
export class UsualTimes {
  readonly #first = new Map<string, number>();
  #slotMs: number | undefined;

  /**
   * Records an answer.
   *
   * @param firstMs from sending to the first event, or to the whole answer.
   * @param totalMs from sending to the end.
   */
  record(workClass: string, firstMs: number, totalMs: number): void {
    const known = this.#first.get(workClass) ?? firstMs;
    const weight = firstMs < known ? LOWER_WEIGHT : HIGHER_WEIGHT;
    const usual = known + weight * (firstMs - known);
    this.#first.set(workClass, usual);
    // the wait before the first event is left out: it may have been in the server's queue.
    const slotMs = Math.max(0, totalMs - firstMs) + Math.min(usual, firstMs);
    const slot = this.#slotMs ?? slotMs;
    this.#slotMs = slot + SLOT_WEIGHT * (slotMs - slot);
  }

  /** Milliseconds to the first event of a class; undefined while unknown. */
  firstMs(workClass: string): number | undefined {
    return this.#first.get(workClass);
  }

  /** Mean milliseconds for which a request takes a slot; undefined while unknown. */
  get slotMs(): number | undefined {
    return this.#slotMs;
  }
}
