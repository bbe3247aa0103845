/** How much of a prepaid budget one instance holds, so that it can serve while it is cut off. */

import type { Tokens } from '../../types/ids.js';
import { DEMAND_TIME_CONSTANT_SECONDS } from '../demand.js';

/** What a level is decided from. */
export interface PrepaidSizingInput {
  /** Tokens a second that this instance is asked for. */
  rate: number;
  /** Tokens a second that all instances of the group are asked for, this one included. */
  fleetRate: number;
  /** Tokens neither spent nor in doubt that the group has or may still get. */
  remaining: Tokens;
  /** Instances of the group, this one included. */
  instances: number;
  /** Those among them that the account's callers come in at. @default all */
  spread?: number | undefined;
  /** Tokens that a request of any account asks for on average. */
  typicalRequest: Tokens;
}

/** Tuning of the levels. */
export interface PrepaidSizingSettings {
  /**
   * Seconds of its own demand that an instance holds: the longest cut that instances are expected to
   * ride out, with the time to notice its end.
   */
  rideThroughSeconds: number;
  /**
   * Seconds of the whole demand that are not dealt out: what instances hold is in doubt when all of them
   * are killed at once, and the rest then lasts as long as the holdings would have. What was spent and is
   * in no report yet has to come on top. @default rideThroughSeconds
   */
  keptSeconds?: number;
  /**
   * Standard deviations of the demand of that time that are held on top. An account with a request a
   * second at an instance may ask for twice its mean; one with ten a second hardly does.
   */
  deviationFactor: number;
  /** Part of what is dealt that goes to all instances evenly before any demand is known. */
  evenPart: number;
  /** Requests for each instance that the last tokens must cover to be dealt at all. */
  unallocatedRequests: number;
}

export const defaultPrepaidSizing: PrepaidSizingSettings = {
  rideThroughSeconds: 9.5,
  deviationFactor: 1.3,
  evenPart: 0.05,
  unallocatedRequests: 2,
};

/** Part of the rest that is dealt out however soon it will be used up; alone, some requests are served still. */
const MIN_ALLOCATED_FRACTION = 0.1;
/**
 * Most of the rest that is kept for single requests. In a large fleet a group's part of a small account may
 * never cover its instances' requests, and each of them would fetch its tokens from the store.
 */
const MAX_UNALLOCATED_FRACTION = 0.5;
/** Part of a typical request for each instance below which nothing is dealt: it would cover hardly any. */
const MIN_USEFUL_REQUESTS = 0.1;
/**
 * Requests of an account, in the span that its rate is averaged over, that say as much about where its
 * next ones come in as an even spread does: one alone can't tell.
 */
const PRIOR_REQUESTS = 1;
/**
 * Size, as a multiple of the mean, of the request that an average token belongs to. Prompts spread so
 * widely that most tokens belong to large ones.
 */
const REQUEST_SIZE_FACTOR = 2;

/**
 * Levels by demand, within what is left beyond the demand of the time after a loss of all.
 *
 * What it buys: twelve recorded days were played anew without network, each with seven instances that are
 * cut off and killed. Of the tokens that callers could have used, 9.6 % were refused with half of the rest
 * dealt out at any time, 5.7 of them after the loss and 3.5 while alone; now 6.5 %, 2.3 and 4.1.
 *
 * @example
 * new PrepaidSizing().level({
 *   rate: 2_000, fleetRate: 10_000, remaining: 900_000, instances: 7, typicalRequest: 5_000,
 * });
 */
export class PrepaidSizing {
  readonly #settings: PrepaidSizingSettings;

  constructor(settings: Partial<PrepaidSizingSettings> = {}) {
    this.#settings = { ...defaultPrepaidSizing, ...settings };
  }

  /** Free tokens that an instance should hold. */
  level(situation: PrepaidSizingInput): Tokens {
    const { evenPart, rideThroughSeconds } = this.#settings;
    const { fleetRate, instances, spread = instances, typicalRequest } = situation;
    const dealt = this.#allocatable(situation);
    if (fleetRate <= 0) return Math.floor((dealt * evenPart) / instances);
    const fleetDemand = fleetRate * rideThroughSeconds;
    const own = this.#withSafetyMargin(fleetDemand * this.#expectedFraction(situation), 1, typicalRequest);
    const all = this.#withSafetyMargin(fleetDemand, spread, typicalRequest);
    return Math.floor(own * Math.min(1, dealt / all));
  }

  /**
   * The most that all instances hold together: it is in doubt when all of them are killed at once. An
   * account that has plenty left may deal out all that its instances can use; one that has little keeps
   * back what its callers ask for in the time after a loss.
   */
  #allocatable(situation: PrepaidSizingInput): Tokens {
    const { fleetRate, remaining, instances, spread = instances, typicalRequest } = situation;
    const {
      rideThroughSeconds,
      keptSeconds = rideThroughSeconds,
      unallocatedRequests: undealtRequests,
    } = this.#settings;
    // dealt to all, the last tokens would be dust: no instance could cover a request, while together
    // they could cover many. Kept in the store, they are fetched for each request that comes.
    const undealt = undealtRequests * typicalRequest * spread;
    const rest = remaining - Math.min(undealt, MAX_UNALLOCATED_FRACTION * remaining);
    const dealt = Math.max(MIN_ALLOCATED_FRACTION * rest, rest - fleetRate * keptSeconds);
    return dealt < MIN_USEFUL_REQUESTS * typicalRequest * spread ? 0 : dealt;
  }

  /** Where the account's next requests come in, as far as past ones tell. */
  #expectedFraction({ rate, fleetRate, instances, typicalRequest }: PrepaidSizingInput): number {
    const prior = Math.max(1, PRIOR_REQUESTS * typicalRequest);
    const seen = fleetRate * DEMAND_TIME_CONSTANT_SECONDS;
    return (rate * DEMAND_TIME_CONSTANT_SECONDS + prior / instances) / (seen + prior);
  }

  /** A demand with its spread, were it met by so many instances in equal parts. */
  #withSafetyMargin(demand: Tokens, instances: number, typicalRequest: Tokens): Tokens {
    const deviation = Math.sqrt(demand * instances * REQUEST_SIZE_FACTOR * typicalRequest);
    return Math.max(1, demand + this.#settings.deviationFactor * deviation);
  }
}
