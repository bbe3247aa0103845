/** How fast an engine is, as the streams that it served for this instance show. */

/**
 * Streams that are remembered. The quickest of some is the engine's own pace: any one of them may have
 * run beside long prompts from its first event to its last.
 */
const REMEMBERED_STREAMS = 8;

/**
 * Pace of one engine. No engine tells its speed; machines of one service differ by a third.
 *
 * @example
 * pace.observe(18.7);
 * pace.eventMs; // 18.7
 */
export class EnginePace {
  readonly #quickest: number[] = [];

  /** Milliseconds for an event while nothing delays it; undefined before the first stream. */
  get eventMs(): number | undefined {
    return this.#quickest.length === 0 ? undefined : Math.min(...this.#quickest);
  }

  /** Takes in the quickest stretch of one stream, in milliseconds for an event. */
  observe(quickestMs: number): void {
    this.#quickest.push(quickestMs);
    if (this.#quickest.length > REMEMBERED_STREAMS) this.#quickest.shift();
  }
}
