/** How many requests one backend server takes at once, adapted to the targets of its classes. */

import type { EpochMs } from '../../types/ids.js';

/** Names of the kinds of limit. */
export type ConcurrencyLimitKind = 'fixed' | 'aimd';

/** Bounds of a limit; the upper one is declared by the operators. */
export interface ConcurrencyBounds {
  max: number;
  /** @default 1 */
  min?: number;
}

/** Limit that holds for each server of a pool. */
export abstract class ConcurrencyLimit {
  abstract readonly kind: ConcurrencyLimitKind;
  protected readonly max: number;
  protected readonly min: number;

  constructor(bounds: ConcurrencyBounds) {
    this.max = Math.max(1, bounds.max);
    this.min = Math.min(this.max, bounds.min ?? 1);
  }

  abstract get value(): number;
  /** Takes in one answer: its first-token time (`Infinity` if it timed out) and its target. */
  abstract sample(firstTokenMs: number, targetMs: number, now: EpochMs): void;
}

/** The declared limit, unchanged: the baseline. */
export class FixedLimit extends ConcurrencyLimit {
  override readonly kind = 'fixed';

  override get value(): number {
    return this.max;
  }

  override sample(): void {
    // the declared limit stands whatever is measured
  }
}

/** Answers over which one decision is made. */
const WINDOW_SAMPLES = 20;
/**
 * Share of answers in a window that may miss their target. Far above the 5 in 100 that targets allow:
 * at full load many misses come from waiting, which a lower limit makes worse.
 */
const ALLOWED_MISSES = 0.3;
const DECREASE_FACTOR = 0.7;

/** Adds one after a window that met the targets, multiplies down after one that missed them. */
export class AimdLimit extends ConcurrencyLimit {
  override readonly kind = 'aimd';
  #limit: number;
  #samples = 0;
  #misses = 0;

  constructor(bounds: ConcurrencyBounds) {
    super(bounds);
    this.#limit = this.max;
  }

  override get value(): number {
    return Math.floor(this.#limit);
  }

  override sample(firstTokenMs: number, targetMs: number): void {
    this.#samples += 1;
    if (firstTokenMs > targetMs) this.#misses += 1;
    if (this.#samples < WINDOW_SAMPLES) return;
    const missed = this.#misses / this.#samples > ALLOWED_MISSES;
    const next = missed ? this.#limit * DECREASE_FACTOR : this.#limit + 1;
    this.#limit = Math.min(this.max, Math.max(this.min, next));
    this.#samples = 0;
    this.#misses = 0;
  }
}

/**
 * Creates a limit of the named kind.
 *
 * @example
 * const limit = createConcurrencyLimit('aimd', { max: 8 });
 */
export function createConcurrencyLimit(
  kind: ConcurrencyLimitKind,
  bounds: ConcurrencyBounds,
): ConcurrencyLimit {
  switch (kind) {
    case 'fixed':
      return new FixedLimit(bounds);
    case 'aimd':
      return new AimdLimit(bounds);
  }
}
