/** How much of a prepaid budget one instance holds, so that it can serve while it is cut off. */

import type { Tokens } from '../../types/ids.js';

/** What a level is decided from. */
export interface PrepaidSituation {
  /** Tokens a second that this instance is asked for. */
  rate: number;
  /** Tokens a second that all instances are asked for, this one included. */
  fleetRate: number;
  /** Tokens neither spent nor in doubt. */
  remaining: Tokens;
  /** Instances that share the budget, this one included. */
  instances: number;
}

/** Tuning of the levels. */
export interface PrepaidSizingSettings {
  /**
   * Seconds of its own demand that an instance holds at most. More than the longest cut that
   * instances are expected to ride out (about eight seconds), with room for a busier account.
   */
  rideThroughSeconds: number;
  /**
   * Part of the remaining budget that all instances together hold at most. What they hold is in
   * doubt when all of them are killed at once, and must leave enough for the traffic after it.
   */
  dealtPart: number;
  /** Part of what is dealt that goes to all instances evenly, for callers who change instance. */
  evenPart: number;
}

export const defaultPrepaidSizing: PrepaidSizingSettings = {
  rideThroughSeconds: 16,
  dealtPart: 0.6,
  evenPart: 0.2,
};

/**
 * Levels by demand within a fair part of what remains.
 *
 * @example
 * new PrepaidSizing().level({ rate: 2_000, fleetRate: 10_000, remaining: 900_000, instances: 7 });
 */
export class PrepaidSizing {
  readonly #settings: PrepaidSizingSettings;

  constructor(settings: Partial<PrepaidSizingSettings> = {}) {
    this.#settings = { ...defaultPrepaidSizing, ...settings };
  }

  /** Free tokens that an instance should hold. */
  level(situation: PrepaidSituation): Tokens {
    const { rideThroughSeconds, dealtPart, evenPart } = this.#settings;
    const { rate, fleetRate, remaining, instances } = situation;
    const dealt = remaining * dealtPart;
    const even = (dealt * evenPart) / instances;
    const byDemand = fleetRate > 0 ? (dealt * (1 - evenPart) * rate) / fleetRate : 0;
    return Math.floor(Math.min(even + byDemand, Math.max(even, rate * rideThroughSeconds)));
  }
}
