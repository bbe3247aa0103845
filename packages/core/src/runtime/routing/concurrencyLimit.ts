/** Concurrency limit of the backend servers, adapted to the latency targets of the classes. */

import type { EpochMs } from '../../types/ids.js';

/** Kind of a limit; `aimd` is additive increase, multiplicative decrease. */
export type ConcurrencyLimitKind = 'fixed' | 'aimd';

/** Bounds of a limit; operators declare the maximum. */
export interface ConcurrencyBounds {
  max: number;
  /** @default 1 */
  min?: number;
}

/** Concurrency limit that applies to each server of a pool. */
export abstract class ConcurrencyLimit {
  abstract readonly kind: ConcurrencyLimitKind;
  protected readonly max: number;
  protected readonly min: number;

  constructor(bounds: ConcurrencyBounds) {
    this.max = Math.max(1, bounds.max);
    this.min = Math.min(this.max, bounds.min ?? 1);
  }

  abstract get value(): number;
  /** Records one answer: its time to first token (`Infinity` after a timeout) and its target. */
  abstract sample(firstTokenMs: number, targetMs: number, now: EpochMs): void;
}

/** Always the declared limit; the baseline for comparisons. */
export class FixedLimit extends ConcurrencyLimit {
  override readonly kind = 'fixed';

  override get value(): number {
    return this.max;
  }

  override sample(): void {
    // the declared limit does not depend on measurements
  }
}

/** Number of answers per decision. */
const WINDOW_SAMPLES = 20;
/**
 * Fraction of the answers in a window that may miss their target. It is far above the 5 in 100 that
 * targets allow: at full load many misses are caused by queueing, and a lower limit lengthens the
 * queue.
 */
const ALLOWED_MISSES = 0.3;
const DECREASE_FACTOR = 0.7;

/** Adds one after a window that met the targets; multiplies by a factor below 1 after a miss. */
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
