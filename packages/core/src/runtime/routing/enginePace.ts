/** Estimates the speed of an inference engine from the streams that it served for this instance. */

/**
 * Number of streams remembered. The fastest of several streams shows the engine's own speed. A
 * single stream may have been slowed down by long prompts from its first event to its last.
 */
const REMEMBERED_STREAMS = 8;

/**
 * Speed of one engine. Engines do not report their speed, and machines of one service differ by a
 * third.
 *
 * @example
 * pace.observe(18.7);
 * pace.eventMs; // 18.7
 */
export class EnginePace {
  readonly #quickest: number[] = [];

  /** Milliseconds per event when nothing delays it; undefined before the first stream. */
  get eventMs(): number | undefined {
    return this.#quickest.length === 0 ? undefined : Math.min(...this.#quickest);
  }

  /** Records the fastest section of one stream, in milliseconds per event. */
  observe(quickestMs: number): void {
    this.#quickest.push(quickestMs);
    if (this.#quickest.length > REMEMBERED_STREAMS) this.#quickest.shift();
  }
}
