/** How many requests one backend server takes at once, adapted to the targets of its classes. */

import type { EpochMs } from '../../types/ids.js';

/** Names of the kinds of limit. */
export type ConcurrencyLimitKind = 'fixed' | 'aimd' | 'gradient';

/** Bounds of a limit; the upper one is declared by the operators. */
export interface ConcurrencyBounds {
  max: number;
  /** @default 1 */
  min?: number;
}

/** One limit per server. */
export abstract class ConcurrencyLimit {
  abstract readonly kind: ConcurrencyLimitKind;
  protected readonly max: number;
  protected readonly min: number;

  constructor(bounds: ConcurrencyBounds) {
    this.max = Math.max(1, bounds.max);
    this.min = Math.min(this.max, bounds.min ?? 1);
  }

  abstract get value(): number;
  /** Takes in one answer: its first-token time and the target of its class. */
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
/** Share of answers in a window that may miss their target (the target is for 95 in 100). */
const ALLOWED_MISSES = 0.05;
const DECREASE_FACTOR = 0.85;

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

const FAST_WEIGHT = 0.1;
/** The long average forgets over some hundreds of answers. */
const SLOW_WEIGHT = 0.005;
const GRADIENT_TOLERANCE = 1.5;
const GRADIENT_STEP = 0.1;

/** Follows the ratio of the long-term to the present first-token time. */
export class GradientLimit extends ConcurrencyLimit {
  override readonly kind = 'gradient';
  #limit: number;
  #fast: number | undefined;
  #slow: number | undefined;

  constructor(bounds: ConcurrencyBounds) {
    super(bounds);
    this.#limit = this.max;
  }

  override get value(): number {
    return Math.floor(this.#limit);
  }

  override sample(firstTokenMs: number): void {
    this.#fast = average(this.#fast, firstTokenMs, FAST_WEIGHT);
    this.#slow = average(this.#slow, firstTokenMs, SLOW_WEIGHT);
    const ratio = (GRADIENT_TOLERANCE * this.#slow) / Math.max(this.#fast, 1);
    const gradient = Math.max(0.5, Math.min(1, ratio));
    const wanted = this.#limit * gradient + Math.sqrt(this.#limit) * GRADIENT_STEP;
    const next = this.#limit + GRADIENT_STEP * (wanted - this.#limit);
    this.#limit = Math.min(this.max, Math.max(this.min, next));
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
    case 'gradient':
      return new GradientLimit(bounds);
  }
}

function average(value: number | undefined, sample: number, weight: number): number {
  return value === undefined ? sample : value + weight * (sample - value);
}
