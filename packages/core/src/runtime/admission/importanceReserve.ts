/**
 * Places that less important work leaves free, so that a more important request finds one when it
 * comes. Derived from targets alone: the reserve grows while a class misses its target.
 */

import type { Importance } from '../../types/declaration.js';
import type { PlacementRule } from '../routing/serverPool.js';

/** Tuning of a reserve. */
export interface ImportanceReserveSettings {
  /** Largest part of all places that is kept free. @default 0.15 */
  max: 0.15;
  /** Part added after a window that missed the target. @default 0.03 */
  step: number;
  /** Factor after a window that met it. @default 0.9 */
  decay: number;
  /**
   * Part of a server's places that requests of the first importance may use beyond its limit. They
   * wait at the server then, whose own queue serves them by priority, for whichever place there is
   * free first, also one given up by another router. @default 0.5
   */
  extraForFirst: 0.5;
}

const defaultSettings: ImportanceReserveSettings = {
  max: 0.15,
  step: 0.03,
  decay: 0.9,
  extraForFirst: 0.5,
};
/** Answers over which one decision is made. */
const WINDOW_SAMPLES = 20;
/** Share of answers in a window that may miss their target (the target is for 95 in 100). */
const ALLOWED_MISSES = 0.05;

/** One adaptive part, driven by the misses of the work that it protects. */
class ReservedPart {
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
 * queue.take(now, (importance, owed) => pool.hasRoom(reserve.ruleFor(importance, owed), now));
 */
export class ImportanceReserve {
  readonly #settings: ImportanceReserveSettings;
  readonly #forFirst = new ReservedPart();
  readonly #forStandard = new ReservedPart();

  constructor(settings: Partial<ImportanceReserveSettings> = {}) {
    this.#settings = { ...defaultSettings, ...settings };
  }

  /**
   * Takes in whether a request missed its target, counted from its arrival. A request that was
   * refused for want of places counts as missed.
   */
  sample(importance: Importance, missed: boolean): void {
    if (importance === 'first') this.#forFirst.sample(missed, this.#settings);
    if (importance === 'standard') this.#forStandard.sample(missed, this.#settings);
  }

  /** Places that a request may use; at the turn of its minimum share no reserve applies. */
  ruleFor(importance: Importance, owed = false): PlacementRule {
    if (importance === 'first') return { keptFree: 0, extra: this.#settings.extraForFirst };
    return { keptFree: owed ? 0 : this.#keptFreeBy(importance), extra: 0 };
  }

  #keptFreeBy(importance: 'standard' | 'background'): number {
    if (importance === 'standard') return this.#forFirst.part;
    return Math.min(2 * this.#settings.max, this.#forFirst.part + this.#forStandard.part);
  }
}
