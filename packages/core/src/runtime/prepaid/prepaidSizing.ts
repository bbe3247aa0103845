/** How much of a prepaid budget one instance holds, so that it can serve while it is cut off. */

import type { Tokens } from '../../types/ids.js';
import { DEMAND_SPAN_SECONDS } from '../demand.js';

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
  /** This instance's part of the demand of all accounts together, from 0 to 1. */
  trafficPart: number;
  /** Tokens that a request of any account asks for on average. */
  typicalRequest: Tokens;
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
  rideThroughSeconds: 9,
  dealtPart: 0.4,
  evenPart: 0.1,
  priorRequests: 4,
  undealtRequests: 1.5,
};

/**
 * Levels by demand within a fair part of what remains.
 *
 * @example
 * new PrepaidSizing().level({
 *   rate: 2_000, fleetRate: 10_000, remaining: 900_000, instances: 7, trafficPart: 0.15,
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
    const { rideThroughSeconds, dealtPart, evenPart, priorRequests } = this.#settings;
    const { rate, fleetRate, remaining, instances, trafficPart, typicalRequest } = situation;
    // dealt to all, the last tokens would be dust: no instance could cover a request, while together
    // they could cover many. Kept in the store, they are fetched for each request that comes.
    const undealt = this.#settings.undealtRequests * typicalRequest * instances;
    const dealt = Math.max(0, remaining - undealt) * dealtPart;
    const even = (dealt * evenPart) / instances;
    const prior = Math.max(1, priorRequests * typicalRequest);
    const seen = fleetRate * DEMAND_SPAN_SECONDS;
    const part = (rate * DEMAND_SPAN_SECONDS + prior * trafficPart) / (seen + prior);
    const byDemand = dealt * (1 - evenPart) * part;
    return Math.floor(even + Math.min(byDemand, fleetRate * part * rideThroughSeconds));
  }
}
