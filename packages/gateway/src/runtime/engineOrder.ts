/** Place of each request in the queue of an engine: urgency first, then the prompt's length. */

import type { Importance, Tokens } from '@flamingocourse/core';
import { defaultMinimumShares } from '@flamingocourse/core';

/** First of the three places of each class; engines admit place 0 first, and 9 last. */
const FIRST_PLACES: Record<Importance, number> = { first: 0, standard: 3, background: 6 };
/** Prompt tokens up to which a request gets the first, and the second, place of its class. */
const LENGTH_STEPS: readonly Tokens[] = [1_000, 6_000];

/** Fractions of what engines serve that the less urgent keep. */
const { standard: STANDARD_SHARE, background: BACKGROUND_SHARE } = defaultMinimumShares;
const URGENT_SHARE = 1 - STANDARD_SHARE - BACKGROUND_SHARE;
/** Promotions that one send of the class above earns, so that the promoted keep their share. */
const STANDARD_PER_FIRST = STANDARD_SHARE / URGENT_SHARE;
const BACKGROUND_PER_FIRST = BACKGROUND_SHARE / URGENT_SHARE;
/**
 * Twice the share: with the share itself the least urgent got 3 in 100 of the engines where the second
 * class exceeded them, because their promotions to the most urgent class are bounded by its.
 */
const BACKGROUND_PER_STANDARD = (2 * BACKGROUND_SHARE) / (1 - 2 * BACKGROUND_SHARE);
/**
 * Promotions that can be saved up. With 2, the few requests that one of 17 instances gets came too
 * unevenly to use them; many more would let a burst of the less urgent go before others.
 */
const MAX_EARNED = 5;
/** Weight of the last request in the fraction of the second class that was promoted. */
const FRACTION_WEIGHT = 0.05;
/** Sends after which a class that was not sent no longer counts as demanded. */
const DEMAND_SENDS = 100;

/** Returns the place of a request that is not promoted. */
function placeOf(importance: Importance, prompt: Tokens): number {
  const step = LENGTH_STEPS.findIndex((most) => prompt <= most);
  return FIRST_PLACES[importance] + (step < 0 ? LENGTH_STEPS.length : step);
}

/** Promotions that a class has earned and not used. */
class EarnedPromotions {
  #earned = 0;

  earn(part: number): void {
    this.#earned = Math.min(MAX_EARNED, this.#earned + part);
  }

  get has(): boolean {
    return this.#earned >= 1;
  }

  spend(): void {
    this.#earned -= 1;
  }
}

/**
 * Order of the requests that one instance sends to the engines of a service.
 *
 * The less urgent keep a minimum share: some of them get the place of the last send of a class above
 * them. It is not the best place of that class, so the less urgent are never served more often than
 * the class above.
 *
 * @example
 * const order = new EngineOrder();
 * order.next('first', 600); // 0
 * order.next('background', 8_000); // 8
 */
export class EngineOrder {
  /** Places of the last sends that were not promoted. */
  readonly #last = { first: placeOf('first', 0), standard: placeOf('standard', 0) };
  readonly #standardToFirst = new EarnedPromotions();
  readonly #backgroundToFirst = new EarnedPromotions();
  readonly #backgroundToStandard = new EarnedPromotions();
  /** What the least urgent may use of their promotions without passing the second class. */
  readonly #allowedToFirst = new EarnedPromotions();
  /** Fraction of the second class that was promoted lately. */
  #standardPromoted = 0;
  #sendsSinceStandard = Infinity;

  /** Returns the place of the next request that is sent, from 0 (first) to 9. */
  next(importance: Importance, prompt: Tokens): number {
    this.#sendsSinceStandard += 1;
    switch (importance) {
      case 'first':
        return this.#nextFirst(prompt);
      case 'standard':
        return this.#nextStandard(prompt);
      case 'background':
        return this.#nextBackground(prompt);
    }
  }

  #nextFirst(prompt: Tokens): number {
    this.#standardToFirst.earn(STANDARD_PER_FIRST);
    this.#backgroundToFirst.earn(BACKGROUND_PER_FIRST);
    this.#last.first = placeOf('first', prompt);
    return this.#last.first;
  }

  #nextStandard(prompt: Tokens): number {
    this.#sendsSinceStandard = 0;
    const isPromoted = this.#standardToFirst.has;
    this.#standardPromoted += FRACTION_WEIGHT * (Number(isPromoted) - this.#standardPromoted);
    if (isPromoted) {
      this.#standardToFirst.spend();
      return this.#last.first;
    }
    this.#backgroundToStandard.earn(BACKGROUND_PER_STANDARD);
    this.#last.standard = placeOf('standard', prompt);
    return this.#last.standard;
  }

  #nextBackground(prompt: Tokens): number {
    // promoted no more often than the second class is, or they would be served more often.
    const hasStandard = this.#sendsSinceStandard <= DEMAND_SENDS;
    this.#allowedToFirst.earn(hasStandard ? this.#standardPromoted : 1);
    if (this.#backgroundToFirst.has && this.#allowedToFirst.has) {
      this.#backgroundToFirst.spend();
      this.#allowedToFirst.spend();
      return this.#last.first;
    }
    const toStandard = [this.#backgroundToStandard, this.#backgroundToFirst];
    const earned = toStandard.find((each) => each.has);
    if (!earned) return placeOf('background', prompt);
    earned.spend();
    return this.#last.standard;
  }
}
