/** How much of a prepaid budget one instance holds, so that it can serve while it is cut off. */

import type { Tokens } from '../../types/ids.js';
import { DEMAND_SPAN_SECONDS } from '../demand.js';

/** What a level is decided from. */
export interface PrepaidSituation {
  /** Tokens a second that this instance is asked for. */
  rate: number;
  /** Tokens a second that all instances of the group are asked for, this one included. */
  fleetRate: number;
  /** Tokens neither spent nor in doubt that the group has or may still get. */
  remaining: Tokens;
  /** Part of the group's budget that is in doubt, from 0 to 1. */
  lostPart: number;
  /** Instances of the group, this one included. */
  instances: number;
  /** This instance's part of the group's demand of all accounts together, from 0 to 1. */
  trafficPart: number;
  /** Tokens that a request of any account asks for on average. */
  typicalRequest: Tokens;
}

/** Tuning of the levels. */
export interface PrepaidSizingSettings {
  /**
   * Seconds of its own demand that an instance holds. The longest cut that instances are expected
   * to ride out, with the time to notice its end.
   */
  rideThroughSeconds: number;
  /**
   * Standard deviations of the demand of that time that are held on top. An account with a request a
   * second at an instance may ask for twice its mean; one with ten a second hardly does.
   */
  spreadFactor: number;
  /**
   * Part of the remaining budget that all instances together hold at most. What they hold is in
   * doubt when all of them are killed at once, and must leave enough for the traffic after it.
   */
  dealtPart: number;
  /**
   * How much less is dealt out for each part of the budget that was lost so far. Where instances are
   * killed once they may be killed again, and a second loss of half of the rest leaves too little.
   */
  lossCaution: number;
  /** Part of what is dealt that goes to all instances evenly before any demand is known. */
  evenPart: number;
  /**
   * Requests of an account, in the span that its rate is averaged over, that say as much about where
   * its next ones come in as all traffic does. Some accounts always come in at one instance, others
   * at all; and a handful of requests, whose sizes differ by a factor of ten, can't tell which.
   */
  priorRequests: number;
  /** Requests for each instance that the last tokens must cover to be dealt at all. */
  undealtRequests: number;
}

export const defaultPrepaidSizing: PrepaidSizingSettings = {
  rideThroughSeconds: 9.5,
  spreadFactor: 1.3,
  dealtPart: 0.5,
  lossCaution: 4,
  evenPart: 0.1,
  priorRequests: 4,
  undealtRequests: 1.5,
};

/** Part of the usual that is dealt out however much was lost; alone, some requests are served still. */
const LEAST_DEALT = 0.3;
/**
 * Size, as a multiple of the mean, of the request that an average token belongs to. Prompts spread so
 * widely that most tokens belong to large ones.
 */
const SIZE_SPREAD = 2;

/**
 * Levels by demand within a part of what remains.
 *
 * @example
 * new PrepaidSizing().level({
 *   rate: 2_000, fleetRate: 10_000, remaining: 900_000, lostPart: 0, instances: 7, trafficPart: 0.15,
 *   typicalRequest: 5_000,
 * });
 */
export class PrepaidSizing {
  readonly #settings: PrepaidSizingSettings;

  constructor(settings: Partial<PrepaidSizingSettings> = {}) {
    this.#settings = { ...defaultPrepaidSizing, ...settings };
  }

  /** Free tokens that an instance should hold. */
  level(situation: PrepaidSituation): Tokens {
    const { dealtPart, lossCaution, evenPart, undealtRequests, rideThroughSeconds } =
      this.#settings;
    const { fleetRate, remaining, lostPart, instances, typicalRequest } = situation;
    // dealt to all, the last tokens would be dust: no instance could cover a request, while together
    // they could cover many. Kept in the store, they are fetched for each request that comes.
    const undealt = undealtRequests * typicalRequest * instances;
    const caution = Math.max(LEAST_DEALT, 1 - lossCaution * lostPart);
    const dealt = Math.max(0, remaining - undealt) * dealtPart * caution;
    if (fleetRate <= 0) return Math.floor((dealt * evenPart) / instances);
    const fleetDemand = fleetRate * rideThroughSeconds;
    const own = this.#withSpread(fleetDemand * this.#part(situation), 1, typicalRequest);
    const all = this.#withSpread(fleetDemand, instances, typicalRequest);
    return Math.floor(own * Math.min(1, dealt / all));
  }

  /** Where the account's next requests come in, as far as past ones tell. */
  #part({ rate, fleetRate, trafficPart, typicalRequest }: PrepaidSituation): number {
    const prior = Math.max(1, this.#settings.priorRequests * typicalRequest);
    const seen = fleetRate * DEMAND_SPAN_SECONDS;
    return (rate * DEMAND_SPAN_SECONDS + prior * trafficPart) / (seen + prior);
  }

  /** A demand with its spread, were it met by so many instances in equal parts. */
  #withSpread(demand: Tokens, instances: number, typicalRequest: Tokens): Tokens {
    const deviation = Math.sqrt(demand * instances * SIZE_SPREAD * typicalRequest);
    return Math.max(1, demand + this.#settings.spreadFactor * deviation);
  }
}
