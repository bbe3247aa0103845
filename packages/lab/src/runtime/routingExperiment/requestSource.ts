/** Seeded source of requests with a class, a prompt prefix of skewed popularity, and lengths. */

import type { RandomSource } from '@flamingocourse/core';
import type { ExperimentClass } from './types.js';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** One request of a caller. Lengths are in tokens, times in milliseconds. */
export interface ExperimentRequest {
  id: number;
  workClass: ExperimentClass;
  arrivedAt: number;
  prefix: number;
  prefixTokens: number;
  promptTokens: number;
  outputTokens: number;
}

/** Classes of the experiment, modelled on those of the `svifvakt` deployment. */
export const experimentClasses: readonly ExperimentClass[] = [
  {
    name: 'launch-entry',
    importance: 'first',
    share: 0.25,
    firstTokenMs: 400,
    completeMs: 4_000,
    minOutput: 20,
    maxOutput: 60,
  },
  {
    name: 'question',
    importance: 'standard',
    share: 0.5,
    firstTokenMs: 1_000,
    completeMs: 8_000,
    minOutput: 40,
    maxOutput: 160,
  },
  {
    name: 'summary',
    importance: 'background',
    share: 0.25,
    firstTokenMs: 5_000,
    completeMs: 40_000,
    minOutput: 150,
    maxOutput: 400,
  },
];

const PREFIXES = 40;
/** Exponent of the Zipf distribution of the prefixes' popularity. */
const PREFIX_SKEW = 0.8;
const PREFIX_TOKENS = 600;
const MIN_PROMPT = 40;
const MAX_PROMPT = 200;

/** Creates a seeded generator of numbers from 0 up to, not including, 1. */
export function createRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Generates requests. The same seed gives the same requests for every policy. */
export class RequestSource {
  readonly #random: RandomSource;
  readonly #popularity: number[];
  #nextId = 1;

  constructor(seed: number) {
    this.#random = createRandom(seed);
    const weights = Array.from({ length: PREFIXES }, (_, i) => (i + 1) ** -PREFIX_SKEW);
    const sum = weights.reduce((total, weight) => total + weight, 0);
    this.#popularity = weights.map((weight) => weight / sum);
  }

  /** Time to the next arrival at a mean rate, in milliseconds. */
  nextGapMs(ratePerSecond: number): number {
    return (-Math.log(1 - this.#random()) * 1_000) / ratePerSecond;
  }

  next(arrivedAt: number): ExperimentRequest {
    const workClass = this.#pickClass();
    const id = this.#nextId;
    this.#nextId += 1;
    return {
      id,
      workClass,
      arrivedAt,
      prefix: this.#pickPrefix(),
      prefixTokens: PREFIX_TOKENS,
      promptTokens: this.#between(MIN_PROMPT, MAX_PROMPT),
      outputTokens: this.#between(workClass.minOutput, workClass.maxOutput),
    };
  }

  /** Picks one of `count` routers at random, like the platform's load balancer. */
  pickRouter(count: number): number {
    return Math.floor(this.#random() * count);
  }

  #pickClass(): ExperimentClass {
    let rest = this.#random();
    const found = experimentClasses.find((workClass) => (rest -= workClass.share) < 0);
    const last = experimentClasses.at(-1);
    if (found) return found;
    if (last) return last;
    throw new RangeError('the routing experiment needs at least one class');
  }

  #pickPrefix(): number {
    let rest = this.#random();
    const index = this.#popularity.findIndex((share) => (rest -= share) < 0);
    return index < 0 ? PREFIXES - 1 : index;
  }

  #between(min: number, max: number): number {
    return min + Math.floor(this.#random() * (max - min + 1));
  }
}
