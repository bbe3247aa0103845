/**
 * Slots that less important requests leave free, so that a more important request finds one when it
 * arrives. The reserve depends on latency targets only: it grows while a class misses its target.
 */

import type { Importance } from '../../types/declaration.js';
import type { PlacementRule } from '../routing/serverPoolOptions.js';

/** Settings of a reserve. */
export interface ImportanceReserveSettings {
  /** Maximum fraction of all slots that is kept free for one importance. @default 0.15 */
  max: 0.15;
  /** Fraction added after a window that missed the target. @default 0.03 */
  step: number;
  /** Factor applied after a window that met the target. @default 0.9 */
  decay: number;
  /**
   * Fraction of a server's slots that requests of the first importance may use beyond its limit.
   * These requests wait in the server's own queue, which serves them by priority. They get the
   * first slot that becomes free there, even if another router was using it. @default 0.5
   */
  extraForFirst: 0.5;
}

const defaultSettings: ImportanceReserveSettings = {
  max: 0.15,
  step: 0.03,
  decay: 0.9,
  extraForFirst: 0.5,
};
/** Number of answers per decision. */
const WINDOW_SAMPLES = 20;
/** Fraction of the answers in a window that may miss their target (targets are for 95 in 100). */
const ALLOWED_MISSES = 0.05;

/** Adaptive fraction, driven by the misses of the requests that it protects. */
class ReservedFraction {
  part = 0;
  #samples = 0;
  #misses = 0;

  sample(missed: boolean, settings: ImportanceReserveSettings): void {
    this.#samples += 1;
    if (missed) this.#misses += 1;
    if (this.#samples < WINDOW_SAMPLES) return;
    const tooMany = this.#misses / this.#samples > ALLOWED_MISSES;
    const next = tooMany ? this.part + settings.step : this.part * settings.decay;
    this.part = Math.min(settings.max, next);
    this.#samples = 0;
    this.#misses = 0;
  }
}

/**
 * Reserve of one service at one router.
 *
 * @example
 * reserve.sample('first', firstTokenMs > targetMs);
 * queue.take(now, (importance, isMinimumShareTurn) =>
 *   pool.hasRoom(reserve.ruleFor(importance, isMinimumShareTurn), now),
 * );
 */
export class ImportanceReserve {
  readonly #settings: ImportanceReserveSettings;
  readonly #forFirst = new ReservedFraction();
  readonly #forStandard = new ReservedFraction();

  constructor(settings: Partial<ImportanceReserveSettings> = {}) {
    this.#settings = { ...defaultSettings, ...settings };
  }

  /**
   * Records whether a request missed its target, measured from its arrival. A request that was
   * refused because no slot was free counts as a miss.
   */
  sample(importance: Importance, missed: boolean): void {
    if (importance === 'first') this.#forFirst.sample(missed, this.#settings);
    if (importance === 'standard') this.#forStandard.sample(missed, this.#settings);
  }

  /** Slots that a request may use; no reserve applies if it is due by its minimum share. */
  ruleFor(importance: Importance, isMinimumShareTurn = false): PlacementRule {
    if (importance === 'first') return { keptFree: 0, extra: this.#settings.extraForFirst };
    return { keptFree: isMinimumShareTurn ? 0 : this.#keptFreeBy(importance), extra: 0 };
  }

  #keptFreeBy(importance: 'standard' | 'background'): number {
    if (importance === 'standard') return this.#forFirst.part;
    return Math.min(2 * this.#settings.max, this.#forFirst.part + this.#forStandard.part);
  }
}
